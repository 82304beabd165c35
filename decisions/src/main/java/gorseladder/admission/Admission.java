package gorseladder.admission;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/**
 * Decides which calls an edge takes when more come than it can carry, before they cost anything. What waits here, taken
 * and not yet sent for the first time, is bounded by the time it stands for: as many calls as were sent of late within
 * a part of the caller's aim. A call beyond that is refused only while calls in fact stand, measured by the shortest
 * wait of those sent of late (as CoDel does, RFC 8289 section 3), so that some that wait for one function's load turn
 * nobody else away.
 *
 * <p>Who goes first when there is not room for all: calls worth more before calls worth less, tenants within their
 * share before tenants over it, fresh calls before ones that were refused of late and come again. A part of each is
 * given to every kind, so none starves.
 *
 * <p>Guards against an edge that takes everything, serves nothing in time, and goes on so after the load has passed,
 * because its senders come back. It also covers a fleet that lost half its runners (calls are sent more slowly, so
 * fewer may wait) and a slow ledger disk. It could harm where calls are sent in rare bursts: of a burst after silence
 * only {@link #FREE} and what is sent meanwhile is taken, and only if the first ones stand; and where ids of refused
 * calls are guessed by others, whose calls then count as come again.
 *
 * <p>It refuses only what has not entered, and the caller asks only for messages of which nothing is remembered. Free
 * of clocks and input; not thread safe. Times are microseconds on one clock.
 */
public final class Admission {
  /** Part of a call's aim for which what waits before it may stand. */
  private static final double HORIZON = 0.5;
  /** Part of that time which the shortest wait must pass before calls count as standing. */
  private static final double STANDING = 0.2;
  /** Part of the calls in hand that may wait whatever was measured. */
  private static final double FREE = 1.0 / 64;
  /** Stretch of time over which sends and shortest waits are counted, and how many of them are looked at. */
  private static final long STRETCH = 100_000;

  private static final int STRETCHES = 10;
  /**
   * What is left of the room for calls of no worth beside the best, for tenants over their share, and for calls come
   * again.
   */
  private static final double LEAST_WORTH = 0.5;

  private static final double OVER_SHARE = 0.6;
  private static final double COME_AGAIN = 0.75;
  /** The longest time a refusal is held back. */
  private static final long MOST_HELD = 1_000_000;
  /** Refused messages remembered, and for how long. */
  private static final int MOST_REFUSED = 20_000;

  private static final long REFUSED_FOR = 30_000_000;

  /**
   * What the edge is told: calls in hand at the most, tenants' shares, the longest time a client may be told to wait.
   */
  public record Settings(int maxCalls, Map<String, Double> shares, long maxRetryAfter) {}

  /**
   * A call that asks to enter.
   *
   * @param worth its class's worth as a part of the best one's, 0 to 1; 1 where the class is not known yet
   * @param aim its class's aim; the longest of all where the class is not known yet
   * @param waited how long it waited to be read
   */
  public record Arrival(long message, String tenant, double worth, long aim, long waited) {}

  private record Inside(String tenant, long since) {}

  private static final class Stretch {
    private long number = Long.MIN_VALUE;
    private int sent;
    private long shortest = Long.MAX_VALUE;
  }

  private final Settings settings;
  private final Random random;
  private final Stretch[] stretches = new Stretch[STRETCHES];
  /** Oldest first. */
  private final Map<Long, Inside> waiting = new LinkedHashMap<>();

  private final Map<String, Integer> byTenant = new HashMap<>();
  private final Map<Long, Long> refused = new LinkedHashMap<>();
  private long probedAt = Long.MIN_VALUE / 2;
  private double refusedShare;
  private long refusals;

  /** Nothing waits; the seed spreads the times at which refused clients come back. */
  public Admission(Settings settings, long seed) {
    this.settings = settings;
    this.random = new Random(seed);
    for (int i = 0; i < STRETCHES; i++) {
      stretches[i] = new Stretch();
    }
  }

  /** Whether a call may enter; where it may not it is refused, and counts as come again for a while. */
  public boolean mayEnter(Arrival call, long now) {
    boolean may = hasRoom(call, now);
    if (may) {
      refused.remove(call.message());
    } else {
      refusals++;
      remember(call.message(), now);
    }
    refusedShare += ((may ? 0 : 1) - refusedShare) / 100;
    return may;
  }

  private void remember(long message, long now) {
    refused.remove(message);
    refused.put(message, now);
    var oldest = refused.entrySet().iterator();
    for (var e = oldest.next();
        refused.size() > MOST_REFUSED || e.getValue() <= now - REFUSED_FOR;
        e = oldest.next()) {
      oldest.remove();
    }
  }

