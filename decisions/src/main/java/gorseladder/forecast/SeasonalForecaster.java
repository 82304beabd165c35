package gorseladder.forecast;

import java.util.HashMap;
import java.util.Map;

/**
 * A level times factors for the time of day, the weekday and a known date, with a short-term correction. Each factor is
 * a ratio of what came to what was expected without it, drawn towards 1 by a prior of {@link #PRIOR} expected calls, so
 * that a quiet function is not moved by one odd call (empirical Bayes with a gamma prior on a Poisson rate).
 */
final class SeasonalForecaster implements Forecaster {
  /** Expected calls that stand behind a factor of 1. */
  private static final double PRIOR = 20;
  /** Part of its weight that a factor keeps at each observation: weeks for a time of day. */
  private static final double KEEP = 0.9;
  /** Weight of the newest day in the level. */
  private static final double LEVEL = 0.15;
  /** Slots over which the short-term correction is felt. */
  private static final double SHORT = 6;

  private static final class Factor {
    private double came;
    private double expected;

    double value() {
      return (came + PRIOR) / (expected + PRIOR);
    }

    void note(double calls, double without) {
      came = came * KEEP + calls;
      expected = expected * KEEP + without;
    }
  }

  private final SlotCalendar slots;
  private final Factor[] ofDay;
  private final Factor[] ofWeek = new Factor[7];
  private final Map<String, Factor> ofDate = new HashMap<>();
  private double level = -1;
  private double daySum;
  private int dayCount;
  private int day = Integer.MIN_VALUE;
  private double shortCame;
  private double shortExpected;

  SeasonalForecaster(SlotCalendar slots) {
    this.slots = slots;
    ofDay = new Factor[slots.slotsPerDay()];
    for (int i = 0; i < ofDay.length; i++) {
      ofDay[i] = new Factor();
    }
    for (int i = 0; i < 7; i++) {
      ofWeek[i] = new Factor();
    }
  }

  @Override
  public String name() {
    return "seasonal";
  }

  private double date(long slot) {
    String name = slots.dateName(slot);
    return name.isEmpty() || !ofDate.containsKey(name) ? 1 : ofDate.get(name).value();
  }

  private double base(long slot) {
    double known = level >= 0 ? level : dayCount == 0 ? 0 : daySum / dayCount;
    return known
        * ofDay[slots.slotOfDay(slot)].value()
        * ofWeek[slots.weekday(slot)].value()
        * date(slot);
  }

  @Override
  public double mean(long slot) {
    return base(slot) * (shortCame + 5) / (shortExpected + 5);
  }

  @Override
  public void observe(long slot, double calls) {
    if (slots.day(slot) != day) {
      newDay(slots.day(slot));
    }
    double expected = base(slot);
    shortCame += (calls - shortCame) / SHORT;
    shortExpected += (expected - shortExpected) / SHORT;
    Factor time = ofDay[slots.slotOfDay(slot)];
    Factor week = ofWeek[slots.weekday(slot)];
    String date = slots.dateName(slot);
    if (!date.isEmpty()) {
      double without = expected / date(slot);
      // A known date speaks for itself: it must not bend what common days look like.
      ofDate.computeIfAbsent(date, d -> new Factor()).note(calls, without);
    } else {
      double withoutTime = expected / time.value();
      double withoutWeek = expected / week.value();
      time.note(calls, withoutTime);
      week.note(calls, withoutWeek);
      daySum += calls / Math.max(0.1, time.value() * week.value());
      dayCount++;
    }
  }

  private void newDay(int next) {
    if (dayCount > 0) {
      double mean = daySum / dayCount;
      level = level < 0 ? mean : level + LEVEL * (mean - level);
    }
    daySum = 0;
    dayCount = 0;
    day = next;
  }
}
