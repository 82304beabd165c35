package gorseladder.testbed;

import gorseladder.RouterApi.Effect;
import gorseladder.answers.Reason;
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
 * Sends signed webhook calls in an open loop: each call starts at its intended time on its own thread and makes the
 * retries that its class allows. Latency counts from the intended time to the served answer. Thread-safe.
 */
public final class WebhookClients {
  private static final int STACK = 256 << 10;
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  /** After a final answer the connection is watched for this long, to detect a second answer. */
  private static final long DUPLICATE_WATCH_MICROS = 2_000;

  /** Clients wait this much longer than the timeout of a request, to tell a late answer from a missing one. */
  private static final long NO_ANSWER_MARGIN_MICROS = 6_000_000;

  /** A kind of call: its event type and the properties of its request class; times in microseconds. */
  public record Kind(
      String type, Effect effect, long deadline, long latencyTarget, long repeatWindow) {}

  /** Outcomes of all calls. */
  public static final class Totals {
    public final AtomicInteger calls = new AtomicInteger();
    public final AtomicInteger served = new AtomicInteger();
    public final AtomicInteger late = new AtomicInteger();
    public final AtomicInteger refused = new AtomicInteger();
    public final AtomicInteger failed = new AtomicInteger();
    public final AtomicInteger unreached = new AtomicInteger();
    public final Map<String, Integer> reasons = new TreeMap<>();
    final Histogram latency = new Histogram(60_000_000L, 3);

    synchronized void countReason(String reason) {
      reasons.merge(reason, 1, Integer::sum);
    }

    synchronized void recordServed(long micros) {
      latency.recordValue(Math.min(60_000_000L, Math.max(1, micros)));
    }

    /** Returns a percentile of the latency of served calls, in milliseconds. */
    public synchronized double latencyMillis(double percentile) {
      return latency.getValueAtPercentile(percentile) / 1000.0;
    }
  }

  private final String path;
  private final String otherPath;
  private final Secret secret;
  private final IntFunction<InetSocketAddress> edges;
  private final Tap tap;
  private final Totals totals = new Totals();
  private final ThreadPoolExecutor threads = Threads.pool("clients", 8_000, STACK);
  private final Map<InetSocketAddress, ArrayDeque<HttpConnection>> idle = new LinkedHashMap<>();
  volatile boolean retryAbuse;
  /** The share of requests that somebody posts again at the other path. */
  volatile double replayShare;

  /**
   * Creates clients for an endpoint path.
   *
   * @param otherPath another endpoint with the same secret, for replays
   * @param edges maps the number of an edge to its address
   */
  public WebhookClients(
      String path, String otherPath, Secret secret, IntFunction<InetSocketAddress> edges, Tap tap) {
    this.path = path;
    this.otherPath = otherPath;
    this.secret = secret;
    this.edges = edges;
    this.tap = tap;
  }

  public Totals totals() {
    return totals;
  }

  /** Starts a call; its latency counts from {@code intendedAt}. */
  public void call(
      String message,
      int edge,
      Kind kind,
      String function,
      Map<String, Object> hints,
      long intendedAt,
      long seed) {
    totals.calls.incrementAndGet();
    threads.execute(() -> run(message, edge, kind, function, hints, intendedAt, new Random(seed)));
  }

