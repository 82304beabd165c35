package gorseladder.gate;

import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.Rules;
import gorseladder.permits.Permits;
import gorseladder.permits.Verdict;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What the last look before bytes leave needs to know of workers and of the load ration; {@link Permits} decides on it.
 *
 * <p>The router decides on what it knows at that moment; between its decision and the write an attempt may sit in a
 * queue, wait for a connection or for the ledger. Guards against calls and load orders that leave after a drain's
 * grace, that were decided for a warm worker and meet a cold one, or that bunch up so that a window of the load ration
 * holds more than was allowed when each was decided. The gate closes for a worker as soon as the drain is told; the
 * whole grace is left for what lies between this look and the wire (a pause of the process, a full socket buffer). It
 * could harm only where a list calls workers draining, or started, that are not: their queued attempts are then decided
 * again.
 *
 * <p>Not thread safe: callers serialise. Times are microseconds on one clock that only goes forward.
 */
public final class SendGate {
  private final Rules rules;
  private final Map<String, Long> closedSince = new HashMap<>();
  private final Map<String, Start> starts = new HashMap<>();
  private final ArrayDeque<Long> taken = new ArrayDeque<>();
  private final ArrayDeque<Long> ordered = new ArrayDeque<>();
  private long refusedCalls;
  private long refusedOrders;

  /** A start that was told: with which news of the list, and when. */
  private record Start(long born, long news, long at) {}

  public SendGate(Rules rules) {
    this.rules = rules;
  }

  /** How long after its drain was told a worker may still be sent to, by the rule. */
  public long drainGrace() {
    return rules.drainGrace();
  }

  /**
   * News of a worker's phase, at the time its bytes reached this process, in the order in which it was told. Older news
   * never opens a gate closed later; of news that came in one go the last stands.
   */
  public void phaseReported(String worker, Phase phase, long at) {
    Long closed = closedSince.get(worker);
    if (phase != Phase.RUNNING) {
      closedSince.merge(worker, at, Math::min);
    } else if (closed != null && at >= closed) {
      closedSince.remove(worker);
    }
  }

  /**
   * News of a worker's start; one that is told again is no news.
   *
   * @param born when it started, 0 for long ago
   * @param news the number of the list's news that tells it, from 1; what was decided before that news met another life
   */
  public void startReported(String worker, long born, long news, long at) {
    Start before = starts.get(worker);
    if (before == null || before.born() != born) {
      starts.put(worker, new Start(born, before == null ? 0 : news, at));
    }
  }

  /** When the drain of a worker was told; 0 where it was not. */
  public long drainToldAt(String worker) {
    return closedSince.getOrDefault(worker, 0L);
  }

  /** When the last start of a worker was told that it had after it was first told; 0 where there is none. */
  public long restartToldAt(String worker) {
    Start start = starts.get(worker);
    return start == null || start.news() == 0 ? 0 : start.at();
  }

  /** True where a call may leave for the worker as far as its drain is concerned; one that may not is counted. */
  public boolean maySendCall(String worker) {
    boolean open = !closedSince.containsKey(worker);
    refusedCalls += open ? 0 : 1;
    return open;
  }

  /**
   * True where the worker started after what was decided with that news.
   *
   * @param news how many news of the list were known when it was decided
   */
  public boolean restartedSince(String worker, long news) {
    Start start = starts.get(worker);
    return start != null && start.news() > news;
  }

  /** Drops what is remembered of workers that are not named: no list has them and nothing waits for them. */
  public void retainWorkers(Predicate<String> named) {
    closedSince.keySet().removeIf(named.negate());
    starts.keySet().removeIf(named.negate());
  }

  /** A call was taken; it earns its share of the load ration. */
  public void callAccepted(long at) {
    if (rules.loadWindow() > 0) {
      taken.addLast(at);
    }
  }

  /** Whether a load order may leave for the worker now; where it may it is counted in the ration. */
  public Verdict maySendLoadOrder(String worker, long news, long now) {
    Verdict verdict = Permits.mayOrder(
        closedSince.containsKey(worker), restartedSince(worker, news), inRation(now));
    if (verdict.allowed() && rules.loadWindow() > 0) {
      ordered.addLast(now);
    }
    refusedOrders += verdict.allowed() ? 0 : 1;
    return verdict;
  }

  private boolean inRation(long now) {
    long since = now - rules.loadWindow();
    while (!ordered.isEmpty() && ordered.peekFirst() <= since) {
      ordered.removeFirst();
    }
    while (!taken.isEmpty() && taken.peekFirst() <= since) {
      taken.removeFirst();
    }
    return rules.loadWindow() == 0
        || ordered.size() + 1 <= rules.freeLoads() + rules.loadsPerCall() * taken.size();
  }

  /** Calls that were stopped here. */
  public long refusedCalls() {
    return refusedCalls;
  }

  /** Load orders that were stopped here. */
  public long refusedOrders() {
    return refusedOrders;
  }
}
