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

/** Signed calls to the edge of a fleet, or the same work straight at a runner, over kept connections. Any thread. */
final class EdgeCalls {
  private static final int STACK = 256 << 10;

  private final TestFleet fleet;
  private final Map<String, ArrayDeque<HttpConnection>> idle = new ConcurrentHashMap<>();

  EdgeCalls(TestFleet fleet) {
    this.fleet = fleet;
  }

  /** Status of one call: kind 0 to 2 through the edge, -1 straight to a runner; 0 where there was no answer. */
  int status(int kind, Random random) {
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
      WebhookClients.Kind k = WebhookClients.kinds(
              TestFleet.LATENCY_TARGET_MICROS,
              TestFleet.DEADLINE_MICROS,
              TestFleet.REPEAT_WINDOW_MICROS)
          .get(kind);
      byte[] body = ("{\"type\":\"" + k.type() + "\",\"data\":{\"lanes\":16,\"function\":\""
              + function + "\"}}")
          .getBytes();
      String id = "b" + Long.toHexString(random.nextLong()) + Long.toHexString(System.nanoTime());
      long stamp = System.currentTimeMillis() / 1000;
      byte[] request = HeadWriter.request("POST", TestFleet.PATH, "e")
          .field("webhook-id", id)
          .field("webhook-timestamp", stamp)
          .field("webhook-signature", Secret.parse(fleet.secret()).sign(id, stamp, body))
          .with(body);
      return exchange("edge", fleet.edgeAddress(0), request);
    } catch (IOException | BadMessage e) {
      return 0;
    }
  }

  /** Calls a second that were served, with so many callers that each wait for their answer. */
  double closed(int kind, int callers, int forSeconds) throws InterruptedException {
    AtomicInteger done = new AtomicInteger();
    long began = Clock.micros();
    long until = began + forSeconds * 1_000_000L;
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < callers; i++) {
      Random random = new Random(i);
      threads.add(Threads.start("caller", STACK, () -> {
        while (Clock.micros() < until) {
          done.addAndGet(status(kind, random) == 200 ? 1 : 0);
        }
      }));
    }
    for (Thread t : threads) {
      t.join();
    }
    return done.get() * 1e6 / (Clock.micros() - began);
  }

  private int exchange(String peer, InetSocketAddress address, byte[] request)
      throws IOException, BadMessage {
    ArrayDeque<HttpConnection> kept = idle.computeIfAbsent(peer, p -> new ArrayDeque<>());
    HttpConnection c;
    synchronized (kept) {
      c = kept.pollLast();
    }
    c = c == null ? HttpConnection.open(address, 2_000, HttpLimits.INTERNAL) : c;
    long until = Clock.micros() + 10_000_000;
    c.write(request);
    Head head = c.readResponse(until);
    c.readBody(BodyParser.forResponse(head, HttpLimits.INTERNAL), until);
    if (head.keepsConnection()) {
      synchronized (kept) {
        kept.addLast(c);
      }
    } else {
      c.close();
    }
    return head.status();
  }
}
