package gorseladder.forecast;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The forecast of one function: several forecasters side by side, of which the one with the least own past error
 * speaks. None is chosen by name; each is judged by what it said before a slot against what came. On days whose name
 * was met before the one that remembers them begins: the others start with what they missed by on the first day of that
 * name.
 *
 * <p>Guards against a pattern that ends (a renamed module, a term that is over): errors are forgotten within about two
 * days, so another way takes over. It could harm where ways take turns by chance on quiet functions; a change needs a
 * lead of a twentieth. Not thread safe.
 */
final class FunctionForecast {
  /** A forecast: mean, an upper value that is passed in about one slot of twenty, and who speaks. */
  record Prediction(double mean, double upper, String forecasterName) {}

  /** Days in which half of an error is forgotten. */
  private static final double HALF_LIFE_DAYS = 2;
  /** A lead below this does not change the speaker. */
  private static final double LEAD = 0.95;
  /** Standard deviations to the upper value. */
  private static final double UPPER = 1.65;

  private final SameDateForecaster sameDate;
  private final List<Forecaster> ways;
  /**
   * Errors on common days, and on days whose name was met before: who is right on one kind need not be on the other.
   */
  private final double[][] errors;

  private final double keep;
  private double spread = 1;
  private final int[] speakers = new int[2];
  private long last = Long.MIN_VALUE;

  FunctionForecast(SlotCalendar slots) {
    sameDate = new SameDateForecaster(slots);
    ways = List.of(
        new SparseForecaster(),
        new LastSlotForecaster(),
        new LastWeekForecaster(slots),
        new SeasonalForecaster(slots),
        sameDate);
    speakers[1] = ways.indexOf(sameDate);
    errors = new double[2][ways.size()];
    keep = Math.pow(0.5, 1.0 / (HALF_LIFE_DAYS * slots.slotsPerDay()));
  }

  /** What came in a slot; slots at or before the last one are passed over, so that nothing counts twice. */
  void observe(long slot, double calls) {
    if (slot <= last) {
      return;
    }
    last = slot;
    Prediction said = forecast(slot);
    // How far calls scatter around the speaker's mean, in units of a Poisson's own scatter.
    double off = (calls - said.mean()) * (calls - said.mean()) / Math.max(0.5, said.mean());
    spread += (1 - keep) * 4 * (Math.min(off, 400) - spread);
    int kind = kind(slot);
    double[] error = errors[kind];
    for (int i = 0; i < ways.size(); i++) {
      double missed = Math.abs(ways.get(i).mean(slot) - calls);
      error[i] = error[i] * keep + missed;
      if (kind == 0 && sameDate.learns(slot) && ways.get(i) != sameDate) {
        errors[1][i] += missed;
      }
    }
    ways.forEach(w -> w.observe(slot, calls));
    for (int i = 0; i < ways.size(); i++) {
      speakers[kind] = error[i] < LEAD * error[speakers[kind]] ? i : speakers[kind];
    }
  }

  private int kind(long slot) {
    return sameDate.knows(slot) ? 1 : 0;
  }

  /** The expectation of a slot after the last one observed. */
  Prediction forecast(long slot) {
    Forecaster speaker = ways.get(speakers[kind(slot)]);
    double mean = speaker.mean(slot);
    return new Prediction(
        mean, mean + UPPER * Math.sqrt(Math.max(1, spread) * Math.max(0.05, mean)), speaker.name());
  }

  /**
   * What each way would have missed by on common days, in calls, lately: the standing by which their speaker is chosen.
   */
  Map<String, Double> recentErrors() {
    Map<String, Double> standing = new LinkedHashMap<>();
    for (int i = 0; i < ways.size(); i++) {
      standing.put(ways.get(i).name(), errors[0][i]);
    }
    return standing;
  }
}
