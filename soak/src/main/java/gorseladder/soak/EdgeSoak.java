package gorseladder.soak;

import gorseladder.RouterApi.Effect;
import gorseladder.runtime.Clock;
import gorseladder.soak.Preload.Control;
import gorseladder.soak.Preload.Fault;
import gorseladder.testbed.RuleChecker;
import gorseladder.testbed.Tap;
import gorseladder.testbed.TestFleet;
import gorseladder.testbed.WebhookClients;
import gorseladder.testbed.WebhookClients.Kind;
import gorseladder.testbed.script.DayScript;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A soak of one edge with a ledger: its wall clock is stepped, its disk is full or fails for a while, and it is killed
 * in the middle of writes; senders repeat messages that got no successful answer, and some that got one, and a part of
 * the signed requests is posted again at another endpoint. The rule checker, which sees
 * sockets only, judges the run by the five rules.
 */
public final class EdgeSoak {
  private static final long SEND_INTERVAL_MILLIS = 30;
  private static final int MAX_TRIES = 6;
  private static final double REDELIVERY_PROBABILITY = 0.4;
  /** Of posting a request again, as it is, at the edge's other endpoint. */
  private static final double REPLAY_PROBABILITY = 0.2;

  private static final long SLACK_MICROS = 150_000;
  private static final int FAIL_DISK = 0;
  private static final int STEP_CLOCK = 2;
  private static final int SENDER_THREADS = 200;
  private static final int MAX_REDELIVERED = 60;
  /** An edge drops expired ledger entries once a second. */
  private static final long LEDGER_EXPIRY_MILLIS = 1_300;

  private static final long[] CLOCK_STEPS_MILLIS = {3_600_000, -3_600_000, 5_000, -5_000};
  private static final long ENOSPC = 28;
  private static final long EIO = 5;
  /** Entries are kept for longer than any run, and for less than the longest step of the clock. */
  private static final String LEDGER_SETTINGS = "ledger { sync: true keep_s: 1800 }";

  private final long seed;
  private final SplittableRandom random;
  private final Path folder;
  private final long duration;
  private final Preload preload;
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger unserved = new AtomicInteger();
  private final ConcurrentLinkedQueue<ServedMessage> servedMessages = new ConcurrentLinkedQueue<>();
  private volatile long clockOffsetMillis;
  private int stepCount;
  private Control control;

  /**
   * The result of a run.
   *
   * @param unserved messages whose senders gave up or used all their tries
   * @param failedCalls system calls, on files and others, that were made to fail
   * @param violations violations of the rules, and other errors
   */
  public record Result(
      long seed,
      List<String> troubles,
      int messages,
      int served,
      int unserved,
      long failedCalls,
      List<String> violations) {}

  /** A message that was served and may not run again, with the body that was delivered. */
  private record ServedMessage(String message, Kind kind, byte[] body) {}

  /** Prepares a soak of this duration, in microseconds. */
  public EdgeSoak(long seed, long duration, Path folder, Preload preload) throws IOException {
    this.random = new SplittableRandom(seed);
    this.seed = seed;
    this.duration = duration;
    this.folder = Files.createDirectories(folder);
    this.preload = preload;
  }

  /** Runs the soak to its end. */
  public Result execute() throws IOException, InterruptedException {
    control = preload.control(folder.resolve("faults"));
    Path data = folder.resolve("data-0");
    List<String> prefix = new ArrayList<>(List.of("env"));
    preload.environment(control, data).forEach((name, value) -> prefix.add(name + "=" + value));
    DayScript script = script();
    List<String> troubles = new ArrayList<>();
    try (TestFleet fleet =
        new TestFleet(script, folder, true, line -> {}, prefix, LEDGER_SETTINGS)) {
      WebhookClients clients = fleet.clients();
      ExecutorService senders = Executors.newFixedThreadPool(SENDER_THREADS);
      long until = Clock.micros() + duration;
      Thread troubleThread =
          new Thread(() -> runTroubles(fleet, clients, until, troubles), "edge-troubles");
      troubleThread.start();
      int messages = 0;
      while (Clock.micros() < until) {
        String message = "msg_" + seed + "_" + messages++;
        Kind kind = kinds().get(random.nextInt(kinds().size()));
        senders.execute(() -> deliver(clients, message, kind));
        Thread.sleep(SEND_INTERVAL_MILLIS);
      }
      troubleThread.join();
      senders.shutdown();
      boolean ended = senders.awaitTermination(30, TimeUnit.SECONDS);
      redeliver(clients);
      List<String> violations = new ArrayList<>(
          RuleChecker.check(
                  fleet.tap(), fleet.rules(), TestFleet.REPEAT_WINDOW_MICROS, SLACK_MICROS)
              .stream()
              .map(Object::toString)
              .toList());
      if (!ended) {
        violations.add("senders were still waiting 30 s after the end");
      }
      fleet.stopEdge(0);
      violations.addAll(errors());
      return new Result(
          seed, troubles, messages, served.get(), unserved.get(), control.injected(), violations);
    }
  }

  private DayScript script() {
    try {
      return DayScript.parse("edges = 1; runners = 4; work = 20ms; seed = " + seed + ";");
    } catch (DayScript.BadScript e) {
      throw new IllegalStateException(e);
    }
  }

