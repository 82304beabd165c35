package gorseladder.node.front;

import gorseladder.admission.EvictionOrder;

/**
 * The partial requests of all connections. Those of the connection that {@link EvictionOrder} names make room if the
 * memory for clients is full.
 *
 * <p>Thread safe. Its lock may be taken while that of a connection is held, never the other way round.
 */
final class PartialRequests {
  private final EvictionOrder<FrontRequest> order = new EvictionOrder<>();
  private long evictions;

  /** Adds a request whose first byte has arrived. */
  synchronized void add(FrontRequest request) {
    order.add(request);
  }

  /** Removes a request that is complete, answered or ended. */
  synchronized void remove(FrontRequest request) {
    order.remove(request);
  }

  /** Refuses the partial requests of the connection whose turn it is; returns false if there is none. */
  boolean evict() {
    FrontRequest next;
    synchronized (this) {
      next = order.next();
      evictions += next == null ? 0 : 1;
    }
    if (next == null) {
      return false;
    }
    next.connection.refusePartialRequests();
    return true;
  }

  /** Returns how often memory was freed, for the log. */
  synchronized long evictions() {
    return evictions;
  }
}
