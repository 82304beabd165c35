package gorseladder.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What was seen on the sockets of clients, runners and the change log, and of processes. Any thread. */
final class Evidence {
  /** A request of a client. Fields are set by the client's threads under this object's lock. */
  static final class Asked {
    final String id;
    final int dispatcher;
    final CallClass callClass;
    final String body;
    final long timeout;
    /** When its last byte was handed to the system; 0 where it was not. */
    long sentAt;

    /** When its client aborted it or closed its connection; 0 where it did not. */
    long leftAt;

    long answeredAt;
    int status;
    String answer;
    int answers;
    /** When its connection ended with no answer; 0 where it did not. */
    long cutAt;

    /** The request was the first on its connection, or others were open there. */
    boolean connectionInUse;

    Asked(String id, int dispatcher, CallClass callClass, String body, long timeout) {
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

  /** An attempt that arrived whole at a runner. */
  static final class Arrived {
    final String id;
    final SoakRunner runner;
    final long firstByteAt;
    final long at;
    final long max;
    final String key;
    /** By how much the proxy before the runner may have held it up. */
    final long heldUp;
    /** When its end was written, it was given up, or its connection ended; 0 while it is out. */
    volatile long endedAt;

    volatile boolean neverRan;

    Arrived(
        String id,
        SoakRunner runner,
        long firstByteAt,
        long at,
        long max,
        String key,
        long heldUp) {
      this.id = id;
      this.runner = runner;
      this.firstByteAt = firstByteAt;
      this.at = at;
      this.max = max;
      this.key = key;
      this.heldUp = heldUp;
    }
  }

  /** A span of a dispatcher's process. */
  record Life(
      int dispatcher,
      long startedAt,
      long readyAt,
      long endAskedAt,
      long endedAt,
      int exitCode,
      boolean killed) {}

  /** A span in which what is told of it does not count, with why. */
  record Span(long from, long to) {
    boolean holds(long at) {
      return at >= from && at <= to;
    }
  }

  private static final long JUST_BEFORE = 60_000;

  private final OwnStalls ownStalls = new OwnStalls();
  private final Map<String, Asked> asked = new ConcurrentHashMap<>();
  private final Map<String, List<Arrived>> arrived = new HashMap<>();
  private final List<Life> lives = new ArrayList<>();
  private final Map<Integer, List<Span>> logTroubles = new HashMap<>();
  private final Map<Integer, List<Span>> slowLogs = new HashMap<>();
  private final Map<Integer, List<Span>> clientCuts = new HashMap<>();
  private final Map<Integer, List<Span>> pauses = new HashMap<>();

  /** How late the soak's own threads may have been. */
  OwnStalls ownStalls() {
    return ownStalls;
  }

  void asked(Asked request) {
    asked.put(request.id, request);
  }

  synchronized void arrived(Arrived attempt) {
    arrived.computeIfAbsent(attempt.id, id -> new ArrayList<>()).add(attempt);
  }

  synchronized void life(Life life) {
    lives.add(life);
  }

  /** The change log tells one dispatcher late in this span. */
  synchronized void logTrouble(int dispatcher, Span span) {
    logTroubles.computeIfAbsent(dispatcher, d -> new ArrayList<>()).add(span);
  }

  /** Connections between clients and a dispatcher were cut by the soak in this span. */
  synchronized void clientCut(int dispatcher, Span span) {
    clientCuts.computeIfAbsent(dispatcher, d -> new ArrayList<>()).add(span);
  }

  /** A dispatcher's process stood still in this span. */
  synchronized void pause(int dispatcher, Span span) {
    pauses.computeIfAbsent(dispatcher, d -> new ArrayList<>()).add(span);
  }

  /** The pause of a dispatcher that ended just before a moment; null where there was none. */
  synchronized Span pauseBefore(int dispatcher, long at) {
    return pauses.getOrDefault(dispatcher, List.of()).stream()
        .filter(p -> p.from() < at && at <= p.to() + JUST_BEFORE)
        .findFirst()
        .orElse(null);
  }

  /** When the last pause of a dispatcher ended that overlaps a span; 0 where none does. */
  synchronized long pausedUntil(int dispatcher, Span span) {
    return pauses.getOrDefault(dispatcher, List.of()).stream()
        .filter(p -> p.from() <= span.to() && p.to() >= span.from())
        .mapToLong(Span::to)
        .max()
        .orElse(0);
  }

  Collection<Asked> requests() {
    return asked.values();
  }

  Asked request(String id) {
    return asked.get(id);
  }

  synchronized List<Arrived> attempts(String id) {
    return List.copyOf(arrived.getOrDefault(id, List.of()));
  }

  synchronized List<Arrived> attempts() {
    return arrived.values().stream().flatMap(List::stream).toList();
  }

  synchronized List<Life> lives() {
    return List.copyOf(lives);
  }

  synchronized boolean logTroubled(long at) {
    return logTroubles.values().stream().flatMap(List::stream).anyMatch(span -> span.holds(at));
  }

  /** The change log answers each new connection of a dispatcher late in this span: whoever asks anew hears late. */
  synchronized void slowLog(int dispatcher, Span span) {
    logTrouble(dispatcher, span);
    slowLogs.computeIfAbsent(dispatcher, d -> new ArrayList<>()).add(span);
  }

  /**
   * When what the log told at that time counts as told to a dispatcher: the given time after a trouble of the log
   * began.
   */
  synchronized long toldAt(int dispatcher, long at, long within) {
    boolean slow =
        slowLogs.getOrDefault(dispatcher, List.of()).stream().anyMatch(span -> span.holds(at));
    return logTroubles.getOrDefault(dispatcher, List.of()).stream()
        .filter(span -> span.holds(at))
        .mapToLong(span -> (slow ? at : span.from()) + within)
        .reduce(at, Math::max);
  }

  synchronized boolean cutByClientSide(int dispatcher, long at) {
    return clientCuts.getOrDefault(dispatcher, List.of()).stream().anyMatch(span -> span.holds(at));
  }
}