  /** After a step of the clock, and at the end: messages that were served are answered again from memory. */
  private void redeliver(WebhookClients clients) throws InterruptedException {
    Thread.sleep(LEDGER_EXPIRY_MILLIS);
    servedMessages.stream()
        .limit(MAX_REDELIVERED)
        .forEach(d -> clients.attempt(
            d.message(), 0, d.kind(), d.body(), timestampOf(MAX_TRIES), d.kind().deadline()));
  }

  private static List<Kind> kinds() {
    return WebhookClients.kinds(
        TestFleet.LATENCY_TARGET_MICROS, TestFleet.DEADLINE_MICROS, TestFleet.REPEAT_WINDOW_MICROS);
  }

  /** Delivers a message until it is served, and possibly again after that. */
  private void deliver(WebhookClients clients, String message, Kind kind) {
    byte[] body = clients.payload(kind, "svc/" + Math.floorMod(message.hashCode(), 6));
    ThreadLocalRandom threadRandom = ThreadLocalRandom.current();
    try {
      for (int i = 0; i < MAX_TRIES; i++) {
        long timestamp = timestampOf(i);
        Tap.Try result = clients.attempt(message, 0, kind, body, timestamp, kind.deadline());
        if (threadRandom.nextDouble() < REPLAY_PROBABILITY) {
          clients.replay(message, 0, kind, body, timestamp);
        }
        boolean wasServed = result.statuses.contains(200);
        if (wasServed && threadRandom.nextDouble() > REDELIVERY_PROBABILITY) {
          served.incrementAndGet();
          if (kind.effect() == Effect.UNSAFE) {
            servedMessages.add(new ServedMessage(message, kind, body));
          }
          return;
        }
        boolean mayRepeat = wasServed
            || result.unreached
            || result.broken
            || result.retryAfter
            || kind.effect() == Effect.SAFE;
        if (!mayRepeat) {
          break;
        }
        Thread.sleep(150 + threadRandom.nextInt(1_200));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    unserved.incrementAndGet();
  }

  /** The sender's clock is the machine's, with its steps; each try has its own timestamp. */
  private long timestampOf(int attempt) {
    return (System.currentTimeMillis() + clockOffsetMillis) / 1_000 + attempt;
  }

  // ---- troubles

  private void runTroubles(
      TestFleet fleet, WebhookClients clients, long until, List<String> troubles) {
    try {
      Thread.sleep(1_000);
      while (Clock.micros() < until - 1_500_000) {
        long durationMillis = 200 + random.nextInt(1_200);
        // A disk fault and a clock step come first, so that every run has both.
        int trouble =
            troubles.size() < 2 ? (troubles.isEmpty() ? FAIL_DISK : STEP_CLOCK) : random.nextInt(5);
        troubles.add(trouble + " for " + durationMillis + " ms");
        switch (trouble) {
          case FAIL_DISK, 1 -> failDisk(durationMillis, random.nextInt(4));
          case STEP_CLOCK -> stepClock(clients);
          case 3 -> killAndRestart(fleet, 0);
          default -> {
            // The kill comes while writes fail: an incomplete record stays in the file, and the
            // disk works again at the restart.
            setDiskFaults(1_000, ENOSPC, 0);
            Thread.sleep(durationMillis / 4);
            killAndRestart(fleet, 1);
          }
        }
        Thread.sleep(random.nextInt(900));
      }
      setDiskFaults(0, 0, 0);
    } catch (IOException e) {
      troubles.add("the edge did not start: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void setDiskFaults(long writes, long error, long others) {
    control.set(Fault.DISK_ERRNO, error);
    control.set(Fault.DISK_WRITE_RATE, writes);
    control.set(Fault.DISK_SYNC_RATE, others);
    control.set(Fault.DISK_REMOVE_RATE, others);
  }

  private void failDisk(long millis, int mode) throws InterruptedException {
    switch (mode) {
      case 0 -> setDiskFaults(1_000, ENOSPC, 0);
      case 1 -> setDiskFaults(300, ENOSPC, 300);
      case 2 -> setDiskFaults(0, EIO, 1_000);
      default -> setDiskFaults(1_000, EIO, 1_000);
    }
    Thread.sleep(millis);
    setDiskFaults(0, 0, 0);
  }

  /**
   * The first step is an hour forward, past the time for which the ledger keeps entries; later steps are drawn, or undo
   * the previous one.
   */
  private void stepClock(WebhookClients clients) throws InterruptedException {
    int drawn = random.nextInt(CLOCK_STEPS_MILLIS.length);
    clockOffsetMillis =
        clockOffsetMillis != 0 ? 0 : CLOCK_STEPS_MILLIS[stepCount++ == 0 ? 0 : drawn];
    control.set(Fault.WALL_OFFSET_MS, clockOffsetMillis);
    redeliver(clients);
  }

  private void killAndRestart(TestFleet fleet, int repairsDisk)
      throws IOException, InterruptedException {
    fleet.edgeProcess(0).destroyForcibly().waitFor();
    if (repairsDisk > 0) {
      setDiskFaults(0, 0, 0);
    }
    fleet.restartEdge(0, 50);
  }

  private List<String> errors() throws IOException {
    Path log = folder.resolve("edge-0.err");
    if (Files.notExists(log)) {
      return List.of();
    }
    return Files.readAllLines(log).stream()
        .filter(line -> line.contains("Exception in thread") || line.contains("the router failed"))
        .limit(3)
        .toList();
  }
}
