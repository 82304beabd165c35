package gorseladder.forecast;

import java.util.HashMap;
import java.util.Map;

/**
 * The same slot of the last day with the same name, with a little of its neighbours; on a day without a name what last week's
 * was, days with a name apart. A known date mostly has hours of its own, which a factor for the whole day would smear.
 */
final class SameDate implements Forecaster {
  /** Weight of the slots before and after, together. */
  private static final double NEIGHBOURS = 0.3;

  private final Slots slots;
  private final LastWeek common;
  private final Map<String, float[]> last = new HashMap<>();
  private final Map<String, float[]> present = new HashMap<>();
  private int day = Integer.MIN_VALUE;

  SameDate(Slots slots) {
    this.slots = slots;
    this.common = new LastWeek(slots);
  }

  @Override
  public String name() {
    return "same-date";
  }

  @Override
  public double mean(long slot) {
    float[] then = last.get(slots.date(slot));
    if (then == null) {
      return common.mean(slot);
    }
    int at = slots.ofDay(slot);
    double beside = (then[Math.floorMod(at - 1, then.length)] + then[Math.floorMod(at + 1, then.length)]) / 2;
    return (1 - NEIGHBOURS) * then[at] + NEIGHBOURS * beside;
  }

  @Override
  public void observe(long slot, double calls) {
    if (slots.day(slot) != day) {
      day = slots.day(slot);
      last.putAll(present);
      present.clear();
    }
    String date = slots.date(slot);
    if (date.isEmpty()) {
      common.observe(slot, calls);
    } else {
      present.computeIfAbsent(date, d -> new float[slots.perDay()])[slots.ofDay(slot)] = (float) calls;
    }
  }
}
