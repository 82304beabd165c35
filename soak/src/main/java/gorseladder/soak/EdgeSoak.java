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
 * A soak of one edge with a ledger: its wall clock is stepped, its disk is full or fails for a while, it is killed in
 * the middle of writes; senders repeat what got no good answer, and some of what got one. Judged by the checker of the
 * five rules, which sees sockets only.
 */
public final class EdgeSoak {
  private static final long GAP_MILLIS = 30;
  private static final int TRIES = 6;
  private static final double DELIVERED_AGAIN = 0.4;
  private static final long SLACK = 150_000;
  private static final int DISK = 0;
  private static final int STEP = 2;
  private static final int SENDERS = 200;
  private static final int MOST_AGAIN = 60;
  /** An edge forgets what it may forget once a second. */
  private static final long FORGETS_WITHIN_MILLIS = 1_300;

  private static final long[] STEPS_MILLIS = {3_600_000, -3_600_000, 5_000, -5_000};
  private static final long NO_SPACE = 28;
  private static final long IO_ERROR = 5;
  /** Kept for longer than any play, and for less than the longest step of the clock. */
  private static final String LEDGER = "ledger { sync: true keep_s: 1800 }";

  private final long seed;
  private final SplittableRandom random;
  private final Path folder;
  private final long length;
  private final Preload preload;
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final ConcurrentLinkedQueue<Done> done = new ConcurrentLinkedQueue<>();
  private volatile long stepMillis;
  private int steps;
  private Control control;

  /**
   * What came of a play.
   *
   * @param breaks rules broken
   * @param failed operations on files, and other calls, that were made to fail
   */
  public record Result(
      long seed,
      List<String> troubles,
      int messages,
      int served,
      int refused,
      long failed,
      List<String> breaks) {}

  /** A message that was served and may not run again, with what was delivered. */
  private record Done(String message, Kind kind, byte[] body) {}

  /** A soak of so many microseconds. */
  public EdgeSoak(long seed, long length, Path folder, Preload preload) throws IOException {
    this.random = new SplittableRandom(seed);
    this.seed = seed;
    this.length = length;
    this.folder = Files.createDirectories(folder);
    this.preload = preload;
  }

  /** Plays it to its end. */
  public Result play() throws IOException, InterruptedException {
    control = preload.control(folder.resolve("faults"));
    Path data = folder.resolve("data-0");
    List<String> prefix = new ArrayList<>(List.of("env"));
    preload.environment(control, data).forEach((name, value) -> prefix.add(name + "=" + value));
    DayScript script = script();
    List<String> troubles = new ArrayList<>();
    try (TestFleet fleet = new TestFleet(script, folder, true, line -> {}, prefix, LEDGER)) {
      WebhookClients clients = fleet.clients();
      ExecutorService senders = Executors.newFixedThreadPool(SENDERS);
      long until = Clock.micros() + length;
      Thread brings = new Thread(() -> bring(fleet, clients, until, troubles), "edge-troubles");
      brings.start();
      int messages = 0;
      while (Clock.micros() < until) {
        String message = "msg_" + seed + "_" + messages++;
        Kind kind = kinds().get(random.nextInt(kinds().size()));
        senders.execute(() -> deliver(clients, message, kind));
        Thread.sleep(GAP_MILLIS);
      }
      brings.join();
      senders.shutdown();
      boolean ended = senders.awaitTermination(30, TimeUnit.SECONDS);
      deliverAgain(clients);
      List<String> breaks = new ArrayList<>(
          RuleChecker.check(fleet.tap(), fleet.rules(), TestFleet.REPEAT_WINDOW_MICROS, SLACK)
              .stream()
              .map(Object::toString)
              .toList());
      if (!ended) {
        breaks.add("senders were still waiting 30 s after the end");
      }
      fleet.stopEdge(0);
      breaks.addAll(errors());
      return new Result(
          seed, troubles, messages, served.get(), refused.get(), control.injected(), breaks);
    }
  }

  private DayScript script() {
    try {
      return DayScript.parse("edges = 1; runners = 4; work = 20ms; seed = " + seed + ";");
    } catch (DayScript.BadScript e) {
      throw new IllegalStateException(e);
    }
  }

