package gorseladder.ahead;

import java.util.List;

/**
 * What a planner proposes to the dispatchers: copies to hold ahead of need. It expires by itself; a newer one replaces
 * it whole. Times are microseconds on the dispatcher's own clock, set when the plan arrived.
 *
 * @param epoch of the planner, from whichever lease or count makes one planner newer than another
 * @param version within the epoch; the higher is newer
 * @param expiresAt when it expires
 */
public record Plan(long epoch, long version, long expiresAt, List<Item> items) {
  public Plan {
    items = List.copyOf(items);
  }

  /**
   * One copy.
   *
   * @param copies to hold there in all
   * @param from when to order it, and {@code until} when a copy that nobody used is not held any longer
   * @param loadTime expected, in microseconds; 0 where not known
   * @param memoryMb of a copy, for the account
   * @param owned true where this dispatcher orders it; it hears of the others' so that it can tell them when it found
   *     their copy
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
