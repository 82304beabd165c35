package gorseladder.forecast;

import java.util.Arrays;

/** The same slot a week ago; a day ago while no week is known; the mean so far before that. */
final class LastWeekForecaster implements Forecaster {
  private final int week;
  private final int day;
  private final float[] seen;
  private double sum;
  private long count;

  LastWeekForecaster(SlotCalendar slots) {
    day = slots.slotsPerDay();
    week = 7 * day;
    seen = new float[week];
    Arrays.fill(seen, -1);
  }

  @Override
  public String name() {
    return "last-week";
  }

  @Override
  public double mean(long slot) {
    float then = seen[(int) Math.floorMod(slot, (long) week)];
    if (then < 0) {
      then = seen[(int) Math.floorMod(slot - day, (long) week)];
    }
    return then >= 0 ? then : count == 0 ? 0 : sum / count;
  }

  @Override
  public void observe(long slot, double calls) {
    seen[(int) Math.floorMod(slot, (long) week)] = (float) calls;
    sum += calls;
    count++;
  }
}
