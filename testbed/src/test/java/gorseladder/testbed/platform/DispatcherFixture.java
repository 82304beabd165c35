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
 * What tests of a live dispatcher have in common: it stands between scripted clients, runners and a change log on
 * loopback.
 */
abstract class DispatcherFixture {
  static final long SECOND = 1_000_000;
  static final Rules RULES = new Rules(500_000, 0.2, 6 * SECOND, 2.5, 1_500_000, 0, 0, 0);
  static final String FUNCTION = "00000000000000ff";

  final List<PlatformRunner> runners = new ArrayList<>();
  final List<String> events = new ArrayList<>();
  final List<FastCgiClient> clients = new ArrayList<>();
  /** Descriptors that the dispatcher is told; before {@link #start}. */
  int sockets = 1_024;
  /** How long a connection to a runner may take to come up; before {@link #start}. */
  long connect = 250_000;
  /** Deadline of the classes; before {@link #start}. */
  long deadline = 2 * SECOND;

  /** For how long workers drop repeats of keyed calls; before {@link #start}. */
  long window = 5 * SECOND;

  PlatformChangeLog log;
  Node node;

  private RequestClass requestClass(String name, Effect effect) {
    return new RequestClass(name, effect, Group.ALL, window, SECOND, deadline, 1, 0.2, false);
  }

  /** Starts runners that follow a script, and a dispatcher that knows them. */
  void start(int count, Function<Arrival, Reaction> script) throws IOException {
    for (int i = 0; i < count; i++) {
      runners.add(new PlatformRunner(script));
    }
    start();
  }

  /** Starts a dispatcher that knows the runners. */
  void start() throws IOException {
    for (int i = 0; i < runners.size(); i++) {
      events.add(
          PlatformChangeLog.event(i + 1, i == 0, "r" + i, runners.get(i).address(), "active"));
    }
    log = new PlatformChangeLog(events);
    node = new Node(config());
  }

  /** What the dispatcher is told: the events so far, and the log. */
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
    List<ChangeLine> known = events.stream()
        .map(e -> ChangeLine.of(Json.read(e.getBytes(StandardCharsets.US_ASCII))))
        .toList();
    return new NodeConfig(
        "n0",
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        5,
        sockets,
        128 << 20,
        null,
        List.of(),
        null,
        log.address(),
        events.size(),
        known,
        settings,
        new NodeConfig.Links(connect, 30 * SECOND, 100, true, true),
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

  /** Stops the dispatcher in order, on a thread of its own. */
  Thread stopping() {
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

  static boolean within(long millis, BooleanSupplier holds) throws InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    while (!holds.getAsBoolean() && System.nanoTime() < until) {
      Thread.sleep(5);
    }
    return holds.getAsBoolean();
  }

  @AfterEach
  void close() throws IOException {
    for (FastCgiClient client : clients) {
      client.close();
    }
    if (node != null) {
      node.close();
      assertEquals(Map.of(), node.brokenRules(), "rules broken, as the dispatcher itself saw");
    }
    if (log != null) {
      log.close();
    }
    for (PlatformRunner runner : runners) {
      runner.close();
    }
  }
}
