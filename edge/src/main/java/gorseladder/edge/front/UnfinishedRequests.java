package gorseladder.edge.front;

import gorseladder.admission.EvictionOrder;
import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.MessageMemory;
import java.util.List;

/**
 * Bounds the memory of requests that are still being received. If the message memory is full, {@link EvictionOrder}
 * decides which of them is evicted.
 *
 * <p>Thread safe.
 */
public final class UnfinishedRequests {
  private final ByteBudget budget;
  private final EvictionOrder<MessageMemory> order = new EvictionOrder<>();

  /** Creates the bound on requests that use this budget. */
  public UnfinishedRequests(ByteBudget budget) {
    this.budget = budget;
  }

  /** Returns the memory account of a request whose first byte has arrived. */
  synchronized MessageMemory begin() {
    MessageMemory request = new MessageMemory(List.of(budget), this::makeRoom);
    order.add(request);
    return request;
  }

  /** Unregisters a request that is complete or ends; returns false if it was evicted before. */
  synchronized boolean finish(MessageMemory request) {
    return order.remove(request);
  }

  /** Evicts the oldest request, whatever its size; returns false if there is none. */
  public synchronized boolean makeRoom(long bytes) {
    MessageMemory request = order.next();
    if (request == null) {
      return false;
    }
    order.remove(request);
    request.end();
    return true;
  }
}