  /** Waits until all calls have ended; no further calls are accepted. */
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
      long intendedAt,
      Random random) {
    byte[] body = body(kind, function, hints);
    long timestamp = 0;
    long firstAt = Clock.micros();
    Tap.Try last = null;
    int tries = retryAbuse ? 5 : 3;
    try {
      for (int i = 0; i < tries; i++) {
        timestamp = Math.max(timestamp + 1, System.currentTimeMillis() / 1000);
        long clientTimeout =
            kind.deadline() / 2_000_000 * 1_000_000 < 1_000_000 || random.nextBoolean()
                ? kind.deadline()
                : (kind.deadline() / 1_000_000 - 1) * 1_000_000;
        boolean replayed = random.nextDouble() < replayShare;
        if (replayed && random.nextBoolean()) {
          long sameTimestamp = timestamp;
          threads.execute(() -> replay(message, edge, kind, body, sameTimestamp));
        }
        last = attempt(message, edge, kind, body, timestamp, clientTimeout);
        if (replayed) {
          replay(message, edge, kind, body, timestamp);
        }
        if (served(last) || !mayRetry(last, kind, firstAt)) {
          break;
        }
        Thread.sleep(retryAbuse ? 20 : 300 + random.nextInt(900));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    countOutcome(last, kind, intendedAt);
  }

  private static boolean served(Tap.Try t) {
    return t != null && t.statuses.contains(200);
  }

  private void countOutcome(Tap.Try last, Kind kind, long intendedAt) {
    if (served(last)) {
      long latency = last.answeredAt - intendedAt;
      totals.served.incrementAndGet();
      totals.recordServed(latency);
      totals.late.addAndGet(latency > kind.latencyTarget() ? 1 : 0);
    } else if (last != null && last.retryAfter) {
      totals.refused.incrementAndGet();
    } else if (last != null && last.unreached) {
      totals.unreached.incrementAndGet();
    } else {
      totals.failed.incrementAndGet();
    }
    if (last != null) {
      totals.countReason(
          last.reason.isEmpty()
              ? last.unreached ? "not_reached" : "connection_broke"
              : last.reason);
    }
  }

  private static boolean mayRetry(Tap.Try last, Kind kind, long firstAt) {
    // A replay that came first used up the request: a sender signs its retry anew.
    if (last.reason.equals(Reason.REPLAYED.word())) {
      return true;
    }
    return switch (kind.effect()) {
      case SAFE -> true;
      case KEYED -> Clock.micros() + kind.deadline() < firstAt + kind.repeatWindow();
      // A broken connection does not tell whether the call ran: the edge must know from its
      // ledger.
      case UNSAFE -> last.unreached || last.retryAfter || last.broken;
    };
  }

  /** Sends one request, without retries, and waits for its answer. */
  public Tap.Try attempt(
      String message, int edge, Kind kind, byte[] body, long timestamp, long clientTimeout) {
    return attemptAt(path, message, edge, kind, body, timestamp, clientTimeout);
  }

  /** Posts a request that was sent once more, with the same bytes, at the other path. */
  public Tap.Try replay(String message, int edge, Kind kind, byte[] body, long timestamp) {
    return attemptAt(otherPath, message, edge, kind, body, timestamp, kind.deadline());
  }

  private Tap.Try attemptAt(
      String at,
      String message,
      int edge,
      Kind kind,
      byte[] body,
      long timestamp,
      long clientTimeout) {
    InetSocketAddress to = edges.apply(edge);
    // The request is signed before its time counts, because signing is not the work of the edge.
    HeadWriter w = HeadWriter.request("POST", at, "edge")
        .field("Content-Type", "application/json")
        .field(Delivery.ID, message)
        .field(Delivery.TIMESTAMP, timestamp)
        .field(Delivery.SIGNATURE, secret.sign(message, timestamp, body));
    if (clientTimeout < kind.deadline()) {
      w.field("Prefer", "wait=" + clientTimeout / 1_000_000);
    }
    byte[] request = w.with(body);
    Tap.Try t = tap.sent(
        at + " " + message,
        edge + " " + message + " " + timestamp,
        edge,
        kind.effect(),
        Clock.micros(),
        clientTimeout);
    HttpConnection c = null;
    try {
      c = acquire(to);
      t.connectedAt = Clock.micros();
      c.write(request);
      t.writtenAt = Clock.micros();
      readAnswer(c, t, to);
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

  private void readAnswer(HttpConnection c, Tap.Try t, InetSocketAddress to)
      throws IOException, BadMessage {
    long answerBy = t.sentAt + t.clientTimeout + NO_ANSWER_MARGIN_MICROS;
    Head head = c.readResponse(answerBy);
    c.readBody(BodyParser.forResponse(head, HttpLimits.INTERNAL), answerBy);
    t.answeredAt = Clock.micros();
    t.retryAfter = head.get("retry-after") != null;
    t.reason = String.valueOf(head.get("gorseladder-reason"));
    t.statuses.add(head.status());
    try {
      if (c.awaitMessage(Clock.micros() + DUPLICATE_WATCH_MICROS)) {
        t.statuses.add(c.readResponse(Clock.micros() + DUPLICATE_WATCH_MICROS).status());
      }
      c.close();
    } catch (SocketTimeoutException e) {
      if (head.keepsConnection()) {
        release(to, c);
      } else {
        c.close();
      }
    }
  }

  private HttpConnection acquire(InetSocketAddress to) throws IOException {
    synchronized (idle) {
      ArrayDeque<HttpConnection> idleConnections =
          idle.computeIfAbsent(to, k -> new ArrayDeque<>());
      while (!idleConnections.isEmpty()) {
        HttpConnection c = idleConnections.pollLast();
        if (!c.peerGone() && !c.hasBufferedBytes()) {
          return c;
        }
        c.close();
      }
    }
    return HttpConnection.open(to, CONNECT_TIMEOUT_MILLIS, HttpLimits.INTERNAL);
  }

  private void release(InetSocketAddress to, HttpConnection c) {
    synchronized (idle) {
      idle.get(to).addLast(c);
    }
  }

  /** Returns the payload of a call without hints, for tests. */
  public byte[] payload(Kind kind, String function) {
    return body(kind, function, Map.of());
  }

  /** Formats the reasons and their counts in the order of the map. */
  public static String formatReasons(Map<String, Integer> reasons) {
    return String.join(
        ", ",
        reasons.entrySet().stream().map(e -> e.getKey() + " " + e.getValue()).toList());
  }

  /** Returns the kinds of call that each fleet accepts: safe, keyed and unsafe. */
  public static List<Kind> kinds(long latencyTarget, long deadline, long repeatWindow) {
    return List.of(
        new Kind("hours.read", Effect.SAFE, deadline, latencyTarget, 0),
        new Kind("assessment.saved", Effect.KEYED, deadline, latencyTarget, repeatWindow),
        new Kind("certificate.issued", Effect.UNSAFE, deadline, latencyTarget, 0));
  }
}
