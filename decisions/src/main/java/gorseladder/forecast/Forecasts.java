package gorseladder.forecast;

import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Forecasts for all functions of a fleet, from counts of calls in slots. A function gets a forecast of its own once it
 * was called often enough; functions called once and never again are counted in a sketch only. A function not called
 * for two weeks is dropped.
 *
 * <p>Reads no clock and does no I/O: the result depends only on the observed slots and counts, never on a function's
 * name. Not thread safe.
 */
public final class Forecasts {
  /** Calls within about a day after which a function gets a forecast of its own. */
  private static final int MIN_CALLS_FOR_FORECAST = 3;

  private static final int MAX_IDLE_DAYS = 14;

  /**
   * The forecast of one function in one slot.
   *
   * @param mean expected calls
   * @param upper upper bound, exceeded in about one slot of twenty
   * @param forecasterName the forecaster selected for this function
   */
  public record Forecast(String function, double mean, double upper, String forecasterName) {}

  private final SlotCalendar slots;
  private final CountMinSketch sketch;
  private final Map<String, FunctionForecast> functions = new LinkedHashMap<>();
  private final Map<String, Long> lastCalledSlot = new HashMap<>();
  private long lastSlot = Long.MIN_VALUE;
  private int currentDay = Integer.MIN_VALUE;

  /**
   * Creates forecasts over the slots of a calendar.
   *
   * @param sketchWidth counters in a row of the sketch: a few for each function called within a day
   */
  public Forecasts(SlotCalendar slots, int sketchWidth) {
    this.slots = slots;
    this.sketch = new CountMinSketch(sketchWidth);
  }

  /**
   * Records the counts of a whole slot; functions that are not named had no call. A slot at or before the last one is
   * ignored, so that a history read twice counts once; slots missing from the history change nothing.
   *
   * @return false if the slot was ignored
   */
  public boolean observe(long slot, Map<String, Integer> calls) {
    if (slot <= lastSlot) {
      return false;
    }
    lastSlot = slot;
    if (slots.day(slot) != currentDay) {
      currentDay = slots.day(slot);
      sketch.halve();
      dropIdleFunctions(slot);
    }
    calls.forEach((function, count) -> {
      if (count > 0) {
        lastCalledSlot.computeIfPresent(function, (f, previous) -> slot);
        if (!functions.containsKey(function)
            && sketch.add(function, count) >= MIN_CALLS_FOR_FORECAST) {
          functions.put(function, new FunctionForecast(slots));
          lastCalledSlot.put(function, slot);
        }
      }
    });
    functions.forEach(
        (function, forecast) -> forecast.observe(slot, calls.getOrDefault(function, 0)));
    return true;
  }

  private void dropIdleFunctions(long slot) {
    long oldestSlot = slot - (long) MAX_IDLE_DAYS * slots.slotsPerDay();
    for (Iterator<String> iterator = functions.keySet().iterator(); iterator.hasNext(); ) {
      String function = iterator.next();
      if (lastCalledSlot.get(function) < oldestSlot) {
        iterator.remove();
        lastCalledSlot.remove(function);
      }
    }
  }

  /** Forecasts a function in a slot after the last observed one; 0 calls without a forecast of its own. */
  public Forecast forecast(String function, long slot) {
    FunctionForecast forecast = functions.get(function);
    if (forecast == null) {
      return new Forecast(function, 0, 0, "none");
    }
    FunctionForecast.Prediction prediction = forecast.forecast(slot);
    return new Forecast(
        function, prediction.mean(), prediction.upper(), prediction.forecasterName());
  }

  /**
   * The recent absolute error of each forecaster for a function, in calls; empty for a function without a forecast of
   * its own.
   */
  public Map<String, Double> recentErrors(String function) {
    FunctionForecast forecast = functions.get(function);
    return forecast == null ? Map.of() : forecast.recentErrors();
  }

  /** Functions that have a forecast of their own. */
  public Set<String> functions() {
    return Collections.unmodifiableSet(functions.keySet());
  }

  /** The last observed slot; {@link Long#MIN_VALUE} before the first. */
  public long lastSlot() {
    return lastSlot;
  }
}
