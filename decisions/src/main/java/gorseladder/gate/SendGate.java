package gorseladder.gate;

import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.Rules;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The last look before bytes leave: rules 3 and 5 on the socket rather than at the time of the decision.
 *
 * <p>The router decides on what it knows at that moment; between its decision and the write an attempt may sit in a queue,
 * wait for a connection or for the ledger. Guards against calls and load orders that leave after a drain's grace, or that
 * bunch up so that a window of the load ration holds more than was allowed when each was decided. The gate closes for a
 * worker as soon as the drain is told; the whole grace is left for what lies between this look and the wire (a pause of the
 * process, a full socket buffer). It could harm only where a list calls workers draining that are not: their queued
 * attempts then move elsewhere.
 *
 * <p>Not thread safe: callers serialise. Times are microseconds on one clock that only goes forward.
 */
public final class SendGate {
  private final Rules rules;
  private final Map<String, Long> closedSince = new HashMap<>();
  private final ArrayDeque<Long> taken = new ArrayDeque<>();
  private final ArrayDeque<Long> ordered = new ArrayDeque<>();
  private long refusedCalls;
  private long refusedOrders;

  public SendGate(Rules rules) {
    this.rules = rules;
  }

  /**
   * News of a worker's phase, at the time its bytes reached this process, in the order in which it was told. Older news never
   * opens a gate closed later; of news that came in one go the last stands.
   */
  public void told(String worker, Phase phase, long at) {
    Long closed = closedSince.get(worker);
    if (phase != Phase.RUNNING) {
      closedSince.merge(worker, at, Math::min);
    } else if (closed != null && at >= closed) {
      closedSince.remove(worker);
    }
  }

  /** Drops what is remembered of workers that are not named: no list has them and nothing waits for them. */
  public void forgetUnless(Predicate<String> named) {
    closedSince.keySet().removeIf(named.negate());
  }

  /** A call was taken; it earns its share of the load ration. */
  public void taken(long at) {
    if (rules.loadWindow() > 0) {
      taken.addLast(at);
    }
  }

  /** True where a call may leave for the worker now. */
  public boolean callMayLeave(String worker) {
    boolean open = !closedSince.containsKey(worker);
    refusedCalls += open ? 0 : 1;
    return open;
  }

  /** True where a load order may leave for the worker now; it is then counted in the ration. */
  public boolean orderMayLeave(String worker, long now) {
    boolean open = !closedSince.containsKey(worker) && inRation(now);
    if (open && rules.loadWindow() > 0) {
      ordered.addLast(now);
    }
    refusedOrders += open ? 0 : 1;
    return open;
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
        || ordered.size() + 1 <= rules.loadsFree() + rules.loadShare() * taken.size();
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
