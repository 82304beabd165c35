package gorseladder.gate;

import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.Rules;
import gorseladder.permits.Permits;
import gorseladder.permits.Verdict;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The state of workers and of the load ration that is checked just before bytes are written; {@link Permits} decides.
 *
 * <p>Between the router's decision and the write an attempt may wait in a queue, for a connection or for the ledger.
 * Without a second check, calls and load orders are sent after the grace of a drain, calls that were decided for a warm
 * worker reach a restarted one, and load orders bunch up so that a window exceeds the ration that held when each was
 * decided. The gate closes for a worker as soon as its drain is reported; the whole grace remains for delays between
 * this check and the network (a pause of the process, a full socket buffer). Does harm only if a list reports workers
 * as draining or started that are not: their queued attempts are then decided again.
 *
 * <p>Not thread safe: callers synchronize. Times are microseconds of a monotonic clock.
 */
public final class SendGate {
  private final Rules rules;
  private final Map<String, Long> closedSince = new HashMap<>();
  private final Map<String, Start> starts = new HashMap<>();
  private final RecentTimes taken = new RecentTimes();
  private final RecentTimes ordered = new RecentTimes();
  private long refusedCalls;
  private long refusedOrders;

  /** A reported start: the number of the list update that reported it, and when. */
  private record Start(long startedAt, long listUpdate, long reportedAt) {}

  public SendGate(Rules rules) {
    this.rules = rules;
  }

  /** How long after the report of its drain a worker may still be sent calls. */
  public long drainGrace() {
    return rules.drainGrace();
  }

  /**
   * Records a worker's phase, in the order of the reports. An older report never opens a gate that was closed later; of
   * reports with the same time the last one counts.
   *
   * @param at when the report reached this process
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
   * Records a worker's start; a repeated report of the same start has no effect.
   *
   * @param startedAt when it started, 0 for long ago
   * @param listUpdate the number of the list update with the report, from 1; attempts decided before that update were
   *     meant for an earlier process
   */
  public void startReported(String worker, long startedAt, long listUpdate, long at) {
    Start before = starts.get(worker);
    if (before == null || before.startedAt() != startedAt) {
      starts.put(worker, new Start(startedAt, before == null ? 0 : listUpdate, at));
    }
  }

  /** When the drain of a worker was reported; 0 if it was not. */
  public long drainToldAt(String worker) {
    return closedSince.getOrDefault(worker, 0L);
  }

  /** When the last restart of a worker was reported; 0 if it has not restarted since its first report. */
  public long restartToldAt(String worker) {
    Start start = starts.get(worker);
    return start == null || start.listUpdate() == 0 ? 0 : start.reportedAt();
  }

  /** True if the worker is not draining, so that a call may be sent; counts a refusal otherwise. */
  public boolean maySendCall(String worker) {
    boolean open = !closedSince.containsKey(worker);
    refusedCalls += open ? 0 : 1;
    return open;
  }

  /**
   * True if the worker started after a decision.
   *
   * @param listUpdate the number of list updates known at the decision
   */
  public boolean restartedSince(String worker, long listUpdate) {
    Start start = starts.get(worker);
    return start != null && start.listUpdate() > listUpdate;
  }

  /** Drops the state of all workers but those in use, which are listed or have attempts waiting for them. */
  public void retainWorkers(Predicate<String> inUse) {
    closedSince.keySet().removeIf(inUse.negate());
    starts.keySet().removeIf(inUse.negate());
  }

  /** Records an accepted call, which adds its share to the load ration. */
  public void callAccepted(long at) {
    if (rules.loadWindow() > 0) {
      taken.add(at, at - rules.loadWindow());
    }
  }

  /** Whether a load order may be sent to the worker now; an allowed order counts in the ration. */
  public Verdict maySendLoadOrder(String worker, long listUpdate, long now) {
    Verdict verdict = Permits.mayOrder(
        closedSince.containsKey(worker), restartedSince(worker, listUpdate), inRation(now));
    if (verdict.allowed() && rules.loadWindow() > 0) {
      ordered.add(now, now - rules.loadWindow());
    }
    refusedOrders += verdict.allowed() ? 0 : 1;
    return verdict;
  }

  private boolean inRation(long now) {
    long since = now - rules.loadWindow();
    int orders = ordered.countAfter(since);
    int calls = taken.countAfter(since);
    return rules.loadWindow() == 0
        || orders + 1 <= rules.freeLoads() + rules.loadsPerCall() * calls;
  }

  /** Number of calls refused by this gate. */
  public long refusedCalls() {
    return refusedCalls;
  }

  /** Number of load orders refused by this gate. */
  public long refusedOrders() {
    return refusedOrders;
  }
}
