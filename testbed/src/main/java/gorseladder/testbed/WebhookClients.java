package gorseladder.testbed;

import gorseladder.RouterApi.Effect;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.runtime.Threads;
import gorseladder.wire.http1.BadMessage;
import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.http1.HeadWriter;
import gorseladder.wire.http1.HttpLimits;
import gorseladder.wire.json.Json;
import gorseladder.wire.webhook.Delivery;
import gorseladder.wire.webhook.Secret;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;

/**
 * Webhook clients: an open loop of signed calls at the times they were meant for, each on a thread of its own, with the
 * retries that its class allows. Latency counts from the intended time to the served answer. Any thread.
 */
public final class WebhookClients {
  private static final int STACK = 256 << 10;
  private static final long CONNECT_MILLIS = 1_000;
  /** After a final answer the connection is watched this long for a second one. */
  private static final long WATCH = 2_000;

  /** A client that judges waits this much longer than its patience, to tell a late answer from none. */
  private static final long NO_ANSWER_AFTER = 6_000_000;

  /** How a class of calls behaves; times in microseconds. */
  public record Kind(String type, Effect effect, long deadline, long aim, long repeatWindow) {}

  /** What came of all calls. */
  public static final class Totals {
    public final AtomicInteger calls = new AtomicInteger();
    public final AtomicInteger served = new AtomicInteger();
    public final AtomicInteger late = new AtomicInteger();
    public final AtomicInteger refused = new AtomicInteger();
    public final AtomicInteger failed = new AtomicInteger();
    public final AtomicInteger unreached = new AtomicInteger();
    public final Map<String, Integer> reasons = new TreeMap<>();
    final Histogram latency = new Histogram(60_000_000L, 3);

    synchronized void reason(String word) {
      reasons.merge(word, 1, Integer::sum);
    }

    synchronized void servedAfter(long micros) {
      latency.recordValue(Math.min(60_000_000L, Math.max(1, micros)));
    }

    /** Milliseconds at a percentile of served calls. */
    public synchronized double millis(double percentile) {
      return latency.getValueAtPercentile(percentile) / 1000.0;
    }
  }

  private final String path;
  private final Secret secret;
  private final IntFunction<InetSocketAddress> edges;
  private final Tap tap;
  private final Totals totals = new Totals();
  private final ThreadPoolExecutor threads = Threads.pool("clients", 8_000, STACK);
  private final Map<InetSocketAddress, ArrayDeque<HttpConnection>> idle = new LinkedHashMap<>();
  volatile boolean abusive;

  /** Clients that send to a path signed with a secret; {@code edges} gives the address of an edge's number. */
  public WebhookClients(String path, Secret secret, IntFunction<InetSocketAddress> edges, Tap tap) {
    this.path = path;
    this.secret = secret;
    this.edges = edges;
    this.tap = tap;
  }

  public Totals totals() {
    return totals;
  }

  /** Starts a call that was meant for this time. */
  public void call(
      String message,
      int edge,
      Kind kind,
      String function,
      Map<String, Object> hints,
      long meantFor,
      long seed) {
    totals.calls.incrementAndGet();
    threads.execute(() -> run(message, edge, kind, function, hints, meantFor, new Random(seed)));
  }

  /** Waits until every call has ended. */
  public boolean finish(long millis) throws InterruptedException {
    threads.shutdown();
    return threads.awaitTermination(millis, TimeUnit.MILLISECONDS);
  }

  private byte[] body(Kind kind, String function, Map<String, Object> hints) {
    Map<String, Object> data = new LinkedHashMap<>(hints);
    data.put("function", function);
    Map<String, Object> payload = new LinkedHashMap<>();
    payload.put("type", kind.type());
    payload.put("timestamp", java.time.Instant.now().toString());
    payload.put("data", data);
    return Json.write(payload).getBytes(StandardCharsets.UTF_8);
  }

