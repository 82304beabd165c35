package gorseladder.placement;

import gorseladder.placement.PlanMaker.Order;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Merges the holds of consecutive plans: a hold of an earlier plan that lasts beyond the start of the next one
 * continues, and a copy that is in both plans is one hold. Times are seconds on the planner's clock. Not thread safe.
 */
public final class Schedule {
  /** An order with its absolute start and end. */
  public record ScheduledHold(Order order, double from, double until) {}

  private record Key(String host, String function) {}

  private Map<Key, ScheduledHold> current = new LinkedHashMap<>();

  /**
   * Adds the orders for a slot and returns all holds that have not ended; holds that ended by {@code now} are dropped.
   *
   * @param slotBegins start of the slot
   */
  public List<ScheduledHold> add(double slotBegins, List<Order> orders, double now) {
    Map<Key, ScheduledHold> next = new LinkedHashMap<>();
    for (Order order : orders) {
      Key key = new Key(order.placed().worker(), order.placed().function());
      ScheduledHold previous = current.remove(key);
      boolean continues = previous != null
          && previous.until() > now
          && previous.until() >= slotBegins + order.from();
      double from = continues ? previous.from() : slotBegins + order.from();
      next.put(key, new ScheduledHold(order, from, slotBegins + order.until()));
    }
    current.forEach((key, hold) -> {
      if (hold.until() > now) {
        next.put(key, hold);
      }
    });
    current = next;
    return new ArrayList<>(next.values());
  }
}
