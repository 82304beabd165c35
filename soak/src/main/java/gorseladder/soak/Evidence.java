package gorseladder.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What was seen on the sockets of clients, runners and the change log, and how the processes ran. Thread-safe. */
final class Evidence {
  /** A request of a client. The client's threads set the fields while they hold this object's monitor. */
  static final class ClientRequest {
    final String id;
    final int dispatcher;
    final CallClass callClass;
    final String body;
    final long timeout;
    /** When its last byte was passed to the operating system; 0 where it was not. */
    long sentAt;

    /** When its client aborted it or closed its connection before an answer; 0 where it did not. */
    long clientGoneAt;

    long answeredAt;
    int status;
    String answer;
    int answerCount;
    /** When its connection ended before an answer; 0 where it did not. */
    long connectionLostAt;

    /** True where its connection had carried another request before. */
    boolean onReusedConnection;

    ClientRequest(String id, int dispatcher, CallClass callClass, String body, long timeout) {
      this.id = id;
      this.dispatcher = dispatcher;
      this.callClass = callClass;
      this.body = body;
      this.timeout = timeout;
    }

    synchronized boolean refused() {
      return status == 429 || status == 503;
    }
  }

  /** An attempt that arrived completely at a runner. */
  static final class Attempt {
    final String id;
    final SoakRunner runner;
    final long firstByteAt;
    final long arrivedAt;
    final long timePassed;
    final String key;
    /** An upper bound of the delay that the proxy in front of the runner caused. */
    final long maxProxyDelay;
    /** When its answer was written, it was aborted, or its connection ended; 0 while it is in flight. */
    volatile long endedAt;

    volatile boolean neverRan;

    Attempt(
        String id,
        SoakRunner runner,
        long firstByteAt,
        long arrivedAt,
        long timePassed,
        String key,
        long maxProxyDelay) {
      this.id = id;
      this.runner = runner;
      this.firstByteAt = firstByteAt;
      this.arrivedAt = arrivedAt;
      this.timePassed = timePassed;
      this.key = key;
      this.maxProxyDelay = maxProxyDelay;
    }
  }

  /** One run of a dispatcher's process, from its start to its end. */
  record ProcessRun(
      int dispatcher,
      long startedAt,
      long readyAt,
      long endAskedAt,
      long endedAt,
      int exitCode,
      boolean killed) {}

  /** A span of time that includes both its ends. */
  record Span(long from, long to) {
    boolean contains(long at) {
      return at >= from && at <= to;
    }
  }

  private static final long RESUME_WINDOW_MICROS = 60_000;

  private final StallMonitor stallMonitor = new StallMonitor();
  private final Map<String, ClientRequest> requests = new ConcurrentHashMap<>();
  private final Map<String, List<Attempt>> attempts = new HashMap<>();
  private final List<ProcessRun> processRuns = new ArrayList<>();
  private final Map<Integer, List<Span>> logTroubles = new HashMap<>();
  private final Map<Integer, List<Span>> slowLogs = new HashMap<>();
  private final Map<Integer, List<Span>> clientCuts = new HashMap<>();
  private final Map<Integer, List<Span>> pauses = new HashMap<>();

  /** The delays of the soak's own threads. */
  StallMonitor stallMonitor() {
    return stallMonitor;
  }

  void addRequest(ClientRequest request) {
    requests.put(request.id, request);
  }

  synchronized void addAttempt(Attempt attempt) {
    attempts.computeIfAbsent(attempt.id, id -> new ArrayList<>()).add(attempt);
  }

  synchronized void addProcessRun(ProcessRun run) {
    processRuns.add(run);
  }

  /** Adds a span in which the change log reaches one dispatcher late. */
  synchronized void addLogTrouble(int dispatcher, Span span) {
    logTroubles.computeIfAbsent(dispatcher, d -> new ArrayList<>()).add(span);
  }

  /** Adds a span in which the soak cut connections between clients and a dispatcher. */
  synchronized void addClientCut(int dispatcher, Span span) {
    clientCuts.computeIfAbsent(dispatcher, d -> new ArrayList<>()).add(span);
  }

  /** Adds a span in which a dispatcher's process was paused. */
  synchronized void addPause(int dispatcher, Span span) {
    pauses.computeIfAbsent(dispatcher, d -> new ArrayList<>()).add(span);
  }

  /** Returns the pause of a dispatcher that contains a moment or ended just before it; null where there is none. */
  synchronized Span pauseBefore(int dispatcher, long at) {
    return pauses.getOrDefault(dispatcher, List.of()).stream()
        .filter(span -> span.from() < at && at <= span.to() + RESUME_WINDOW_MICROS)
        .findFirst()
        .orElse(null);
  }

  /** Returns when the last pause of a dispatcher that overlaps a span ended; 0 where none does. */
  synchronized long pausedUntil(int dispatcher, Span span) {
    return pauses.getOrDefault(dispatcher, List.of()).stream()
        .filter(pause -> pause.from() <= span.to() && pause.to() >= span.from())
        .mapToLong(Span::to)
        .max()
        .orElse(0);
  }

  Collection<ClientRequest> requests() {
    return requests.values();
  }

  ClientRequest request(String id) {
    return requests.get(id);
  }

  synchronized List<Attempt> attempts(String id) {
    return List.copyOf(attempts.getOrDefault(id, List.of()));
  }

  synchronized List<Attempt> attempts() {
    return attempts.values().stream().flatMap(List::stream).toList();
  }

  synchronized List<ProcessRun> processRuns() {
    return List.copyOf(processRuns);
  }

  synchronized boolean isLogTroubled(long at) {
    return logTroubles.values().stream().flatMap(List::stream).anyMatch(span -> span.contains(at));
  }

  /**
   * Adds a span in which the change log answers each new connection of a dispatcher late, so that a dispatcher that
   * connects again hears late.
   */
  synchronized void addSlowLog(int dispatcher, Span span) {
    addLogTrouble(dispatcher, span);
    slowLogs.computeIfAbsent(dispatcher, d -> new ArrayList<>()).add(span);
  }

  /**
   * Returns when an announcement of the change log counts as delivered to a dispatcher: at once, or this long after a
   * trouble of the log began, or after the announcement where the log is slow.
   */
  synchronized long deliveredBy(int dispatcher, long at, long within) {
    boolean slow =
        slowLogs.getOrDefault(dispatcher, List.of()).stream().anyMatch(span -> span.contains(at));
    return logTroubles.getOrDefault(dispatcher, List.of()).stream()
        .filter(span -> span.contains(at))
        .mapToLong(span -> (slow ? at : span.from()) + within)
        .reduce(at, Math::max);
  }

  synchronized boolean wasClientCut(int dispatcher, long at) {
    return clientCuts.getOrDefault(dispatcher, List.of()).stream()
        .anyMatch(span -> span.contains(at));
  }
}
