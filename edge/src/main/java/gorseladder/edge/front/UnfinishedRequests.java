package gorseladder.edge.front;

import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.MessageMemory;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Requests that are not whole yet, in the order in which their first bytes were read. Past the bound on the memory of
 * messages the oldest makes room; a request that is whole never does.
 *
 * <p>Guards against clients that leave requests half sent: what all of them keep is bounded, and what a client that
 * sends its request in one go needs is there. It could harm a slow honest client, which is told to come again. Any
 * thread.
 */
public final class UnfinishedRequests {
  private final ByteBudget budget;
  private final Set<MessageMemory> oldestFirst = new LinkedHashSet<>();

  /** Requests that take their memory from that budget. */
  public UnfinishedRequests(ByteBudget budget) {
    this.budget = budget;
  }

  /** A request begins. */
  synchronized MessageMemory begin() {
    MessageMemory request = new MessageMemory(List.of(budget), this::makeRoom);
    oldestFirst.add(request);
    return request;
  }

  /** It is whole, or ends; false where it had to make room before. */
  synchronized boolean finish(MessageMemory request) {
    return oldestFirst.remove(request);
  }

  /** Gives up the oldest, whatever it keeps; false where there is none. */
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
