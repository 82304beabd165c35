package gorseladder.forecast;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.LongToDoubleFunction;
import org.junit.jupiter.api.Test;

/** Walk-forward tests on simulated random counts: each slot is forecast before it is observed. */
class ForecastsTest {
  private static final int SLOTS_PER_DAY = 48;

  private static SlotCalendar slots(Map<Integer, String> dates) {
    return new SlotCalendar(SLOTS_PER_DAY, 0, dates);
  }

  private static int poisson(double mean, Random random) {
    int count = 0;
    for (double p = Math.exp(-Math.min(mean, 500)), sum = p, u = random.nextDouble();
        u > sum && count < 2_000; ) {
      count++;
      p *= mean / count;
      sum += p;
    }
    return count;
  }

  /** Forecast errors of one function over simulated days. */
  private static final class Walk {
    double absoluteError;
    double observedCalls;
    int aboveUpper;
    int slotCount;
    Map<String, Integer> selections = new HashMap<>();

    double relativeError() {
      return absoluteError / observedCalls;
    }
  }

  private static Walk walk(
      SlotCalendar slots, LongToDoubleFunction rate, int fromDay, int toDay, long seed) {
    return walk(slots, rate, (long) fromDay * SLOTS_PER_DAY, (long) toDay * SLOTS_PER_DAY, seed);
  }

  private static Walk walk(
      SlotCalendar slots, LongToDoubleFunction rate, long from, long to, long seed) {
    Random random = new Random(seed);
    Forecasts forecasts = new Forecasts(slots, 64);
    Walk walk = new Walk();
    for (long slot = 0; slot < to; slot++) {
      Forecasts.Forecast e = forecasts.forecast("f", slot);
      int calls = poisson(rate.applyAsDouble(slot), random);
      if (slot >= from) {
        walk.absoluteError += Math.abs(e.mean() - calls);
        walk.observedCalls += calls;
        walk.slotCount++;
        walk.aboveUpper += calls > e.upper() ? 1 : 0;
        walk.selections.merge(e.forecasterName(), 1, Integer::sum);
      }
      forecasts.observe(slot, Map.of("f", calls));
    }
    return walk;
  }

  private static double daily(long slot) {
    return 20
        + 15 * Math.sin(2 * Math.PI * (slot % SLOTS_PER_DAY) / SLOTS_PER_DAY)
        + (slot / SLOTS_PER_DAY % 7 >= 5 ? -5 : 0);
  }

  @Test
  void aDailyAndWeeklyPatternIsLearnedAndTheUpperValueHolds() {
    Walk walk = walk(slots(Map.of()), ForecastsTest::daily, 14, 35, 1);
    assertTrue(walk.relativeError() < 0.24, "relative error " + walk.relativeError());
    assertTrue(walk.aboveUpper < 0.12 * walk.slotCount, walk.aboveUpper + " of " + walk.slotCount);
    assertTrue(
        walk.selections.getOrDefault("seasonal", 0) > walk.slotCount / 2,
        walk.selections.toString());
  }

  @Test
  void anUnknownDriftIsFollowedByWhatCameLast() {
    Walk walk = walk(
        slots(Map.of()),
        slot -> 30 + 25 * Math.sin(slot / 37.0 + Math.sin(slot / 211.0) * 4),
        7,
        28,
        2);
    assertTrue(walk.relativeError() < 0.4, "relative error " + walk.relativeError());
  }

  @Test
  void aKnownDateIsForeseenTheSecondTime() {
    Map<Integer, String> dates = Map.of(20, "term's end", 40, "term's end");
    LongToDoubleFunction rate =
        slot -> daily(slot) * (dates.containsKey((int) (slot / SLOTS_PER_DAY)) ? 4 : 1);
    // Only the first slots show it: later in the day the last observed slot would predict the rise
    // as well.
    Walk withDates = walk(slots(dates), rate, 40L * SLOTS_PER_DAY, 40L * SLOTS_PER_DAY + 2, 3);
    Walk withoutDates =
        walk(slots(Map.of()), rate, 40L * SLOTS_PER_DAY, 40L * SLOTS_PER_DAY + 2, 3);
    assertTrue(
        withDates.relativeError() < 0.6 * withoutDates.relativeError(),
        withDates.relativeError() + " with the date, without it " + withoutDates.relativeError());
    Walk dayAfter = walk(slots(dates), rate, 41, 42, 3);
    assertTrue(dayAfter.relativeError() < 0.5, "the day after is " + dayAfter.relativeError());
  }

  @Test
  void aForecastThatIsTenTimesWrongIsForgottenWithinDays() {
    for (double factor : new double[] {10, 0.1}) {
      Walk after = walk(
          slots(Map.of()),
          slot -> daily(slot) * (slot >= 21 * SLOTS_PER_DAY ? factor : 1),
          25,
          28,
          4);
      assertTrue(
          after.relativeError() < (factor > 1 ? 0.25 : 0.9), factor + ": " + after.relativeError());
    }
  }

