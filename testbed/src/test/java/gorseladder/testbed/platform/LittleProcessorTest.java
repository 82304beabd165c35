package gorseladder.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.platform.FastCgiClient.Answer;
import gorseladder.testbed.platform.PlatformRunner.Reaction;
import gorseladder.testbed.process.ChildProcess;
import gorseladder.testbed.process.ProcessorPattern;
import gorseladder.testbed.process.RunLine;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.TestReporter;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests without a final answer where processor time is scarce. A dispatcher, started as by {@code
 * deploy/balancer.toml} but without the jar, is stopped and continued in a pattern, so that it runs for a few
 * milliseconds of each 100. It starts under this pattern or is warmed up before; then come its first calls, a change of
 * the runner list while it is behind, and a stop with requests that it has not read yet.
 */
class LittleProcessorTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  /** An answer is due within the request's timeout; half a second after it, it counts as lost. */
  private static final long SLACK_MILLIS = 500;

  private static final int TIMEOUT_MILLIS = 1_000;
  private static final int DEADLINE_MILLIS = 2_000;
  private static final int START_TIMEOUT_MILLIS = 30_000;
  /** The earliest kill after SIGTERM: the longest deadline plus 0.7 s. */
  private static final int KILL_MILLIS = DEADLINE_MILLIS + 700;

  private static final int RUNNERS = 8;
  private static final int CONNECTIONS = 4;
  private static final int FUNCTIONS = 20;
  /** Four times the mean rate of a dispatcher with a tenth of a core, which is 10 a second. */
  private static final int BURST_CALLS = 4;

  private static final int BURST_INTERVAL_MILLIS = 100;
  private static final int BURSTS = 30;
  private static final int WARM_CALLS = 1_000;

  @TempDir
  Path dir;

  private final List<PlatformRunner> runners = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private final List<FastCgiClient> openConnections = new ArrayList<>();
  private final Collection<Sent> sent = new CopyOnWriteArrayList<>();
  private PlatformChangeLog log;
  private InetSocketAddress listen;
  private ChildProcess process;
  private ProcessorPattern pattern;
  private int number;

  /** A request; {@code at} is {@link System#nanoTime()} before its first byte was written. */
  private record Sent(
      int number, String phase, FastCgiClient client, boolean newConnection, long at) {
    /** Waits for the answer and describes what is wrong with it, or returns null. */
    String fault() throws InterruptedException {
      long limitMillis = TIMEOUT_MILLIS + SLACK_MILLIS;
      long remaining = limitMillis - (System.nanoTime() - at) / 1_000_000;
      Answer answer = client.await(number, Math.max(1, remaining));
      String label = phase + ", request " + number + (newConnection ? " on a new connection" : "");
      if (answer == null) {
        return label + ": no answer";
      }
      long took = (answer.at() - at) / 1_000_000;
      return took > limitMillis ? label + ": answered after " + took + " ms" : null;
    }
  }

  @ParameterizedTest
  @CsvSource({
    "20, false, 1",
    "10, false, 1",
    "7, false, 1",
    "5, false, 1",
    "5, false, 2",
    "5, false, 3",
    "20, true, 1",
    "10, true, 1",
    "7, true, 1",
    "5, true, 1"
  })
  void eachRequestGetsItsAnswerInTime(int runMillis, boolean warm, long seed, TestReporter reporter)
      throws Exception {
    prepare();
    launch();
    if (warm) {
      awaitLive();
      warmUp();
    }
    pattern = new ProcessorPattern(process, runMillis, seed);
    awaitLive();
    connect();
    playBursts("first calls", BURSTS);
    drainHalfOfTheRunners();
    playBursts("list change", BURSTS / 3);
    burst("stop");
    process.signal("TERM");
    Thread.sleep(KILL_MILLIS);
    List<String> faults = faults();
    reporter.publishEntry(
        runMillis + " ms" + (warm ? " warm" : " cold"), sent.size() + " sent, served " + served());
    assertEquals(List.of(), faults, this::output);
    for (FastCgiClient client : openConnections) {
      assertEquals(0, client.duplicateAnswers(), "duplicate answers");
    }
  }

  private void prepare() throws Exception {
    for (int i = 0; i < RUNNERS; i++) {
      runners.add(new PlatformRunner(arrival -> Reaction.SERVE));
      events.add(
          PlatformChangeLog.event(i + 1, i == 0, "r" + i, runners.get(i).address(), "active"));
    }
    log = new PlatformChangeLog(events);
    Files.writeString(
        dir.resolve("config.json"),
        PlatformConfig.text(log.address(), events.get(0), DEADLINE_MILLIS));
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      listen = (InetSocketAddress) free.getLocalSocketAddress();
    }
  }

  private void launch() throws Exception {
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
  }

  private void awaitLive() throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
    boolean live = false;
    while (!live && System.nanoTime() < until) {
      live = FastCgiClient.isLive(listen, START_TIMEOUT_MILLIS);
      Thread.sleep(live ? 0 : 20);
    }
    assertTrue(live, () -> "not live: " + output());
  }

  private void connect() throws IOException {
    for (int i = 0; i < CONNECTIONS; i++) {
      openConnections.add(new FastCgiClient(listen));
    }
  }

  /** Plays calls one after the other, before the processor time is limited. */
  private void warmUp() throws Exception {
    try (FastCgiClient client = new FastCgiClient(listen)) {
      for (int i = 0; i < WARM_CALLS; i++) {
        send(client, ++number);
        assertTrue(client.await(number, START_TIMEOUT_MILLIS) != null, this::output);
      }
    }
  }

  private void playBursts(String phase, int bursts) throws Exception {
    long next = System.nanoTime();
    for (int i = 0; i < bursts; i++) {
      burst(phase);
      next += TimeUnit.MILLISECONDS.toNanos(BURST_INTERVAL_MILLIS);
      Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
    }
  }

  /** Sends half of the requests on open connections and half on new ones. */
  private void burst(String phase) throws Exception {
    for (int i = 0; i < BURST_CALLS; i++) {
      boolean newConnection = i % 2 == 0;
      FastCgiClient client =
          newConnection ? new FastCgiClient(listen) : openConnections.get(++number % CONNECTIONS);
      number++;
      long at = System.nanoTime();
      send(client, number);
      sent.add(new Sent(number, phase, client, newConnection, at));
    }
  }

  private static void send(FastCgiClient client, int number) throws IOException {
    Map<String, String> params = FastCgiClient.params(
        number % 3 == 0 ? "unsafe" : "safe",
        DispatcherFixture.id(number),
        DispatcherFixture.id(number % FUNCTIONS),
        TIMEOUT_MILLIS);
    client.send(number, params, DispatcherFixture.body(number));
  }

  /** Drains half of the runners, each by an event of its own. */
  private void drainHalfOfTheRunners() {
    for (int i = 0; i < RUNNERS / 2; i++) {
      log.add(PlatformChangeLog.event(
          RUNNERS + i + 1, false, "r" + i, runners.get(i).address(), "leaving"));
    }
  }

  private List<String> faults() throws InterruptedException {
    List<String> faults = new ArrayList<>();
    for (Sent request : sent) {
      String fault = request.fault();
      if (fault != null) {
        faults.add(fault);
      }
    }
    return faults;
  }

  private long served() throws InterruptedException {
    long served = 0;
    for (Sent request : sent) {
      Answer answer = request.client().await(request.number(), 0);
      served += answer != null && answer.status() == 200 ? 1 : 0;
    }
    return served;
  }

  private String output() {
    try {
      return Files.readString(dir.resolve("log"), StandardCharsets.ISO_8859_1);
    } catch (IOException e) {
      return e.toString();
    }
  }

  @AfterEach
  void stop() throws IOException {
    if (pattern != null) {
      pattern.close();
    }
    for (Sent request : sent) {
      request.client().close();
    }
    for (FastCgiClient client : openConnections) {
      client.close();
    }
    process.close();
    log.close();
    for (PlatformRunner runner : runners) {
      runner.close();
    }
  }
}
