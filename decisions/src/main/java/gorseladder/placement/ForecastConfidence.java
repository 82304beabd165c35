package gorseladder.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The confidence in the forecasts of each function, from the accuracy of past ones: the ratio of actual to expected
 * calls, and that of periods with a call to periods in which one was expected; a ratio above 1 counts as 1. Each ratio
 * is shrunk towards 1 by a prior and old periods lose weight, so a wrong forecast loses its budget and a correct one
 * regains it: forecasts are rated whether or not a copy was loaded for them.
 *
 * <p>It corrects forecasts that are too high, whatever the cause. Forecasts that are too low are not raised: calls then
 * load copies as they would without a plan. A function whose calls come all at once after a long pause may be
 * underrated; its confidence recovers after some correct forecasts. Not thread safe.
 */
public final class ForecastConfidence {
  /** Expected events of the prior, which has a confidence of 1. */
  private static final double PRIOR_EVENTS = 1;
  /** Part of the weight that past periods keep at each period with a forecast. */
  private static final double RETENTION = 0.95;

  /**
   * Actual calls count at most this many times the expected ones, so that one rush does not hide wrong forecasts for
   * long.
   */
  private static final double MAX_EXCESS_RATIO = 3;

  private static final class History {
    private double expectedCalls;
    private double actualCalls;
    private double expectedOccurrences;
    private double actualOccurrences;
  }

  private final Map<String, History> histories = new HashMap<>();

  /**
   * Records a forecast and the actual calls of a period; forecasts without calls are ignored.
   *
   * @param calls expected calls
   * @param probability expected probability of any call
   * @param actualCalls calls counted in the period
   */
  public void record(String function, double calls, double probability, double actualCalls) {
    if (calls <= 0) {
      return;
    }
    History history = histories.computeIfAbsent(function, f -> new History());
    // A period weighs at most one event, so that a single surge that did not occur does not remove
    // all confidence.
    double weight = 1 / Math.max(1, calls);
    history.expectedCalls = history.expectedCalls * RETENTION + calls * weight;
    history.actualCalls =
        history.actualCalls * RETENTION + Math.min(actualCalls * weight, MAX_EXCESS_RATIO);
    history.expectedOccurrences = history.expectedOccurrences * RETENTION + probability;
    history.actualOccurrences =
        history.actualOccurrences * RETENTION + (actualCalls > 0 ? probability : 0);
  }

  /** Factor to apply to a function's expected calls, above 0 and at most 1. */
  public double callsFactor(String function) {
    History history = histories.get(function);
    return history == null
        ? 1
        : Math.min(
            1, (history.actualCalls + PRIOR_EVENTS) / (history.expectedCalls + PRIOR_EVENTS));
  }

  /**
   * Part of the periods with expected calls of a function in which a call is to be expected, above 0 and at most 1.
   */
  public double occurrenceFactor(String function) {
    History history = histories.get(function);
    return history == null
        ? 1
        : Math.min(
            1,
            (history.actualOccurrences + PRIOR_EVENTS)
                / (history.expectedOccurrences + PRIOR_EVENTS));
  }

  /** Removes all functions that are not in the set. */
  public void keepOnly(Set<String> functions) {
    histories.keySet().retainAll(functions);
  }
}
