package gorseladder.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * How far the forecast of each function is believed, from how past ones came out: what came over what was said, of
 * calls and of stretches with any call at all; more than 1 counts as 1. Each is drawn towards 1 by a few expected
 * events and fades, so a forecast that was wrong loses its budget by itself and earns it back: what was said is judged
 * whether or not anything was loaded for it.
 *
 * <p>Guards against forecasts that are too high, however they came to be so. One that is too low is not raised: then
 * calls load as they would without a plan. It could harm a function whose calls come all at once after long silence;
 * its trust comes back after some right guesses. Not thread safe.
 */
public final class ForecastConfidence {
  /** Expected events that stand behind a trust of 1. */
  private static final double PRIOR = 1;
  /** Part of the weight kept at each stretch with something said. */
  private static final double KEEP = 0.95;

  /** What came counts at most this many times what was said, so that one rush does not hide misses for long. */
  private static final double MOST_OVER = 3;

  private static final class Record {
    private double said;
    private double came;
    private double saidAny;
    private double cameAny;
  }

  private final Map<String, Record> records = new HashMap<>();

  /** Notes what was said for a stretch and what came: {@code calls} expected, and the chance of any call. */
  public void record(String function, double calls, double any, double came) {
    if (calls <= 0) {
      return;
    }
    Record r = records.computeIfAbsent(function, f -> new Record());
    // A stretch weighs one event at the most, so that a single surge that stayed away does not
    // end all belief.
    double weight = 1 / Math.max(1, calls);
    r.said = r.said * KEEP + calls * weight;
    r.came = r.came * KEEP + Math.min(came * weight, MOST_OVER);
    r.saidAny = r.saidAny * KEEP + any;
    r.cameAny = r.cameAny * KEEP + (came > 0 ? any : 0);
  }

  /** Part of a function's expected calls that is believed, above 0 and at most 1. */
  public double callsFactor(String function) {
    Record r = records.get(function);
    return r == null ? 1 : Math.min(1, (r.came + PRIOR) / (r.said + PRIOR));
  }

  /**
   * Part of the stretches in which calls of a function are expected that is believed to bring any, above 0 and at most
   * 1.
   */
  public double occurrenceFactor(String function) {
    Record r = records.get(function);
    return r == null ? 1 : Math.min(1, (r.cameAny + PRIOR) / (r.saidAny + PRIOR));
  }

  /** Forgets functions that are not named. */
  public void keepOnly(Set<String> functions) {
    records.keySet().retainAll(functions);
  }
}
