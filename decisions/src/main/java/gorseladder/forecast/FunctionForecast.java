package gorseladder.forecast;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The forecast of one function: several forecasters side by side, of which the one with the least own past error speaks.
 * None is chosen by name; each starts equal and is judged by what it said before a slot against what came.
 *
 * <p>Guards against a pattern that ends (a renamed module, a term that is over): errors are forgotten within about two days,
 * so another way takes over. It could harm where ways take turns by chance on quiet functions; a change needs a lead of a
 * twentieth. Not thread safe.
 */
final class FunctionForecast {
  /** A forecast: mean, an upper value that is passed in about one slot of twenty, and who speaks. */
  record Expectation(double mean, double upper, String by) {}

  /** Days in which half of an error is forgotten. */
  private static final double HALF_LIFE_DAYS = 2;
  /** A lead below this does not change the speaker. */
  private static final double LEAD = 0.95;
  /** Standard deviations to the upper value. */
  private static final double UPPER = 1.65;

  private final List<Forecaster> ways;
  private final double[] error;
  private final double keep;
  private double spread = 1;
  private int speaker;
  private long last = Long.MIN_VALUE;

  FunctionForecast(Slots slots) {
    ways = List.of(new Sparse(), new LastSlot(), new LastWeek(slots), new Seasonal(slots));
    error = new double[ways.size()];
    keep = Math.pow(0.5, 1.0 / (HALF_LIFE_DAYS * slots.perDay()));
  }

  /** What came in a slot; slots at or before the last one are passed over, so that nothing counts twice. */
  void observe(long slot, double calls) {
    if (slot <= last) {
      return;
    }
    last = slot;
    Expectation said = expect(slot);
    // How far calls scatter around the speaker's mean, in units of a Poisson's own scatter.
    double off = (calls - said.mean()) * (calls - said.mean()) / Math.max(0.5, said.mean());
    spread += (1 - keep) * 4 * (Math.min(off, 400) - spread);
    for (int i = 0; i < ways.size(); i++) {
      error[i] = error[i] * keep + Math.abs(ways.get(i).mean(slot) - calls);
      ways.get(i).observe(slot, calls);
    }
    for (int i = 0; i < ways.size(); i++) {
      speaker = error[i] < LEAD * error[speaker] ? i : speaker;
    }
  }

  /** The expectation of a slot after the last one observed. */
  Expectation expect(long slot) {
    double mean = ways.get(speaker).mean(slot);
    return new Expectation(mean, mean + UPPER * Math.sqrt(Math.max(1, spread) * Math.max(0.05, mean)),
        ways.get(speaker).name());
  }

  /** What each way would have missed by, in calls, lately: the standing by which the speaker is chosen. */
  Map<String, Double> standing() {
    Map<String, Double> standing = new LinkedHashMap<>();
    for (int i = 0; i < error.length; i++) {
      standing.put(ways.get(i).name(), error[i]);
    }
    return standing;
  }
}
