package gorseladder.placement;

import gorseladder.placement.PlanMaker.Order;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds of one plan after the other: what an earlier plan holds beyond the beginning of the next goes on, and a copy
 * that both want is one hold. Times are seconds on the planner's clock. Not thread safe.
 */
public final class Schedule {
  /** A hold with its times. */
  public record ScheduledHold(Order order, double from, double until) {}

  private record Key(String host, String function) {}

  private Map<Key, ScheduledHold> current = new LinkedHashMap<>();

  /**
   * Adds the orders for a slot that begins then, and returns all holds that are not over; what is over by now is
   * dropped.
   */
  public List<ScheduledHold> add(double slotBegins, List<Order> orders, double now) {
    Map<Key, ScheduledHold> next = new LinkedHashMap<>();
    for (Order o : orders) {
      Key key = new Key(o.placed().worker(), o.placed().function());
      ScheduledHold before = current.remove(key);
      boolean goesOn =
          before != null && before.until() > now && before.until() >= slotBegins + o.from();
      double from = goesOn ? before.from() : slotBegins + o.from();
      next.put(key, new ScheduledHold(o, from, slotBegins + o.until()));
    }
    current.forEach((key, timed) -> {
      if (timed.until() > now) {
        next.put(key, timed);
      }
    });
    current = next;
    return new ArrayList<>(next.values());
  }
}
