package gorseladder.forecast;

import java.util.HashMap;
import java.util.Map;

/**
 * The same slot of the last day with the same name; on a day without a name what last week's was, days with a name
 * apart. A known date mostly has hours of its own, which a factor for the whole day would smear.
 */
final class SameDateForecaster implements Forecaster {
  private final SlotCalendar slots;
  private final LastWeekForecaster common;
  private final Map<String, float[]> last = new HashMap<>();
  private final Map<String, float[]> present = new HashMap<>();
  private int day = Integer.MIN_VALUE;

  SameDateForecaster(SlotCalendar slots) {
    this.slots = slots;
    this.common = new LastWeekForecaster(slots);
  }

  @Override
  public String name() {
    return "same-date";
  }

  /** True on a day whose name it meets for the first time. */
  boolean learns(long slot) {
    return !slots.dateName(slot).isEmpty() && !knows(slot);
  }

  /** True on a day whose name it has met before. */
  boolean knows(long slot) {
    return last.containsKey(slots.dateName(slot));
  }

  @Override
  public double mean(long slot) {
    float[] then = last.get(slots.dateName(slot));
    return then == null ? common.mean(slot) : then[slots.slotOfDay(slot)];
  }

  @Override
  public void observe(long slot, double calls) {
    if (slots.day(slot) != day) {
      day = slots.day(slot);
      last.putAll(present);
      present.clear();
    }
    String date = slots.dateName(slot);
    if (date.isEmpty()) {
      common.observe(slot, calls);
    } else {
      present.computeIfAbsent(date, d -> new float[slots.slotsPerDay()])[slots.slotOfDay(slot)] =
          (float) calls;
    }
  }
}