  private void run(
      String message,
      int edge,
      Kind kind,
      String function,
      Map<String, Object> hints,
      long meantFor,
      Random random) {
    byte[] body = body(kind, function, hints);
    long stamp = 0;
    long firstAt = Clock.micros();
    Tap.Try last = null;
    int tries = abusive ? 5 : 3;
    try {
      for (int i = 0; i < tries; i++) {
        stamp = Math.max(stamp + 1, System.currentTimeMillis() / 1000);
        long clientTimeout =
            kind.deadline() / 2_000_000 * 1_000_000 < 1_000_000 || random.nextBoolean()
                ? kind.deadline()
                : (kind.deadline() / 1_000_000 - 1) * 1_000_000;
        last = attempt(message, edge, kind, body, stamp, clientTimeout);
        if (served(last) || !mayRetry(last, kind, firstAt)) {
          break;
        }
        Thread.sleep(abusive ? 20 : 300 + random.nextInt(900));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    count(last, kind, meantFor);
  }

  private static boolean served(Tap.Try t) {
    return t != null && t.statuses.contains(200);
  }

  private void count(Tap.Try last, Kind kind, long meantFor) {
    if (served(last)) {
      long took = last.answeredAt - meantFor;
      totals.served.incrementAndGet();
      totals.servedAfter(took);
      totals.late.addAndGet(took > kind.aim() ? 1 : 0);
    } else if (last != null && last.retryAfter) {
      totals.refused.incrementAndGet();
    } else if (last != null && last.unreached) {
      totals.unreached.incrementAndGet();
    } else {
      totals.failed.incrementAndGet();
    }
    if (last != null) {
      totals.reason(
          last.reason.isEmpty()
              ? last.unreached ? "not_reached" : "connection_broke"
              : last.reason);
    }
  }

  private static boolean mayRetry(Tap.Try last, Kind kind, long firstAt) {
    return switch (kind.effect()) {
      case SAFE -> true;
      case KEYED -> Clock.micros() + kind.deadline() < firstAt + kind.repeatWindow();
      // A broken connection says nothing: its edge must know by its ledger whether the call may
      // have run.
      case UNSAFE -> last.unreached || last.retryAfter || last.broken;
    };
  }

  /** One try; also what tests use to send exactly one request. */
  public Tap.Try attempt(
      String message, int edge, Kind kind, byte[] body, long stamp, long clientTimeout) {
    InetSocketAddress to = edges.apply(edge);
    // Signed before its time begins to count: what this process takes for that is none of the
    // edge's.
    HeadWriter w = HeadWriter.request("POST", path, "edge")
        .field("Content-Type", "application/json")
        .field(Delivery.ID, message)
        .field(Delivery.TIMESTAMP, stamp)
        .field(Delivery.SIGNATURE, secret.sign(message, stamp, body));
    if (clientTimeout < kind.deadline()) {
      w.field("Prefer", "wait=" + clientTimeout / 1_000_000);
    }
    byte[] request = w.with(body);
    Tap.Try t = tap.sent(path + " " + message, edge, kind.effect(), Clock.micros(), clientTimeout);
    HttpConnection c = null;
    try {
      c = borrow(to);
      t.connectedAt = Clock.micros();
      c.write(request);
      t.writtenAt = Clock.micros();
      answer(c, t, to);
    } catch (ConnectException e) {
      t.unreached = true;
    } catch (IOException | BadMessage e) {
      t.unreached = c == null;
      t.broken = c != null;
      if (c != null) {
        c.abort();
      }
    }
    return t;
  }

  private void answer(HttpConnection c, Tap.Try t, InetSocketAddress to)
      throws IOException, BadMessage {
    long until = t.sentAt + t.clientTimeout + NO_ANSWER_AFTER;
    Head head = c.readResponse(until);
    c.readBody(BodyParser.forResponse(head, HttpLimits.INTERNAL), until);
    t.answeredAt = Clock.micros();
    t.retryAfter = head.get("retry-after") != null;
    t.reason = String.valueOf(head.get("gorseladder-reason"));
    t.statuses.add(head.status());
    try {
      if (c.awaitMessage(Clock.micros() + WATCH)) {
        t.statuses.add(c.readResponse(Clock.micros() + WATCH).status());
      }
      c.close();
    } catch (SocketTimeoutException e) {
      if (head.keepsConnection()) {
        giveBack(to, c);
      } else {
        c.close();
      }
    }
  }

  private HttpConnection borrow(InetSocketAddress to) throws IOException {
    synchronized (idle) {
      ArrayDeque<HttpConnection> kept = idle.computeIfAbsent(to, k -> new ArrayDeque<>());
      while (!kept.isEmpty()) {
        HttpConnection c = kept.pollLast();
        if (!c.peerGone() && !c.hasBufferedBytes()) {
          return c;
        }
        c.close();
      }
    }
    return HttpConnection.open(to, CONNECT_MILLIS, HttpLimits.INTERNAL);
  }

  private void giveBack(InetSocketAddress to, HttpConnection c) {
    synchronized (idle) {
      idle.get(to).addLast(c);
    }
  }

  /** The payload of a call, for tests. */
  public byte[] payload(Kind kind, String function) {
    return body(kind, function, Map.of());
  }

  /** Reasons by count, in their order. */
  public static String print(Map<String, Integer> reasons) {
    return String.join(
        ", ",
        reasons.entrySet().stream().map(e -> e.getKey() + " " + e.getValue()).toList());
  }

  /** The kinds of call that every fleet takes, by their event types. */
  public static List<Kind> kinds(long aim, long deadline, long repeatWindow) {
    return List.of(
        new Kind("hours.read", Effect.SAFE, deadline, aim, 0),
        new Kind("assessment.saved", Effect.KEYED, deadline, aim, repeatWindow),
        new Kind("certificate.issued", Effect.UNSAFE, deadline, aim, 0));
  }
}
