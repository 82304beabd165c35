package gorseladder.ahead;

import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.PlannedLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Executes plans for loading ahead in a dispatcher: accepts plans, proposes loads to the router at their time, and
 * keeps the accounting. The router decides whether a proposal becomes an order: it counts the order in its own ration,
 * leaves room for calls that need a load, and skips workers that drain, are cold or suspect.
 *
 * <p>A plan that is older than the current one, has expired or is invalid is rejected. Without a plan nothing is
 * proposed. It does no I/O and reads no clock; times are microseconds on one clock. Not thread safe.
 */
public final class PlanExecutor {
  /** Maximum items of a plan, so that a faulty planner cannot exhaust the memory of its dispatchers. */
  private static final int MAX_ITEMS = 10_000;
  /** Maximum copies of one item. */
  private static final int MAX_COPIES_PER_ITEM = 64;
  /** Fraction of the keep-alive after which the hold of an unused copy is renewed. */
  private static final double RENEWAL_FRACTION = 0.6;
  /** Fraction of the keep-alive in which other dispatchers are notified at most once that a copy was found. */
  private static final double NOTIFICATION_FRACTION = 0.5;
  /** Prefix of the message that another dispatcher's copy was found. */
  private static final String FOUND_PREFIX = "found ";
  /** Maximum message length; with longer names no message is sent, and the copy counts as unused. */
  private static final int MAX_MESSAGE_LENGTH = 250;
  /** Time after which a hold that the router skipped is proposed again, so that others are proposed before. */
  private static final long RETRY_MICROS = 1_000_000;
  /** Maximum proposals returned by one call of {@link #due}, so that a plan causes no burst of orders. */
  private static final int MAX_PROPOSALS_AT_ONCE = 4;

  /** Result of offering a plan. */
  public enum Verdict {
    TAKEN,
    OLDER,
    EXPIRED,
    ABSURD
  }

  private static final class HoldState {
    private final Plan.Item item;
    private long orderedAt = -1;
    private long renewAfter;
    private long proposeAfter = Long.MIN_VALUE;
    private boolean loaded;
    private long notifiedAt = Long.MIN_VALUE / 2;

    HoldState(Plan.Item item) {
      this.item = item;
    }
  }

  private record CopyKey(String worker, String function) {}

  private final long keepAliveMicros;
  private final LoadAheadAccounting account;
  /** The holds of all items of the current plan. */
  private final Map<CopyKey, HoldState> holds = new LinkedHashMap<>();

  /** The holds that this dispatcher orders. */
  private final Set<HoldState> ownHolds = new LinkedHashSet<>();
  /** Orders in progress, those of replaced plans included. */
  private final Map<CopyKey, HoldState> pendingOrders = new HashMap<>();

  private Plan plan = new Plan(Long.MIN_VALUE, 0, 0, List.of());
  private long orderCount;

  /**
   * Creates an executor without a plan.
   *
   * @param keepAliveMicros time after which an idle copy is unloaded
   */
  public PlanExecutor(long keepAliveMicros) {
    this.keepAliveMicros = keepAliveMicros;
    this.account = new LoadAheadAccounting(keepAliveMicros);
  }

  /** Replaces the current plan by a newer one; a rejected plan leaves the current one in place. */
  public Verdict offer(Plan next, long now) {
    boolean newer = next.epoch() > plan.epoch()
        || next.epoch() == plan.epoch() && next.version() > plan.version();
    if (!newer) {
      return Verdict.OLDER;
    }
    if (next.expiresAt() <= now) {
      return Verdict.EXPIRED;
    }
    if (next.items().size() > MAX_ITEMS
        || next.items().stream().anyMatch(item -> isInvalid(next, item))) {
      return Verdict.ABSURD;
    }
    plan = next;
    Map<CopyKey, HoldState> previousHolds = new HashMap<>(holds);
    holds.clear();
    ownHolds.clear();
    for (Plan.Item item : next.items()) {
      CopyKey key = new CopyKey(item.worker(), item.function());
      HoldState hold = new HoldState(item);
      HoldState previous = previousHolds.get(key);
      if (previous != null && previous.orderedAt >= 0) {
        hold.orderedAt = previous.orderedAt;
        hold.renewAfter = previous.renewAfter;
        hold.loaded = previous.loaded;
      }
      hold.notifiedAt = previous != null ? previous.notifiedAt : hold.notifiedAt;
      holds.put(key, hold);
      if (item.owned()) {
        ownHolds.add(hold);
      }
    }
    return Verdict.TAKEN;
  }

  private static boolean isInvalid(Plan plan, Plan.Item item) {
    return item.worker().isEmpty()
        || item.copies() < 1
        || item.copies() > MAX_COPIES_PER_ITEM
        || item.lanes() < 1
        || item.until() <= item.from()
        || item.from() > plan.expiresAt()
        || item.loadTime() < 0
        || !(item.memoryMb() >= 0);
  }