  @Test
  void sparseFunctionsAreNeitherForgottenNorOverrated() {
    Walk walk = walk(slots(Map.of()), slot -> 0.05, 14, 42, 5);
    Forecasts forecasts = new Forecasts(slots(Map.of()), 64);
    Random random = new Random(6);
    double expected = 0;
    int observedCalls = 0;
    for (long slot = 0; slot < 42 * SLOTS_PER_DAY; slot++) {
      int calls = poisson(0.05, random);
      expected += slot > 7 * SLOTS_PER_DAY ? forecasts.forecast("f", slot).mean() : 0;
      observedCalls += slot > 7 * SLOTS_PER_DAY ? calls : 0;
      forecasts.observe(slot, Map.of("f", calls));
    }
    assertTrue(
        walk.slotCount > 0 && expected > 0.3 * observedCalls && expected < 2 * observedCalls,
        expected + " expected, " + observedCalls + " observed");
  }

  @Test
  void readTwiceCountsOnceAndAHoleTeachesNothing() {
    Forecasts once = new Forecasts(slots(Map.of()), 64);
    Forecasts twice = new Forecasts(slots(Map.of()), 64);
    for (long slot = 0; slot < 500; slot++) {
      Map<String, Integer> calls = Map.of("f", (int) daily(slot));
      assertTrue(once.observe(slot, calls));
      assertTrue(twice.observe(slot, calls));
      assertFalse(twice.observe(slot, calls));
      assertFalse(twice.observe(slot - 3, Map.of("f", 9999)));
    }
    assertEquals(once.forecast("f", 500), twice.forecast("f", 500));
    double before = once.forecast("f", 502 + SLOTS_PER_DAY).mean();
    once.observe(500 + SLOTS_PER_DAY, Map.of("f", (int) daily(500 + SLOTS_PER_DAY)));
    assertEquals(before, once.forecast("f", 502 + SLOTS_PER_DAY).mean(), 0.35 * before + 3);
  }

  @Test
  void oneOffFunctionsStayInTheSketchAndOldOnesAreDropped() {
    Forecasts forecasts = new Forecasts(slots(Map.of()), 8192);
    for (long slot = 0; slot < 5L * SLOTS_PER_DAY; slot++) {
      Map<String, Integer> calls = new HashMap<>();
      calls.put("hot", 5);
      for (int i = 0; i < 20; i++) {
        calls.put("once-" + slot + "-" + i, 1);
      }
      forecasts.observe(slot, calls);
    }
    assertTrue(forecasts.functions().contains("hot"));
    assertTrue(
        forecasts.functions().size() < 10,
        forecasts.functions().size() + " of 4801 have a table entry");
    for (long slot = 5L * SLOTS_PER_DAY; slot < 21L * SLOTS_PER_DAY; slot++) {
      forecasts.observe(slot, Map.of());
    }
    assertTrue(forecasts.functions().isEmpty());
    assertEquals("none", forecasts.forecast("hot", 22L * SLOTS_PER_DAY).forecasterName());
  }

  @Test
  void theSketchNeverCountsTooLow() {
    Random random = new Random(9);
    CountMinSketch sketch = new CountMinSketch(256);
    Map<String, Integer> exactCounts = new HashMap<>();
    int farTooHigh = 0;
    for (int i = 0; i < 5_000; i++) {
      String name = "f" + (int) (Math.pow(random.nextDouble(), 4) * 2_000);
      int count = exactCounts.merge(name, 1, Integer::sum);
      int estimate = sketch.add(name, 1);
      assertTrue(estimate >= count);
      farTooHigh += estimate > count + 20 ? 1 : 0;
    }
    assertTrue(farTooHigh < 500, farTooHigh + " estimates too high by more than 20");
  }

  @Test
  void impossibleSlotsAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new SlotCalendar(0, 0, Map.of()));
    assertThrows(IllegalArgumentException.class, () -> new SlotCalendar(48, 7, Map.of()));
    assertEquals(6, new SlotCalendar(48, 6, Map.of()).weekday(47));
    assertEquals(0, new SlotCalendar(48, 6, Map.of()).weekday(48));
  }

  /**
   * A surge of some hours on a named date is forecast from its second occurrence on and does not change the forecasts
   * of ordinary days.
   */
  @Test
  void theHoursOfANamedDayAreForeseenFromItsSecondTimeOn() {
    SlotCalendar slots = new SlotCalendar(96, 0, Map.of(5, "term's end", 12, "term's end"));
    Forecasts forecasts = new Forecasts(slots, 64);
    for (long slot = 0; slot < 12 * 96 + 36; slot++) {
      boolean surge =
          slots.day(slot) == 5 && slots.slotOfDay(slot) >= 36 && slots.slotOfDay(slot) < 48;
      forecasts.observe(slot, Map.of("f", surge ? 100 : 4));
    }
    assertEquals("same-date", forecasts.forecast("f", 12 * 96 + 36).forecasterName());
    assertTrue(
        forecasts.forecast("f", 12 * 96 + 36).mean() > 80,
        "" + forecasts.forecast("f", 12 * 96 + 36));
    assertTrue(
        forecasts.forecast("f", 12 * 96 + 60).mean() < 10,
        "" + forecasts.forecast("f", 12 * 96 + 60));
    assertTrue(
        forecasts.forecast("f", 13 * 96 + 36).mean() < 10,
        "" + forecasts.forecast("f", 13 * 96 + 36));
  }
}
