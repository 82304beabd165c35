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

/**
 * Walk-forward throughout: each slot is forecast before it is observed. All days are drawn; all figures are simulated.
 */
class ForecastsTest {
  private static final int PER_DAY = 48;

  private static SlotCalendar slots(Map<Integer, String> dates) {
    return new SlotCalendar(PER_DAY, 0, dates);
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

  /** What a walk over drawn days says of one function. */
  private static final class Walk {
    double missed;
    double came;
    int over;
    int judged;
    Map<String, Integer> speakers = new HashMap<>();

    double relative() {
      return missed / came;
    }
  }

  private static Walk walk(
      SlotCalendar slots, LongToDoubleFunction rate, int fromDay, int toDay, long seed) {
    return walk(slots, rate, (long) fromDay * PER_DAY, (long) toDay * PER_DAY, seed);
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
        walk.missed += Math.abs(e.mean() - calls);
        walk.came += calls;
        walk.judged++;
        walk.over += calls > e.upper() ? 1 : 0;
        walk.speakers.merge(e.forecasterName(), 1, Integer::sum);
      }
      forecasts.observe(slot, Map.of("f", calls));
    }
    return walk;
  }

  private static double daily(long slot) {
    return 20
        + 15 * Math.sin(2 * Math.PI * (slot % PER_DAY) / PER_DAY)
        + (slot / PER_DAY % 7 >= 5 ? -5 : 0);
  }

  @Test
  void aDailyAndWeeklyPatternIsLearnedAndTheUpperValueHolds() {
    Walk walk = walk(slots(Map.of()), ForecastsTest::daily, 14, 35, 1);
    assertTrue(walk.relative() < 0.24, "miss " + walk.relative());
    assertTrue(walk.over < 0.12 * walk.judged, walk.over + " of " + walk.judged);
    assertTrue(
        walk.speakers.getOrDefault("seasonal", 0) > walk.judged / 2, walk.speakers.toString());
  }

  @Test
  void anUnknownDriftIsFollowedByWhatCameLast() {
    Walk walk = walk(
        slots(Map.of()),
        slot -> 30 + 25 * Math.sin(slot / 37.0 + Math.sin(slot / 211.0) * 4),
        7,
        28,
        2);
    assertTrue(walk.relative() < 0.4, "miss " + walk.relative());
  }

  @Test
  void aKnownDateIsForeseenTheSecondTime() {
    Map<Integer, String> dates = Map.of(20, "term's end", 40, "term's end");
    LongToDoubleFunction rate =
        slot -> daily(slot) * (dates.containsKey((int) (slot / PER_DAY)) ? 4 : 1);
    // The first hours are the point: later in the day what came last would tell it too.
    Walk told = walk(slots(dates), rate, 40L * PER_DAY, 40L * PER_DAY + 2, 3);
    Walk untold = walk(slots(Map.of()), rate, 40L * PER_DAY, 40L * PER_DAY + 2, 3);
    assertTrue(
        told.relative() < 0.6 * untold.relative(),
        told.relative() + " against " + untold.relative());
    Walk dayAfter = walk(slots(dates), rate, 41, 42, 3);
    assertTrue(dayAfter.relative() < 0.5, "the day after is " + dayAfter.relative());
  }

  @Test
  void aForecastThatIsTenTimesWrongIsForgottenWithinDays() {
    for (double factor : new double[] {10, 0.1}) {
      Walk after = walk(
          slots(Map.of()), slot -> daily(slot) * (slot >= 21 * PER_DAY ? factor : 1), 25, 28, 4);
      assertTrue(after.relative() < (factor > 1 ? 0.25 : 0.9), factor + ": " + after.relative());
    }
  }

  @Test
  void sparseFunctionsAreNeitherForgottenNorOverrated() {
    Walk walk = walk(slots(Map.of()), slot -> 0.05, 14, 42, 5);
    Forecasts forecasts = new Forecasts(slots(Map.of()), 64);
    Random random = new Random(6);
    double expected = 0;
    int came = 0;
    for (long slot = 0; slot < 42 * PER_DAY; slot++) {
      int calls = poisson(0.05, random);
      expected += slot > 7 * PER_DAY ? forecasts.forecast("f", slot).mean() : 0;
      came += slot > 7 * PER_DAY ? calls : 0;
      forecasts.observe(slot, Map.of("f", calls));
    }
    assertTrue(
        walk.judged > 0 && expected > 0.3 * came && expected < 2 * came,
        expected + " expected, " + came + " came");
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
    double before = once.forecast("f", 502 + PER_DAY).mean();
    once.observe(500 + PER_DAY, Map.of("f", (int) daily(500 + PER_DAY)));
    assertEquals(before, once.forecast("f", 502 + PER_DAY).mean(), 0.35 * before + 3);
  }

  @Test
  void oneOffFunctionsStayInTheSketchAndOldOnesAreDropped() {
    Forecasts forecasts = new Forecasts(slots(Map.of()), 8192);
    for (long slot = 0; slot < 5L * PER_DAY; slot++) {
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
    for (long slot = 5L * PER_DAY; slot < 21L * PER_DAY; slot++) {
      forecasts.observe(slot, Map.of());
    }
    assertTrue(forecasts.functions().isEmpty());
    assertEquals("none", forecasts.forecast("hot", 22L * PER_DAY).forecasterName());
  }

  @Test
  void theSketchNeverCountsTooLow() {
    Random random = new Random(9);
    CountMinSketch sketch = new CountMinSketch(256);
    Map<String, Integer> truth = new HashMap<>();
    int over = 0;
    for (int i = 0; i < 5_000; i++) {
      String name = "f" + (int) (Math.pow(random.nextDouble(), 4) * 2_000);
      int count = truth.merge(name, 1, Integer::sum);
      int told = sketch.add(name, 1);
      assertTrue(told >= count);
      over += told > count + 20 ? 1 : 0;
    }
    assertTrue(over < 500, over + " far too high");
  }

  @Test
  void impossibleSlotsAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new SlotCalendar(0, 0, Map.of()));
    assertThrows(IllegalArgumentException.class, () -> new SlotCalendar(48, 7, Map.of()));
    assertEquals(6, new SlotCalendar(48, 6, Map.of()).weekday(47));
    assertEquals(0, new SlotCalendar(48, 6, Map.of()).weekday(48));
  }

  /**
   * A surge of some hours on a day with a name is foreseen from its second time on, and common days are not bent by it.
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
