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
 * A dispatcher's side of loading ahead: takes plans, says when which copy is to be proposed to the router, and keeps
 * the account. It proposes; whether an order leaves is the router's decision, which counts it in its own ration, leaves
 * room for calls in need, and passes over workers that drain, are cold or suspect.
 *
 * <p>A plan that is older than the one in hand, has expired or is absurd changes nothing. Without a plan nothing is
 * proposed. Free of clocks and input; not thread safe. Times are microseconds on one clock.
 */
public final class PlanExecutor {
  /** Items of a plan at the most: a planner gone wrong must not fill the memory of its dispatchers. */
  private static final int MOST_ITEMS = 10_000;
  /** Copies of one item at the most. */
  private static final int MOST_COPIES = 64;
  /** Part of the keep-alive after which a copy that was not used since is held anew. */
  private static final double RENEW = 0.6;
  /** Part of the keep-alive within which the same copy found is told once. */
  private static final double TELL = 0.5;
  /** First word of the message that another dispatcher's copy was found. */
  private static final String FOUND = "found ";
  /** The longest message: names that do not fit are not told, and the copy counts as unused. */
  private static final int MOST_MESSAGE = 250;
  /** What the router passed over is proposed again after this time, so that others have their turn before. */
  private static final long ASK_AGAIN = 1_000_000;
  /** Proposals at one look: a plan is no burst. */
  private static final int MOST_AT_ONCE = 4;

  /** What became of a plan. */
  public enum Verdict {
    TAKEN,
    OLDER,
    EXPIRED,
    ABSURD
  }

  private static final class Wish {
    private final Plan.Item item;
    private long orderedAt = -1;
    private long renewAt;
    private long askAt = Long.MIN_VALUE;
    private boolean stands;
    private long toldAt = Long.MIN_VALUE / 2;

    Wish(Plan.Item item) {
      this.item = item;
    }
  }

  private record Key(String worker, String function) {}

  private final long keepAlive;
  private final LoadAheadAccounting account;
  /** All items of the plan in hand, and those that are ordered here and not over. */
  private final Map<Key, Wish> wishes = new LinkedHashMap<>();

  private final Set<Wish> mine = new LinkedHashSet<>();
  /** Orders under way, also those of a plan that was replaced since. */
  private final Map<Key, Wish> ordered = new HashMap<>();

  private Plan plan = new Plan(Long.MIN_VALUE, 0, 0, List.of());
  private long orders;

  /** A side without a plan, where idle copies stay for so many microseconds. */
  public PlanExecutor(long keepAlive) {
    this.keepAlive = keepAlive;
    this.account = new LoadAheadAccounting(keepAlive);
  }

  /** Takes a plan, or says why not; the one in hand then stays. */
  public Verdict offer(Plan next, long now) {
    boolean newer = next.epoch() > plan.epoch()
        || next.epoch() == plan.epoch() && next.version() > plan.version();
    if (!newer) {
      return Verdict.OLDER;
    }
    if (next.expiresAt() <= now) {
      return Verdict.EXPIRED;
    }
    if (next.items().size() > MOST_ITEMS || next.items().stream().anyMatch(i -> absurd(next, i))) {
      return Verdict.ABSURD;
    }
    plan = next;
    Map<Key, Wish> before = new HashMap<>(wishes);
    wishes.clear();
    mine.clear();
    for (Plan.Item item : next.items()) {
      Key key = new Key(item.worker(), item.function());
      Wish wish = new Wish(item);
      Wish same = before.get(key);
      if (same != null && same.orderedAt >= 0) {
        wish.orderedAt = same.orderedAt;
        wish.renewAt = same.renewAt;
        wish.stands = same.stands;
      }
      wish.toldAt = same != null ? same.toldAt : wish.toldAt;
      wishes.put(key, wish);
      if (item.owned()) {
        mine.add(wish);
      }
    }
    return Verdict.TAKEN;
  }

  private static boolean absurd(Plan p, Plan.Item i) {
    return i.worker().isEmpty()
        || i.copies() < 1
        || i.copies() > MOST_COPIES
        || i.lanes() < 1
        || i.until() <= i.from()
        || i.from() > p.expiresAt()
        || i.loadTime() < 0
        || !(i.memoryMb() >= 0);
  }

