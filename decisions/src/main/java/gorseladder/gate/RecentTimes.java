package gorseladder.gate;

import java.util.ArrayDeque;

/**
 * The times of the latest events, oldest first, to count those in a window that moves on. Old ones are dropped also
 * when events are only added, so that the memory does not grow with the time between two counts. Not thread safe.
 */
public final class RecentTimes {
  private final ArrayDeque<Long> times = new ArrayDeque<>();

  /** Adds an event, and drops those up to the given time. */
  public void add(long at, long dropUpTo) {
    times.addLast(at);
    countAfter(dropUpTo);
  }

  /** Drops the events up to the given time and returns the number of the others. */
  public int countAfter(long dropUpTo) {
    while (!times.isEmpty() && times.peekFirst() <= dropUpTo) {
      times.removeFirst();
    }
    return times.size();
  }
}
