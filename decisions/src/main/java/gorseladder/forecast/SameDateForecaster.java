package gorseladder.forecast;

import java.util.HashMap;
import java.util.Map;

/**
 * Expects the calls of the same slot on the last day with the same date name; on a day without a name, those of last
 * week, named days left out. A known date mostly has busy hours of its own, which one factor for the whole day would
 * spread over all hours.
 */
final class SameDateForecaster implements Forecaster {
  private final SlotCalendar slots;
  private final LastWeekForecaster ordinaryDays;
  private final Map<String, float[]> previousByName = new HashMap<>();
  private final Map<String, float[]> currentByName = new HashMap<>();
  private int currentDay = Integer.MIN_VALUE;

  SameDateForecaster(SlotCalendar slots) {
    this.slots = slots;
    this.ordinaryDays = new LastWeekForecaster(slots);
  }

  @Override
  public String name() {
    return "same-date";
  }

  /** Whether the day of the slot has a name that has not occurred before. */
  boolean isNewDate(long slot) {
    return !slots.dateName(slot).isEmpty() && !isKnownDate(slot);
  }

  /** Whether the day of the slot has a name that has occurred before. */
  boolean isKnownDate(long slot) {
    return previousByName.containsKey(slots.dateName(slot));
  }

  @Override
  public double mean(long slot) {
    float[] previous = previousByName.get(slots.dateName(slot));
    return previous == null ? ordinaryDays.mean(slot) : previous[slots.slotOfDay(slot)];
  }

  @Override
  public void observe(long slot, double calls) {
    if (slots.day(slot) != currentDay) {
      currentDay = slots.day(slot);
      previousByName.putAll(currentByName);
      currentByName.clear();
    }
    String date = slots.dateName(slot);
    if (date.isEmpty()) {
      ordinaryDays.observe(slot, calls);
    } else {
      currentByName
              .computeIfAbsent(date, d -> new float[slots.slotsPerDay()])[slots.slotOfDay(slot)] =
          (float) calls;
    }
  }
}