  /** After a step of the clock, and at the end: what was served is served again, from memory. */
  private void deliverAgain(WebhookClients clients) throws InterruptedException {
    Thread.sleep(FORGETS_WITHIN_MILLIS);
    done.stream()
        .limit(MOST_AGAIN)
        .forEach(d -> clients.attempt(
            d.message(), 0, d.kind(), d.body(), stampOf(TRIES), d.kind().deadline()));
  }

  private static List<Kind> kinds() {
    return WebhookClients.kinds(
        TestFleet.LATENCY_TARGET_MICROS, TestFleet.DEADLINE_MICROS, TestFleet.REPEAT_WINDOW_MICROS);
  }

  /** Delivers a message until it is served, and perhaps again after that. */
  private void deliver(WebhookClients clients, String message, Kind kind) {
    byte[] body = clients.payload(kind, "svc/" + Math.floorMod(message.hashCode(), 6));
    ThreadLocalRandom chance = ThreadLocalRandom.current();
    try {
      for (int i = 0; i < TRIES; i++) {
        Tap.Try last = clients.attempt(message, 0, kind, body, stampOf(i), kind.deadline());
        boolean good = last.statuses.contains(200);
        if (good && chance.nextDouble() > DELIVERED_AGAIN) {
          served.incrementAndGet();
          if (kind.effect() == Effect.UNSAFE) {
            done.add(new Done(message, kind, body));
          }
          return;
        }
        boolean mayRepeat = good
            || last.unreached
            || last.broken
            || last.retryAfter
            || kind.effect() == Effect.SAFE;
        if (!mayRepeat) {
          break;
        }
        Thread.sleep(150 + chance.nextInt(1_200));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    refused.incrementAndGet();
  }

  /** The sender's clock is the machine's, steps and all; each try has a stamp of its own. */
  private long stampOf(int attempt) {
    return (System.currentTimeMillis() + stepMillis) / 1_000 + attempt;
  }

  // ---- troubles

  private void bring(TestFleet fleet, WebhookClients clients, long until, List<String> troubles) {
    try {
      Thread.sleep(1_000);
      while (Clock.micros() < until - 1_500_000) {
        long lasts = 200 + random.nextInt(1_200);
        // A disk that fails and a step come first, so that no play is without them.
        int which = troubles.size() < 2 ? (troubles.isEmpty() ? DISK : STEP) : random.nextInt(5);
        troubles.add(which + " for " + lasts + " ms");
        switch (which) {
          case DISK, 1 -> disk(lasts, random.nextInt(4));
          case STEP -> step(clients);
          case 3 -> kill(fleet, 0);
          default -> {
            // Killed while writes fail: a half frame is left behind, and the disk is good again at
            // the start.
            failing(1_000, NO_SPACE, 0);
            Thread.sleep(lasts / 4);
            kill(fleet, 1);
          }
        }
        Thread.sleep(random.nextInt(900));
      }
      failing(0, 0, 0);
    } catch (IOException e) {
      troubles.add("the edge did not start: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void failing(long writes, long error, long others) {
    control.set(Fault.DISK_ERRNO, error);
    control.set(Fault.DISK_WRITE_RATE, writes);
    control.set(Fault.DISK_SYNC_RATE, others);
    control.set(Fault.DISK_REMOVE_RATE, others);
  }

  private void disk(long millis, int sort) throws InterruptedException {
    switch (sort) {
      case 0 -> failing(1_000, NO_SPACE, 0);
      case 1 -> failing(300, NO_SPACE, 300);
      case 2 -> failing(0, IO_ERROR, 1_000);
      default -> failing(1_000, IO_ERROR, 1_000);
    }
    Thread.sleep(millis);
    failing(0, 0, 0);
  }

  /**
   * The first step is an hour forward, past what the ledger keeps; later ones are drawn, or take the one before back.
   */
  private void step(WebhookClients clients) throws InterruptedException {
    int drawn = random.nextInt(STEPS_MILLIS.length);
    stepMillis = stepMillis != 0 ? 0 : STEPS_MILLIS[steps++ == 0 ? 0 : drawn];
    control.set(Fault.WALL_OFFSET_MS, stepMillis);
    deliverAgain(clients);
  }

  private void kill(TestFleet fleet, int mends) throws IOException, InterruptedException {
    fleet.edgeProcess(0).destroyForcibly().waitFor();
    if (mends > 0) {
      failing(0, 0, 0);
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
