package gorseladder.admission;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Decides which request that is still being received makes room if the memory for requests is full: the one whose first
 * byte came first. A complete request never is one of them.
 *
 * <p>Prevents clients that leave requests half sent from holding the memory that others need: a client that sends its
 * request in one go finds room. Does harm to a slow honest client beside a crowd of faster half requests. Finding the
 * oldest takes the same time however many there are.
 *
 * <p>Free of clocks, threads and input; not thread safe.
 *
 * @param <T> the type of the requests, by identity or {@code equals}
 */
public final class EvictionOrder<T> {
  private final Set<T> oldestFirst = new LinkedHashSet<>();

  /** Adds a request whose first byte has arrived. */
  public void add(T request) {
    oldestFirst.add(request);
  }

  /** Removes a request that is complete or has ended; returns false if it was not contained. */
  public boolean remove(T request) {
    return oldestFirst.remove(request);
  }

  /** Returns the request that makes room next, or null if there is none; it stays until it is removed. */
  public T next() {
    Iterator<T> oldest = oldestFirst.iterator();
    return oldest.hasNext() ? oldest.next() : null;
  }
}
