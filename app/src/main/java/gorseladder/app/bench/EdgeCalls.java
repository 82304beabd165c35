package gorseladder.app.bench;

import gorseladder.config.Address;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.runtime.Threads;
import gorseladder.testbed.StandInRunner;
import gorseladder.testbed.TestFleet;
import gorseladder.testbed.WebhookClients;
import gorseladder.wire.http1.BadMessage;
import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.http1.HeadWriter;
import gorseladder.wire.http1.HttpLimits;
import gorseladder.wire.oip.Oip;
import gorseladder.wire.webhook.Secret;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends signed calls to the edge of a fleet, or the same work directly to a runner, over keep-alive connections.
 *
 * <p>Thread-safe.
 */
final class EdgeCalls {
  private static final int STACK_BYTES = 256 << 10;

  private final TestFleet fleet;
  private final Map<String, ArrayDeque<HttpConnection>> idleConnections = new ConcurrentHashMap<>();

  EdgeCalls(TestFleet fleet) {
    this.fleet = fleet;
  }

  /**
   * Makes one call and returns its HTTP status.
   *
   * @param kind an index into {@link WebhookClients#kinds} for a call through the edge; -1 for a direct call to a
   *     runner
   * @return 0 without an answer
   */
  int call(int kind, Random random) {
    String function = "svc/f" + random.nextInt(16);
    try {
      if (kind < 0) {
        StandInRunner runner =
            fleet.runners().get(random.nextInt(fleet.runners().size()));
        byte[] request = HeadWriter.request("POST", Oip.inferTarget(function), "r")
            .field(Oip.LANES, 16)
            .with(Oip.request("m" + random.nextLong(), new byte[] {'{', '}'}));
        return exchange(runner.id(), Address.parse(runner.id()), request);
      }
      WebhookClients.Kind webhook = WebhookClients.kinds(
              TestFleet.LATENCY_TARGET_MICROS,
              TestFleet.DEADLINE_MICROS,
              TestFleet.REPEAT_WINDOW_MICROS)
          .get(kind);
      byte[] body = ("{\"type\":\"" + webhook.type() + "\",\"data\":{\"lanes\":16,\"function\":\""
              + function + "\"}}")
          .getBytes();
      String id = "b" + Long.toHexString(random.nextLong()) + Long.toHexString(System.nanoTime());
      long timestamp = System.currentTimeMillis() / 1000;
      byte[] request = HeadWriter.request("POST", TestFleet.PATH, "e")
          .field("webhook-id", id)
          .field("webhook-timestamp", timestamp)
          .field("webhook-signature", Secret.parse(fleet.secret()).sign(id, timestamp, body))
          .with(body);
      return exchange("edge", fleet.edgeAddress(0), request);
    } catch (IOException | BadMessage e) {
      return 0;
    }
  }

  /** Runs a closed loop, in which each caller waits for its answer, and returns the served calls per second. */
  double closedLoopRate(int kind, int callers, int seconds) throws InterruptedException {
    AtomicInteger served = new AtomicInteger();
    long startMicros = Clock.micros();
    long deadlineMicros = startMicros + seconds * 1_000_000L;
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < callers; i++) {
      Random random = new Random(i);
      threads.add(Threads.start("caller", STACK_BYTES, () -> {
        while (Clock.micros() < deadlineMicros) {
          served.addAndGet(call(kind, random) == 200 ? 1 : 0);
        }
      }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return served.get() * 1e6 / (Clock.micros() - startMicros);
  }

  private int exchange(String peerName, InetSocketAddress address, byte[] request)
      throws IOException, BadMessage {
    ArrayDeque<HttpConnection> pool =
        idleConnections.computeIfAbsent(peerName, key -> new ArrayDeque<>());
    HttpConnection connection;
    synchronized (pool) {
      connection = pool.pollLast();
    }
    connection =
        connection == null ? HttpConnection.open(address, 2_000, HttpLimits.INTERNAL) : connection;
    long deadlineMicros = Clock.micros() + 10_000_000;
    connection.write(request);
    Head head = connection.readResponse(deadlineMicros);
    connection.readBody(BodyParser.forResponse(head, HttpLimits.INTERNAL), deadlineMicros);
    if (head.keepsConnection()) {
      synchronized (pool) {
        pool.addLast(connection);
      }
    } else {
      connection.close();
    }
    return head.status();
  }
}
