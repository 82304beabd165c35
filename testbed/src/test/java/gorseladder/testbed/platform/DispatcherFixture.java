package gorseladder.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.Limits;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Rules;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.Tenant;
import gorseladder.node.Node;
import gorseladder.node.NodeConfig;
import gorseladder.testbed.platform.PlatformRunner.Arrival;
import gorseladder.testbed.platform.PlatformRunner.Reaction;
import gorseladder.wire.changelog.ChangeLine;
import gorseladder.wire.json.Json;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;

/**
 * Base of tests that run a dispatcher in this process between scripted clients, runners and a change log on loopback.
 */
abstract class DispatcherFixture {
  /** In microseconds, as all times of the settings. */
  static final long SECOND = 1_000_000;

  static final Rules RULES = new Rules(500_000, 0.2, 6 * SECOND, 2.5, 1_500_000, 0, 0, 0);
  static final String FUNCTION = "00000000000000ff";

  final List<PlatformRunner> runners = new ArrayList<>();
  final List<String> events = new ArrayList<>();
  final List<FastCgiClient> clients = new ArrayList<>();
  /** Limit of descriptors in the dispatcher's configuration; set before {@link #start}. */
  int maxDescriptors = 1_024;
  /** Time limit for connecting to a runner, in microseconds; set before {@link #start}. */
  long connectTimeout = 250_000;
  /** Deadline of all classes, in microseconds; set before {@link #start}. */
  long deadline = 2 * SECOND;

  /** How long workers drop repeats of keyed calls, in microseconds; set before {@link #start}. */
  long repeatWindow = 5 * SECOND;

  PlatformChangeLog log;
  Node node;

  private RequestClass requestClass(String name, Effect effect) {
    return new RequestClass(name, effect, Group.ALL, repeatWindow, SECOND, deadline, 1, 0.2, false);
  }

  /** Starts runners that follow a script, and a dispatcher that has them in its list. */
  void start(int count, Function<Arrival, Reaction> script) throws IOException {
    for (int i = 0; i < count; i++) {
      runners.add(new PlatformRunner(script));
    }
    start();
  }

  /** Starts a change log that lists the runners, and a dispatcher that follows it. */
  void start() throws IOException {
    for (int i = 0; i < runners.size(); i++) {
      events.add(
          PlatformChangeLog.event(i + 1, i == 0, "r" + i, runners.get(i).address(), "active"));
    }
    log = new PlatformChangeLog(events);
    node = new Node(config());
  }

  /** The dispatcher's configuration: the events so far, and the address of the change log. */
  NodeConfig config() {
    Settings settings = new Settings(
        0,
        1,
        "z",
        2_000,
        8 * SECOND,
        true,
        false,
        0,
        0.05,
        new Limits(4, false, true, false, false, true, true, SECOND, SECOND),
        RULES,
        List.of(
            requestClass("safe", Effect.SAFE),
            requestClass("unsafe", Effect.UNSAFE),
            requestClass("keyed", Effect.KEYED)),
        List.of(new Tenant("t", 1, 100)));
    List<ChangeLine> lines = events.stream()
        .map(e -> ChangeLine.of(Json.read(e.getBytes(StandardCharsets.US_ASCII))))
        .toList();
    return new NodeConfig(
        "n0",
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        5,
        maxDescriptors,
        128 << 20,
        null,
        List.of(),
        null,
        log.address(),
        events.size(),
        lines,
        settings,
        new NodeConfig.Links(connectTimeout, 30 * SECOND, 100, true, true),
        20_000);
  }

  FastCgiClient client() throws IOException {
    FastCgiClient client = new FastCgiClient(node.address());
    clients.add(client);
    return client;
  }

  static String id(long n) {
    return String.format("%016x", n);
  }

  static byte[] body(int n) {
    return ("body " + n).getBytes(StandardCharsets.ISO_8859_1);
  }

  List<Arrival> arrivals() {
    return runners.stream().flatMap(r -> r.arrivals().stream()).toList();
  }

  /** Starts an orderly stop of the dispatcher on a new thread, which ends when the stop is complete. */
  Thread stopInBackground() {
    Thread thread = new Thread(() -> {
      try {
        node.stop();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    thread.start();
    return thread;
  }

  /** Waits until the condition holds, for the given time at most, and returns whether it holds then. */
  static boolean within(long millis, BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    while (!condition.getAsBoolean() && System.nanoTime() < until) {
      Thread.sleep(5);
    }
    return condition.getAsBoolean();
  }

  @AfterEach
  void close() throws IOException {
    for (FastCgiClient client : clients) {
      client.close();
    }
    if (node != null) {
      node.close();
      assertEquals(
          Map.of(), node.brokenRules(), "rule violations that the dispatcher itself detected");
    }
    if (log != null) {
      log.close();
    }
    for (PlatformRunner runner : runners) {
      runner.close();
    }
  }
}
