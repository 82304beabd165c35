package gorseladder.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.platform.PlatformRunner.Arrival;
import gorseladder.testbed.platform.PlatformRunner.Reaction;
import gorseladder.testbed.process.ChildProcess;
import gorseladder.testbed.process.RunLine;
import gorseladder.testbed.process.ThreadTimes;
import gorseladder.wire.fastcgi.RecordWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestReporter;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against first calls that delay a new dispatcher, by code that runs for the first time or is not compiled yet.
 * A dispatcher is started as by {@code deploy/balancer.toml}, but without the jar and its archive, and the processor
 * time of its threads is read from outside, so that waits for a processor do not count.
 *
 * <p>A dispatcher with a tenth of a core at the mean rate of 10 calls a second has 10 ms of processor time for a call.
 * Half of it is kept for other work, which leaves 5 ms. The calls of one second may occupy the core's thread for a
 * quarter of the shortest deadline, 1 s; that is 25 ms of its processor time, so 2.5 ms a call. Some dispatchers get
 * four times the mean rate and so have a quarter of each. A process that can serve four times the mean rate when warm
 * can serve the mean rate when new if a first call costs at most four times a later one.
 */
class FirstCallsCostTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final String CORE = "core";
  /** Names of the threads that work on calls, as truncated by the system. */
  private static final List<String> CALL_THREADS =
      List.of(CORE, "C1 CompilerThre", "connection", "writer", "VM Thread");

  /** Most processor time of a call in a new process at the mean rate, for all threads that work on calls. */
  private static final double MAX_CALL_MILLIS = 5;
  /** Most processor time of a call in a new process at the mean rate, for the core's thread. */
  private static final double MAX_CORE_CALL_MILLIS = 2.5;
  /** Highest rate of a dispatcher, as a multiple of the mean rate. */
  private static final double MAX_RATE_MULTIPLE = 4;
  /** Most cost of a first call, as a multiple of a later one. */
  private static final double MAX_RATIO = 4;

  private static final int HUNDRED = 100;
  private static final int ROUNDS = 100;
  /** Disturbances from outside can only add to the cost of a process, so the least of these counts. */
  private static final int PROCESSES = 3;

  /** As many as a platform with a hundred dispatchers has. */
  private static final int RUNNERS = 100;

  private static final int CONNECTIONS = 4;
  private static final int FUNCTIONS = 10;
  private static final int MAX_HELD_CALLS = 16;
  private static final int TIMEOUT_MILLIS = 1_000;
  private static final int SHORT_TIMEOUT_MILLIS = 200;
  private static final int ABORT_AFTER_MILLIS = 10;
  private static final int CALL_INTERVAL_MILLIS = 20;
  private static final int SHORT_CALL_INTERVAL_MILLIS = 2;
  private static final int ANSWER_TIMEOUT_MILLIS = 10_000;

  /** A kind of call, by the reaction of runners to its first attempt; a second attempt is served. */
  private enum Kind {
    SERVED(Reaction.SERVE),
    REFUSED_BY_RUNNER(Reaction.REFUSE),
    SECOND_ATTEMPT(Reaction.ERROR),
    FAILED(Reaction.ERROR),
    TIME_UP(Reaction.SILENT),
    ABORTED(Reaction.SILENT),
    BAD(Reaction.SERVE);

    private final Reaction first;

    Kind(Reaction first) {
      this.first = first;
    }
  }

  private static final List<Kind> SPACED_CALLS = Collections.nCopies(
          5,
          List.of(
              Kind.SERVED,
              Kind.SERVED,
              Kind.REFUSED_BY_RUNNER,
              Kind.SERVED,
              Kind.SECOND_ATTEMPT,
              Kind.SERVED,
              Kind.TIME_UP,
              Kind.SERVED,
              Kind.ABORTED,
              Kind.FAILED,
              Kind.SERVED,
              Kind.BAD))
      .stream()
      .flatMap(List::stream)
      .toList();

  /** The remaining calls of each hundred are sent at once, more than the dispatcher may hold. */
  private static final int BURST_CALLS = HUNDRED - SPACED_CALLS.size();

  @TempDir
  Path dir;

  private final List<PlatformRunner> runners = new ArrayList<>();
  private final List<FastCgiClient> clients = new ArrayList<>();
  private final Set<String> attempted = ConcurrentHashMap.newKeySet();
  private PlatformChangeLog log;
  private ChildProcess process;
  private ThreadTimes times;
  private int calls;

  /** Mean processor time of a hundred calls, in milliseconds a call. */
  private record Cost(double all, double core) {
    static Cost between(Map<String, Double> before, Map<String, Double> after) {
      double all = CALL_THREADS.stream()
          .mapToDouble(name -> after.getOrDefault(name, 0.0) - before.getOrDefault(name, 0.0))
          .sum();
      return new Cost(all / HUNDRED, (after.get(CORE) - before.get(CORE)) / HUNDRED);
    }

    @Override
    public String toString() {
      return String.format(Locale.ROOT, "%.2f (core %.2f)", all, core);
    }
  }

  @Test
  void theFirstHundredCallsOfANewProcessCostLittleMoreThanLaterOnes(TestReporter reporter)
      throws Exception {
    Cost first = firstHundred();
    for (int i = 1; i < ROUNDS; i++) {
      play(SHORT_CALL_INTERVAL_MILLIS);
    }
    awaitQuiet();
    Cost later = measureHundred(CALL_INTERVAL_MILLIS);
    String figures = "ms a call: first hundred " + first + ", later " + later
        + String.format(
            Locale.ROOT,
            ", ratio %.1f (core %.1f)",
            first.all() / later.all(),
            first.core() / later.core());
    reporter.publishEntry("processor", figures);
    assertAll(
        () -> assertTrue(first.all() <= MAX_CALL_MILLIS, () -> "all threads, " + figures),
        () -> assertTrue(first.core() <= MAX_CORE_CALL_MILLIS, () -> "core, " + figures),
        () -> assertTrue(
            first.all() <= MAX_RATIO * later.all(), () -> "all threads' ratio, " + figures),
        () ->
            assertTrue(first.core() <= MAX_RATIO * later.core(), () -> "core's ratio, " + figures));
  }

  @Test
  void theFirstHundredCallsFitADispatcherThatSeesFourTimesTheMean(TestReporter reporter)
      throws Exception {
    Cost first = firstHundred();
    reporter.publishEntry("processor", "ms a call: first hundred " + first);
    assertAll(
        () -> assertTrue(
            first.all() <= MAX_CALL_MILLIS / MAX_RATE_MULTIPLE, () -> "all threads, " + first),
        () -> assertTrue(
            first.core() <= MAX_CORE_CALL_MILLIS / MAX_RATE_MULTIPLE, () -> "core, " + first));
  }

  /** Least cost of the first hundred calls over several processes; the last process keeps running. */
  private Cost firstHundred() throws Exception {
    Cost least = new Cost(Double.MAX_VALUE, Double.MAX_VALUE);
    for (int i = 0; i < PROCESSES; i++) {
      stop();
      start();
      Cost cost = measureHundred(CALL_INTERVAL_MILLIS);
      least = new Cost(Math.min(least.all(), cost.all()), Math.min(least.core(), cost.core()));
    }
    return least;
  }

  private void start() throws Exception {
    List<String> events = new ArrayList<>();
    for (int i = 0; i < RUNNERS; i++) {
      runners.add(new PlatformRunner(this::react));
    }
    events.add(wholeList());
    log = new PlatformChangeLog(events);
    String config = PlatformConfig.text(log.address(), events.get(0), TIMEOUT_MILLIS)
        .replace("\"multiplex\"", "\"mostHeld\":" + MAX_HELD_CALLS + ",\"multiplex\"");
    Files.writeString(dir.resolve("config.json"), config);
    InetSocketAddress listen;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      listen = (InetSocketAddress) free.getLocalSocketAddress();
    }
    process = new ChildProcess(
        RunLine.read(ROOT),
        ROOT,
        Map.of(
            "ROUTER_NAME",
            "n0",
            "ROUTER_LISTEN",
            "127.0.0.1:" + listen.getPort(),
            "ROUTER_CONFIG",
            dir.resolve("config.json").toString()),
        dir.resolve("log").toFile());
    assertTrue(
        DispatcherFixture.within(2 * ANSWER_TIMEOUT_MILLIS, () -> isLive(listen)),
        () -> "not live: " + output());
    for (int i = 0; i < CONNECTIONS; i++) {
      clients.add(new FastCgiClient(listen));
    }
    times = new ThreadTimes(process.pid());
    calls = 0;
  }

  /** Returns one event that lists all runners. */
  private String wholeList() {
    List<String> all = IntStream.range(0, RUNNERS)
        .mapToObj(
            i -> PlatformChangeLog.event(1, true, "r" + i, runners.get(i).address(), "active"))
        .toList();
    String first = all.get(0);
    String targets = all.stream()
        .map(event -> event.substring(event.indexOf('[') + 1, event.lastIndexOf(']')))
        .collect(Collectors.joining(","));
    return first.substring(0, first.indexOf('[') + 1)
        + targets
        + first.substring(first.lastIndexOf(']'));
  }

  private Reaction react(Arrival arrival) {
    Kind kind = Kind.valueOf(arrival.body());
    return attempted.add(arrival.id()) ? kind.first : Reaction.SERVE;
  }

  private static boolean isLive(InetSocketAddress listen) {
    try {
      return FastCgiClient.isLive(listen, 1_000);
    } catch (InterruptedException e) {
      return false;
    }
  }

  private String output() {
    try {
      return Files.readString(dir.resolve("log"));
    } catch (IOException e) {
      return e.toString();
    }
  }

  /** Measures the cost of a hundred calls, with the compilation that they cause. */
  private Cost measureHundred(int intervalMillis) throws Exception {
    Map<String, Double> before = times.read();
    play(intervalMillis);
    awaitQuiet();
    return Cost.between(before, times.read());
  }

  /** Plays a hundred calls of all kinds and waits for their answers. */
  private void play(int intervalMillis) throws Exception {
    List<Integer> unanswered = new ArrayList<>();
    long next = System.nanoTime();
    for (Kind kind : SPACED_CALLS) {
      int number = ++calls;
      client(number).write(request(number, kind));
      if (kind == Kind.ABORTED) {
        Thread.sleep(ABORT_AFTER_MILLIS);
        client(number).write(RecordWriter.abort(number));
      } else {
        unanswered.add(number);
      }
      next = Math.max(
          next + intervalMillis * 1_000_000L, System.nanoTime() - intervalMillis * 1_000_000L);
      Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
    }
    burst(unanswered);
    for (int number : unanswered) {
      assertTrue(
          client(number).await(number, ANSWER_TIMEOUT_MILLIS) != null,
          () -> "no answer to call " + number + ": " + output());
    }
  }

  private void burst(List<Integer> unanswered) throws IOException {
    ByteArrayOutputStream[] batches = Stream.generate(ByteArrayOutputStream::new)
        .limit(CONNECTIONS)
        .toArray(ByteArrayOutputStream[]::new);
    for (int i = 0; i < BURST_CALLS; i++) {
      int number = ++calls;
      unanswered.add(number);
      batches[number % CONNECTIONS].writeBytes(request(number, Kind.SERVED));
    }
    for (int i = 0; i < CONNECTIONS; i++) {
      clients.get(i).write(batches[i].toByteArray());
    }
  }

  private FastCgiClient client(int number) {
    return clients.get(number % CONNECTIONS);
  }

  private byte[] request(int number, Kind kind) {
    String function = DispatcherFixture.id(kind == Kind.SERVED ? number % FUNCTIONS : FUNCTIONS);
    Map<String, String> params = FastCgiClient.params(
        kind == Kind.FAILED ? "unsafe" : "safe",
        DispatcherFixture.id(number),
        function,
        kind == Kind.TIME_UP ? SHORT_TIMEOUT_MILLIS : TIMEOUT_MILLIS);
    if (kind == Kind.BAD) {
      params.put("HTTP_X_TIMEOUT_MS", "soon");
    }
    return RecordWriter.request(
        number, true, params, kind.name().getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Waits until the process is nearly idle, with its compilation done. */
  private void awaitQuiet() throws Exception {
    for (int i = 0; i < 20; i++) {
      Map<String, Double> before = times.read();
      Thread.sleep(150);
      if (Cost.between(before, times.read()).all() * HUNDRED < 3) {
        return;
      }
    }
  }

  @AfterEach
  void stop() throws IOException {
    for (FastCgiClient client : clients) {
      client.close();
    }
    clients.clear();
    if (process != null) {
      process.close();
    }
    if (log != null) {
      log.close();
    }
    for (PlatformRunner runner : runners) {
      runner.close();
    }
    runners.clear();
    attempted.clear();
  }
}
