package gorseladder.forecast;

import java.util.Arrays;

/**
 * Expects the calls of the same slot a week ago; those of a day ago while there is no observation of that slot, and the
 * mean of all observations while there is neither.
 */
final class LastWeekForecaster implements Forecaster {
  private final int slotsPerWeek;
  private final int slotsPerDay;
  /** Calls by slot of the week; negative where the slot was not observed. */
  private final float[] callsBySlot;

  private double sum;
  private long count;

  LastWeekForecaster(SlotCalendar slots) {
    slotsPerDay = slots.slotsPerDay();
    slotsPerWeek = 7 * slotsPerDay;
    callsBySlot = new float[slotsPerWeek];
    Arrays.fill(callsBySlot, -1);
  }

  @Override
  public String name() {
    return "last-week";
  }

  @Override
  public double mean(long slot) {
    float previous = callsBySlot[(int) Math.floorMod(slot, (long) slotsPerWeek)];
    if (previous < 0) {
      previous = callsBySlot[(int) Math.floorMod(slot - slotsPerDay, (long) slotsPerWeek)];
    }
    return previous >= 0 ? previous : count == 0 ? 0 : sum / count;
  }

  @Override
  public void observe(long slot, double calls) {
    callsBySlot[(int) Math.floorMod(slot, (long) slotsPerWeek)] = (float) calls;
    sum += calls;
    count++;
  }
}
