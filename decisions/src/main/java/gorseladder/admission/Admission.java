package gorseladder.admission;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/**
 * Decides which calls an edge accepts under overload, before they cost anything. The queue of calls that are accepted
 * and not yet sent for the first time is bounded by waiting time: it holds as many calls as were recently sent within a
 * part of the latency target of the caller's class. Calls beyond that are refused only if there is a standing queue,
 * measured by the shortest wait of the calls recently sent (as in CoDel, RFC 8289 section 3), so that calls waiting for
 * the load of one function cause no refusals of others.
 *
 * <p>If there is not room for all, calls worth more go before calls worth less, tenants within their share before
 * tenants above it, and new calls before retries of recently refused ones. Each kind keeps a part of the room, so none
 * starves.
 *
 * <p>Prevents an edge from accepting everything and serving nothing in time, and from staying in that state after the
 * load has passed because senders retry. It also covers a fleet that lost half its runners (calls are sent more slowly,
 * so fewer may wait) and a slow ledger disk. There are two drawbacks. Of a burst after silence only {@link
 * #ALWAYS_ADMITTED_FRACTION} and what is sent in the meantime is accepted once the first calls queue up. And where
 * others guess the ids of refused calls, their calls count as retries.
 *
 * <p>Only calls that have not been accepted are refused, and the caller asks only for messages without a record. Free
 * of clocks and input; not thread safe. Times are microseconds on one clock.
 */
public final class Admission {
  /** Longest useful wait before the first send, as a part of the latency target. */
  private static final double MAX_WAIT_FRACTION = 0.5;

  /** Part of the longest useful wait that the shortest wait must exceed to count as a standing queue. */
  private static final double STANDING_FRACTION = 0.2;

  /** Part of the maximum number of calls that may wait whatever was measured. */
  private static final double ALWAYS_ADMITTED_FRACTION = 1.0 / 64;

  /** Length of a window in which sends and the shortest wait are recorded. */
  private static final long WINDOW_MICROS = 100_000;

  /** Number of windows over which sends are counted. */
  private static final int WINDOW_COUNT = 10;

  /** Part of the room that is open to calls of worth 0. */
  private static final double MIN_WORTH_FACTOR = 0.5;

  /** Part of the room that is open to tenants above their share. */
  private static final double OVER_SHARE_FACTOR = 0.6;

  /** Part of the room that is open to retries of refused calls. */
  private static final double RETRY_FACTOR = 0.75;

  /** Longest delay of a refusal. */
  private static final long MAX_REFUSAL_DELAY_MICROS = 1_000_000;

  /** Maximum number of refused messages that are remembered. */
  private static final int MAX_REMEMBERED_REFUSALS = 20_000;

  /** How long a refused message is remembered. */
  private static final long REFUSAL_MEMORY_MICROS = 30_000_000;

  /**
   * Settings of the edge.
   *
   * @param maxCalls maximum number of calls held at once
   * @param shares share of each tenant
   * @param maxRetryAfter longest time that a client may be told to wait before a retry
   */
  public record Settings(int maxCalls, Map<String, Double> shares, long maxRetryAfter) {}

  /**
   * A call that asks for admission.
   *
   * @param worth worth of its class relative to the highest one, 0 to 1; 1 if the class is not known yet
   * @param latencyTarget latency target of its class; the longest of all if the class is not known yet
   * @param waited how long it waited to be read
   */
  public record Arrival(
      long message, String tenant, double worth, long latencyTarget, long waited) {}

  private record WaitingCall(String tenant, long since) {}

  private static final class Window {
    private long number = Long.MIN_VALUE;
    private int sent;
    private long shortestWait = Long.MAX_VALUE;
  }

  private final Settings settings;
  private final Random random;
  private final Window[] windows = new Window[WINDOW_COUNT];
  /** Calls that wait to be sent, by id, oldest first. */
  private final Map<Long, WaitingCall> waiting = new LinkedHashMap<>();

  private final Map<String, Integer> waitingByTenant = new HashMap<>();
  /** Time of the last refusal by message, oldest first. */
  private final Map<Long, Long> refusedAt = new LinkedHashMap<>();

  private long probedAt = Long.MIN_VALUE / 2;
  private double refusedShare;
  private long refusals;

  /**
   * Creates an empty queue.
   *
   * @param seed seed for spreading the retries of refused clients
   */
  public Admission(Settings settings, long seed) {
    this.settings = settings;
    this.random = new Random(seed);
    for (int i = 0; i < WINDOW_COUNT; i++) {
      windows[i] = new Window();
    }
  }

  /** Returns whether a call is admitted; a refused one counts as a retry for a while if it comes again. */
  public boolean mayEnter(Arrival call, long now) {
    boolean admitted = hasRoom(call, now);
    if (admitted) {
      refusedAt.remove(call.message());
    } else {
      refusals++;
      remember(call.message(), now);
    }
    refusedShare += ((admitted ? 0 : 1) - refusedShare) / 100;
    return admitted;
  }

  private void remember(long message, long now) {
    refusedAt.remove(message);
    refusedAt.put(message, now);
    var oldest = refusedAt.entrySet().iterator();
    for (var e = oldest.next();
        refusedAt.size() > MAX_REMEMBERED_REFUSALS || e.getValue() <= now - REFUSAL_MEMORY_MICROS;
        e = oldest.next()) {
      oldest.remove();
    }
  }

