package gorseladder.edge.front;

import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.MessageMemory;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds the memory of requests that are still being received, ordered by their first byte. If the message memory is
 * full, the oldest one is evicted; a complete request never is.
 *
 * <p>This guards against clients that leave requests half sent: the memory that they hold is bounded, and a client that
 * sends its request in one go finds memory. The cost: a slow honest client may be told to try again.
 *
 * <p>Thread safe.
 */
public final class UnfinishedRequests {
  private final ByteBudget budget;
  private final Set<MessageMemory> oldestFirst = new LinkedHashSet<>();

  /** Creates the bound on requests that use this budget. */
  public UnfinishedRequests(ByteBudget budget) {
    this.budget = budget;
  }

  /** Returns the memory account of a request whose first byte has arrived. */
  synchronized MessageMemory begin() {
    MessageMemory request = new MessageMemory(List.of(budget), this::makeRoom);
    oldestFirst.add(request);
    return request;
  }

  /** Unregisters a request that is complete or ends; returns false if it was evicted before. */
  synchronized boolean finish(MessageMemory request) {
    return oldestFirst.remove(request);
  }

  /** Evicts the oldest request, whatever its size; returns false if there is none. */
  public synchronized boolean makeRoom(long bytes) {
    Iterator<MessageMemory> oldest = oldestFirst.iterator();
    if (!oldest.hasNext()) {
      return false;
    }
    MessageMemory request = oldest.next();
    oldest.remove();
    request.end();
    return true;
  }
}
