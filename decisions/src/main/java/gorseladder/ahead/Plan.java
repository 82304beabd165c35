package gorseladder.ahead;

import java.util.List;

/**
 * The copies that a planner proposes to the dispatchers to hold ahead of need. A plan expires by itself; a newer one
 * replaces it completely. Times are microseconds on the dispatcher's own clock, computed when the plan arrived.
 *
 * @param epoch epoch of the planner, from a lease or a counter; a later planner has a higher one
 * @param version version within the epoch; the higher is newer
 * @param expiresAt time from which the plan is not used any more
 */
public record Plan(long epoch, long version, long expiresAt, List<Item> items) {
  public Plan {
    items = List.copyOf(items);
  }

  /**
   * A function to hold on one worker.
   *
   * @param copies number of copies to hold on the worker in total
   * @param lanes concurrent calls of a copy
   * @param from when to order the copy
   * @param until when an unused copy is not held any longer
   * @param loadTime expected load time in microseconds; 0 if unknown
   * @param memoryMb memory of a copy, for the accounting
   * @param owned whether this dispatcher orders the copy; items of other dispatchers are included so that it can tell
   *     them when one of its calls found their copy
   */
  public record Item(
      String worker,
      String function,
      int copies,
      int lanes,
      long from,
      long until,
      long loadTime,
      double memoryMb,
      boolean owned) {}
}