  private boolean hasRoom(Arrival call, long now) {
    int here = waiting.size();
    if (here < settings.maxCalls() * FREE) {
      return true;
    }
    double horizon = HORIZON * call.aim();
    if (call.waited() > horizon) {
      // Most of its time is gone: another one is served with what it would take.
      return false;
    }
    double part = part(call, now);
    if (here < part * Math.min(settings.maxCalls(), horizon * sent(now) / (STRETCH * STRETCHES))) {
      return true;
    }
    if (standing(now) <= STANDING * part * horizon) {
      return here < settings.maxCalls();
    }
    // Nothing may have been sent only because nothing was let in: one at a time finds out.
    boolean probe = now - probedAt >= STRETCH && here < settings.maxCalls();
    probedAt = probe ? now : probedAt;
    return probe;
  }

  /** The part of the room that is open to such a call. */
  private double part(Arrival call, long now) {
    double part = LEAST_WORTH + (1 - LEAST_WORTH) * Math.max(0, Math.min(1, call.worth()));
    if (overShare(call.tenant())) {
      part *= OVER_SHARE;
    }
    Long before = refused.get(call.message());
    return before != null && before > now - REFUSED_FOR ? part * COME_AGAIN : part;
  }

  /** More of what waits is this tenant's than its share of those that have calls here. */
  private boolean overShare(String tenant) {
    if (!byTenant.containsKey(tenant)) {
      return false;
    }
    double own = share(tenant);
    double present = byTenant.keySet().stream().mapToDouble(this::share).sum();
    return present > own && byTenant.get(tenant) > waiting.size() * own / present;
  }

  private double share(String tenant) {
    return settings.shares().getOrDefault(tenant, 0.0);
  }

  /** A call that may enter entered; it has waited since then and waits until it is sent or gone. */
  public void entered(long id, String tenant, long since) {
    waiting.put(id, new Inside(tenant, since));
    byTenant.merge(tenant, 1, Integer::sum);
  }

  /** A call was sent for the first time; later ones of the same id change nothing. */
  public void sent(long id, long now) {
    Inside call = leave(id);
    if (call != null) {
      Stretch s = at(now);
      s.sent++;
      s.shortest = Math.min(s.shortest, now - call.since());
    }
  }

  /** A call ended without being sent, or was turned away after all. */
  public void endedUnsent(long id) {
    leave(id);
  }

  private Inside leave(long id) {
    Inside call = waiting.remove(id);
    if (call != null) {
      byTenant.compute(call.tenant(), (t, n) -> n == 1 ? null : n - 1);
    }
    return call;
  }

  private Stretch at(long now) {
    long number = Math.floorDiv(now, STRETCH);
    Stretch s = stretches[(int) Math.floorMod(number, (long) STRETCHES)];
    if (s.number != number) {
      s.number = number;
      s.sent = 0;
      s.shortest = Long.MAX_VALUE;
    }
    return s;
  }

  /** Calls sent in the stretches looked at. */
  private int sent(long now) {
    long oldest = Math.floorDiv(now, STRETCH) - STRETCHES;
    int sum = 0;
    for (Stretch s : stretches) {
      sum += s.number > oldest ? s.sent : 0;
    }
    return sum;
  }

  /** The shortest wait of this stretch and the one before; the age of the oldest where none was sent. */
  private long standing(long now) {
    long number = Math.floorDiv(now, STRETCH);
    long shortest = Long.MAX_VALUE;
    for (Stretch s : stretches) {
      shortest = s.number >= number - 1 ? Math.min(shortest, s.shortest) : shortest;
    }
    if (shortest < Long.MAX_VALUE || waiting.isEmpty()) {
      return shortest == Long.MAX_VALUE ? 0 : shortest;
    }
    return now - waiting.values().iterator().next().since();
  }

  /**
   * Whole seconds after which a refused client may come back, 1 or more (RFC 9110 section 10.2.3): longer the more is
   * refused, and spread by chance, so that those refused together do not come back together.
   */
  public int retryAfter() {
    long most = Math.max(1, (settings.maxRetryAfter() + 999_999) / 1_000_000);
    return 1
        + (int) Math.min(
            most - 1, Math.floor(random.nextDouble() * most * Math.min(1, 2 * refusedShare)));
  }

  /**
   * How long a refusal is held back before it is told, in microseconds. A refusal told at once frees its sender's
   * connection for the next call, and an edge that refuses ten times what it serves has no time left to serve; held
   * back, each connection brings few calls a second. Nothing is held while few are refused; whoever holds one asks
   * again every now and then, as that may be by now.
   */
  public long refusalDelay() {
    return (long) (MOST_HELD * Math.max(0, Math.min(1, 2 * refusedShare - 0.5)));
  }

  /** Calls that wait to be sent. */
  public int waiting() {
    return waiting.size();
  }

  /** Calls refused so far. */
  public long refusals() {
    return refusals;
  }
}
