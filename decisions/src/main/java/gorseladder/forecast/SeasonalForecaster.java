package gorseladder.forecast;

import java.util.HashMap;
import java.util.Map;

/**
 * A level times factors for the time of day, the weekday and a known date, with a short-term correction. Each factor is
 * the ratio of observed calls to those expected without it, shrunk towards 1 by a prior of {@link #PRIOR_CALLS} calls,
 * so that one odd call does not move a quiet function (empirical Bayes with a gamma prior on a Poisson rate).
 */
final class SeasonalForecaster implements Forecaster {
  /** Expected calls of the prior, which has a factor of 1. */
  private static final double PRIOR_CALLS = 20;
  /** Part of the weight that a factor's history keeps at each observation; lasts weeks for a time of day. */
  private static final double FACTOR_RETENTION = 0.9;
  /** Weight of the newest day in the level. */
  private static final double LEVEL_WEIGHT = 0.15;
  /** Slots over which the short-term correction is averaged. */
  private static final double CORRECTION_SLOTS = 6;

  private static final class Factor {
    private double observed;
    private double expected;

    double value() {
      return (observed + PRIOR_CALLS) / (expected + PRIOR_CALLS);
    }

    void record(double calls, double expectedWithout) {
      observed = observed * FACTOR_RETENTION + calls;
      expected = expected * FACTOR_RETENTION + expectedWithout;
    }
  }

  private final SlotCalendar slots;
  private final Factor[] timeFactors;
  private final Factor[] weekdayFactors = new Factor[7];
  private final Map<String, Factor> dateFactors = new HashMap<>();
  private double level = -1;
  private double adjustedDaySum;
  private int dayCount;
  private int currentDay = Integer.MIN_VALUE;
  private double recentObserved;
  private double recentExpected;

  SeasonalForecaster(SlotCalendar slots) {
    this.slots = slots;
    timeFactors = new Factor[slots.slotsPerDay()];
    for (int i = 0; i < timeFactors.length; i++) {
      timeFactors[i] = new Factor();
    }
    for (int i = 0; i < 7; i++) {
      weekdayFactors[i] = new Factor();
    }
  }

  @Override
  public String name() {
    return "seasonal";
  }

  private double dateFactor(long slot) {
    String name = slots.dateName(slot);
    return name.isEmpty() || !dateFactors.containsKey(name)
        ? 1
        : dateFactors.get(name).value();
  }

  private double baseline(long slot) {
    double currentLevel = level >= 0 ? level : dayCount == 0 ? 0 : adjustedDaySum / dayCount;
    return currentLevel
        * timeFactors[slots.slotOfDay(slot)].value()
        * weekdayFactors[slots.weekday(slot)].value()
        * dateFactor(slot);
  }

  @Override
  public double mean(long slot) {
    return baseline(slot) * (recentObserved + 5) / (recentExpected + 5);
  }

  @Override
  public void observe(long slot, double calls) {
    if (slots.day(slot) != currentDay) {
      startDay(slots.day(slot));
    }
    double expected = baseline(slot);
    recentObserved += (calls - recentObserved) / CORRECTION_SLOTS;
    recentExpected += (expected - recentExpected) / CORRECTION_SLOTS;
    Factor time = timeFactors[slots.slotOfDay(slot)];
    Factor weekday = weekdayFactors[slots.weekday(slot)];
    String date = slots.dateName(slot);
    if (!date.isEmpty()) {
      double expectedWithout = expected / dateFactor(slot);
      // Calls on a known date must not change the factors and the level of ordinary days.
      dateFactors.computeIfAbsent(date, d -> new Factor()).record(calls, expectedWithout);
    } else {
      double expectedWithoutTime = expected / time.value();
      double expectedWithoutWeekday = expected / weekday.value();
      time.record(calls, expectedWithoutTime);
      weekday.record(calls, expectedWithoutWeekday);
      adjustedDaySum += calls / Math.max(0.1, time.value() * weekday.value());
      dayCount++;
    }
  }

  private void startDay(int day) {
    if (dayCount > 0) {
      double mean = adjustedDaySum / dayCount;
      level = level < 0 ? mean : level + LEVEL_WEIGHT * (mean - level);
    }
    adjustedDaySum = 0;
    dayCount = 0;
    currentDay = day;
  }
}