  /** Returns the loads to propose to the router now. Called a few times a second, it spreads a plan over time. */
  public List<PlannedLoad> due(long now) {
    account.closeExpired(now);
    List<PlannedLoad> due = new ArrayList<>();
    if (plan.expiresAt() <= now) {
      holds.clear();
      ownHolds.clear();
    }
    for (Iterator<HoldState> iterator = ownHolds.iterator();
        iterator.hasNext() && due.size() < MAX_PROPOSALS_AT_ONCE; ) {
      HoldState hold = iterator.next();
      Plan.Item item = hold.item;
      if (now >= item.until()) {
        iterator.remove();
        holds.remove(new CopyKey(item.worker(), item.function()));
      } else if (now >= item.from() && shouldPropose(hold, now)) {
        hold.proposeAfter = now + RETRY_MICROS;
        due.add(new PlannedLoad(
            item.worker(), item.function(), item.copies(), item.lanes(), item.loadTime()));
      }
    }
    return due;
  }

  /**
   * Whether the hold was not ordered yet, or its copy is loaded and has had no known use for so long that it might age
   * out before the hold ends.
   */
  private boolean shouldPropose(HoldState hold, long now) {
    if (now < hold.proposeAfter || hold.orderedAt < 0) {
      return now >= hold.proposeAfter;
    }
    long lastUse = account.lastUse(hold.item.worker(), hold.item.function());
    return hold.loaded
        && now >= hold.renewAfter
        && now >= lastUse + (long) (RENEWAL_FRACTION * keepAliveMicros);
  }

  /** Records that the router ordered a proposed hold. */
  public void ordered(String worker, String function, long now) {
    CopyKey key = new CopyKey(worker, function);
    HoldState hold = holds.get(key);
    if (hold != null) {
      orderCount++;
      hold.orderedAt = now;
      hold.loaded = false;
      pendingOrders.put(key, hold);
    }
  }

  /** Records the outcome of any load order, also of orders made for calls. */
  public void loaded(
      String worker, String function, Outcome outcome, long latencyMicros, long now) {
    CopyKey key = new CopyKey(worker, function);
    HoldState hold = pendingOrders.remove(key);
    if (hold == null) {
      return;
    }
    hold.loaded = outcome == Outcome.OK;
    hold.renewAfter = now + (long) (RENEWAL_FRACTION * keepAliveMicros);
    if (hold.loaded) {
      account.loaded(
          worker,
          function,
          hold.orderedAt,
          latencyMicros,
          hold.item.memoryMb(),
          hold.item.until(),
          now);
    } else if (holds.get(key) == hold) {
      // The order was refused or lost, so the archive or the worker may be overloaded; another
      // order would add to that.
      holds.remove(key);
      ownHolds.remove(hold);
    }
  }

  /**
   * Records a served attempt.
   *
   * @param status state of the copy that the attempt found
   * @return message to the other dispatchers that a copy ordered by one of them was found; null if there is none. If
   *     the message is lost, the copy counts as unused, which underrates loading ahead.
   */
  public String served(String worker, String function, CopyStatus status, long now) {
    account.served(worker, function, status, now);
    HoldState hold = status == CopyStatus.WARM ? holds.get(new CopyKey(worker, function)) : null;
    if (hold == null
        || hold.item.owned()
        || now < hold.notifiedAt + (long) (NOTIFICATION_FRACTION * keepAliveMicros)
        || now < hold.item.from()
        || now >= hold.item.until()) {
      return null;
    }
    hold.notifiedAt = now;
    String text = FOUND_PREFIX + worker + " " + function;
    return text.length() <= MAX_MESSAGE_LENGTH && worker.indexOf(' ') < 0 ? text : null;
  }

  /** Handles a message of another dispatcher; messages that do not report a found copy are ignored. */
  public void peerMessage(String text, long now) {
    int separator = text.indexOf(' ', FOUND_PREFIX.length());
    if (text.startsWith(FOUND_PREFIX) && separator > 0) {
      account.foundElsewhere(
          text.substring(FOUND_PREFIX.length(), separator), text.substring(separator + 1), now);
    }
  }

  /** The accounting of the loads ahead. */
  public LoadAheadAccounting account() {
    return account;
  }

  /** The current plan. */
  public Plan plan() {
    return plan;
  }

  /** Whether there are holds left to propose or to renew. */
  public boolean hasPendingHolds() {
    return !ownHolds.isEmpty();
  }

  /** Number of proposals that the router turned into orders. */
  public long orderCount() {
    return orderCount;
  }
}
