package gorseladder.forecast;

import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Forecasts for all functions of a fleet, from counts of calls in slots. A function earns a forecast of its own once it
 * was called often enough; what is called once and never again stays in a sketch. A function not called for two weeks
 * is dropped.
 *
 * <p>Free of clocks and input; it acts on the slots it is told and on what it observes, never on a name. Not thread
 * safe.
 */
public final class Forecasts {
  /** Calls within about a day from which a function has a forecast of its own. */
  private static final int EARNS = 3;

  private static final int DROP_DAYS = 14;

  /**
   * What is expected of one function in one slot.
   *
   * @param mean expected calls
   * @param upper passed in about one slot of twenty
   * @param forecasterName the way that speaks for this function now
   */
  public record Forecast(String function, double mean, double upper, String forecasterName) {}

  private final SlotCalendar slots;
  private final CountMinSketch heard;
  private final Map<String, FunctionForecast> functions = new LinkedHashMap<>();
  private final Map<String, Long> lastCalled = new HashMap<>();
  private long last = Long.MIN_VALUE;
  private int day = Integer.MIN_VALUE;

  /** Forecasts over these slots; the sketch has the told width (a few for each function heard of in a day). */
  public Forecasts(SlotCalendar slots, int sketchWidth) {
    this.slots = slots;
    this.heard = new CountMinSketch(sketchWidth);
  }

  /**
   * Takes the counts of a whole slot; functions that are not named had no call. A slot at or before the last one is
   * passed over, so that a history read twice counts once; a hole in the history teaches nothing.
   *
   * @return false where the slot was passed over
   */
  public boolean observe(long slot, Map<String, Integer> calls) {
    if (slot <= last) {
      return false;
    }
    last = slot;
    if (slots.day(slot) != day) {
      day = slots.day(slot);
      heard.fade();
      drop(slot);
    }
    calls.forEach((function, count) -> {
      if (count > 0) {
        lastCalled.computeIfPresent(function, (f, before) -> slot);
        if (!functions.containsKey(function) && heard.add(function, count) >= EARNS) {
          functions.put(function, new FunctionForecast(slots));
          lastCalled.put(function, slot);
        }
      }
    });
    functions.forEach(
        (function, forecast) -> forecast.observe(slot, calls.getOrDefault(function, 0)));
    return true;
  }

  private void drop(long slot) {
    long since = slot - (long) DROP_DAYS * slots.slotsPerDay();
    for (Iterator<String> at = functions.keySet().iterator(); at.hasNext(); ) {
      String function = at.next();
      if (lastCalled.get(function) < since) {
        at.remove();
        lastCalled.remove(function);
      }
    }
  }

  /** What is expected of a function in a slot after the last one observed; nothing of one that earned no forecast. */
  public Forecast forecast(String function, long slot) {
    FunctionForecast forecast = functions.get(function);
    if (forecast == null) {
      return new Forecast(function, 0, 0, "none");
    }
    FunctionForecast.Prediction e = forecast.forecast(slot);
    return new Forecast(function, e.mean(), e.upper(), e.forecasterName());
  }

  /** What each way would have missed by lately, in calls, for a function; empty for one that earned no forecast. */
  public Map<String, Double> recentErrors(String function) {
    FunctionForecast forecast = functions.get(function);
    return forecast == null ? Map.of() : forecast.recentErrors();
  }

  /** Functions that have a forecast of their own. */
  public Set<String> functions() {
    return Collections.unmodifiableSet(functions.keySet());
  }

  /** The last slot observed; {@link Long#MIN_VALUE} before the first. */
  public long lastSlot() {
    return last;
  }
}