  /** What is to be proposed to the router now. Call it a few times a second; it spreads a plan by itself. */
  public List<PlannedLoad> due(long now) {
    account.closeExpired(now);
    List<PlannedLoad> due = new ArrayList<>();
    if (plan.expiresAt() <= now) {
      wishes.clear();
      mine.clear();
    }
    for (Iterator<Wish> all = mine.iterator(); all.hasNext() && due.size() < MOST_AT_ONCE; ) {
      Wish w = all.next();
      Plan.Item i = w.item;
      if (now >= i.until()) {
        all.remove();
        wishes.remove(new Key(i.worker(), i.function()));
      } else if (now >= i.from() && wanted(w, now)) {
        w.askAt = now + ASK_AGAIN;
        due.add(new PlannedLoad(i.worker(), i.function(), i.copies(), i.lanes(), i.loadTime()));
      }
    }
    return due;
  }

  /**
   * Not ordered yet, or it stands and nobody is known to have used it for so long that it might age out within its
   * hold.
   */
  private boolean wanted(Wish w, long now) {
    if (now < w.askAt || w.orderedAt < 0) {
      return now >= w.askAt;
    }
    long used = account.lastUse(w.item.worker(), w.item.function());
    return w.stands && now >= w.renewAt && now >= used + (long) (RENEW * keepAlive);
  }

  /** The router ordered what was proposed. */
  public void ordered(String worker, String function, long now) {
    Key key = new Key(worker, function);
    Wish w = wishes.get(key);
    if (w != null) {
      orders++;
      w.orderedAt = now;
      w.stands = false;
      ordered.put(key, w);
    }
  }

  /** A load order ended, whoever wanted it. */
  public void loaded(String worker, String function, Outcome outcome, long latency, long now) {
    Key key = new Key(worker, function);
    Wish w = ordered.remove(key);
    if (w == null) {
      return;
    }
    w.stands = outcome == Outcome.OK;
    w.renewAt = now + (long) (RENEW * keepAlive);
    if (w.stands) {
      account.loaded(
          worker, function, w.orderedAt, latency, w.item.memoryMb(), w.item.until(), now);
    } else if (wishes.get(key) == w) {
      // Refused or lost: the archive or the worker has other things to do, and asking again
      // would make that worse.
      wishes.remove(key);
      mine.remove(w);
    }
  }

  /**
   * A served attempt and what it met there.
   *
   * @return what to tell the other dispatchers: that a copy one of them ordered was found; null where there is nothing.
   *     The message may be lost; the copy then counts as unused, which errs against loading ahead.
   */
  public String served(String worker, String function, CopyStatus note, long now) {
    account.served(worker, function, note, now);
    Wish w = note == CopyStatus.WARM ? wishes.get(new Key(worker, function)) : null;
    if (w == null
        || w.item.owned()
        || now < w.toldAt + (long) (TELL * keepAlive)
        || now < w.item.from()
        || now >= w.item.until()) {
      return null;
    }
    w.toldAt = now;
    String text = FOUND + worker + " " + function;
    return text.length() <= MOST_MESSAGE && worker.indexOf(' ') < 0 ? text : null;
  }

  /** Another dispatcher said something; what is not about a copy found is passed over. */
  public void peerMessage(String text, long now) {
    int gap = text.indexOf(' ', FOUND.length());
    if (text.startsWith(FOUND) && gap > 0) {
      account.foundElsewhere(text.substring(FOUND.length(), gap), text.substring(gap + 1), now);
    }
  }

  /** The account of what was loaded. */
  public LoadAheadAccounting account() {
    return account;
  }

  /** The plan in hand: its epoch and version, for the log. */
  public Plan plan() {
    return plan;
  }

  /** True while there is something left to propose or to hold anew. */
  public boolean hasPendingHolds() {
    return !mine.isEmpty();
  }

  /** Orders that the router made of proposals. */
  public long orderCount() {
    return orders;
  }
}