  private boolean hasRoom(Arrival call, long now) {
    int queued = waiting.size();
    if (queued < settings.maxCalls() * ALWAYS_ADMITTED_FRACTION) {
      return true;
    }
    double maxWait = MAX_WAIT_FRACTION * call.latencyTarget();
    if (call.waited() > maxWait) {
      // Too little of its time is left; another call makes better use of the capacity.
      return false;
    }
    double part = part(call, now);
    if (queued
        < part
            * Math.min(
                settings.maxCalls(),
                maxWait * recentlySent(now) / (WINDOW_MICROS * WINDOW_COUNT))) {
      return true;
    }
    if (queueDelay(now) <= STANDING_FRACTION * part * maxWait) {
      return queued < settings.maxCalls();
    }
    // Perhaps nothing was sent only because nothing was admitted: one call per window finds out.
    boolean probe = now - probedAt >= WINDOW_MICROS && queued < settings.maxCalls();
    probedAt = probe ? now : probedAt;
    return probe;
  }

  /** The part of the room that is open to a call of this kind. */
  private double part(Arrival call, long now) {
    double part =
        MIN_WORTH_FACTOR + (1 - MIN_WORTH_FACTOR) * Math.max(0, Math.min(1, call.worth()));
    if (isOverShare(call.tenant())) {
      part *= OVER_SHARE_FACTOR;
    }
    Long before = refusedAt.get(call.message());
    return before != null && before > now - REFUSAL_MEMORY_MICROS ? part * RETRY_FACTOR : part;
  }

  /** Whether the tenant has more of the waiting calls than its share among the tenants that have waiting calls. */
  private boolean isOverShare(String tenant) {
    if (!waitingByTenant.containsKey(tenant)) {
      return false;
    }
    double own = share(tenant);
    double present = waitingByTenant.keySet().stream().mapToDouble(this::share).sum();
    return present > own && waitingByTenant.get(tenant) > waiting.size() * own / present;
  }

  private double share(String tenant) {
    return settings.shares().getOrDefault(tenant, 0.0);
  }

  /** Records an admitted call, which has waited since {@code since} and waits until it is sent or ends. */
  public void entered(long id, String tenant, long since) {
    waiting.put(id, new WaitingCall(tenant, since));
    waitingByTenant.merge(tenant, 1, Integer::sum);
  }

  /** Records the first send of a call; later sends of the same id change nothing. */
  public void sent(long id, long now) {
    WaitingCall call = remove(id);
    if (call != null) {
      Window window = windowAt(now);
      window.sent++;
      window.shortestWait = Math.min(window.shortestWait, now - call.since());
    }
  }

  /** Records that a call ended without being sent, or was refused after admission. */
  public void endedUnsent(long id) {
    remove(id);
  }

  private WaitingCall remove(long id) {
    WaitingCall call = waiting.remove(id);
    if (call != null) {
      waitingByTenant.compute(call.tenant(), (t, n) -> n == 1 ? null : n - 1);
    }
    return call;
  }

  private Window windowAt(long now) {
    long number = Math.floorDiv(now, WINDOW_MICROS);
    Window window = windows[(int) Math.floorMod(number, (long) WINDOW_COUNT)];
    if (window.number != number) {
      window.number = number;
      window.sent = 0;
      window.shortestWait = Long.MAX_VALUE;
    }
    return window;
  }

  /** Number of calls sent in all windows. */
  private int recentlySent(long now) {
    long oldest = Math.floorDiv(now, WINDOW_MICROS) - WINDOW_COUNT;
    int sum = 0;
    for (Window window : windows) {
      sum += window.number > oldest ? window.sent : 0;
    }
    return sum;
  }

  /** The shortest wait in this window and the one before; the age of the oldest call if none was sent. */
  private long queueDelay(long now) {
    long number = Math.floorDiv(now, WINDOW_MICROS);
    long shortest = Long.MAX_VALUE;
    for (Window window : windows) {
      shortest = window.number >= number - 1 ? Math.min(shortest, window.shortestWait) : shortest;
    }
    if (shortest < Long.MAX_VALUE || waiting.isEmpty()) {
      return shortest == Long.MAX_VALUE ? 0 : shortest;
    }
    return now - waiting.values().iterator().next().since();
  }

  /**
   * Seconds after which a refused client may retry, 1 or more (RFC 9110 section 10.2.3). The time grows with the share
   * of refusals and is random, so that clients refused together do not return together.
   */
  public int retryAfter() {
    long most = Math.max(1, (settings.maxRetryAfter() + 999_999) / 1_000_000);
    return 1
        + (int) Math.min(
            most - 1, Math.floor(random.nextDouble() * most * Math.min(1, 2 * refusedShare)));
  }

  /**
   * How long the answer to a refused call is delayed, in microseconds. An immediate refusal frees the connection of the
   * sender for its next call, and an edge that refuses ten times as many calls as it serves has no time left to serve;
   * the delay limits each connection to a few calls a second. It is 0 while few calls are refused; callers that delay
   * an answer ask again from time to time, since the delay may have become shorter.
   */
  public long refusalDelay() {
    return (long) (MAX_REFUSAL_DELAY_MICROS * Math.max(0, Math.min(1, 2 * refusedShare - 0.5)));
  }

  /** Number of calls that wait to be sent. */
  public int waiting() {
    return waiting.size();
  }

  /** Number of calls refused so far. */
  public long refusals() {
    return refusals;
  }
}
