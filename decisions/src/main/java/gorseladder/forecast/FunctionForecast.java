package gorseladder.forecast;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The forecast of one function: several forecasters run side by side and the one with the smallest recent error is
 * selected. None is preferred by name; each is rated by its forecast of a slot against the calls counted in it. On
 * dates whose name has occurred before, the same-date forecaster is selected at first: the others start with their
 * errors on the first day of that name.
 *
 * <p>When a pattern ends (a renamed module, the end of a term), another forecaster takes over, because errors fade
 * within about two days. On quiet functions forecasters could alternate by chance, so a switch needs an error that is
 * smaller by a twentieth. Not thread safe.
 */
final class FunctionForecast {
  /** A mean, an upper bound exceeded in about one slot of twenty, and the forecaster that was selected. */
  record Prediction(double mean, double upper, String forecasterName) {}

  /** Days after which an error counts half. */
  private static final double HALF_LIFE_DAYS = 2;
  /** A forecaster is selected once its error is below this part of the selected one's error. */
  private static final double SWITCH_RATIO = 0.95;
  /** Standard deviations between the mean and the upper bound. */
  private static final double UPPER_DEVIATIONS = 1.65;

  private final SameDateForecaster sameDate;
  private final List<Forecaster> forecasters;
  /**
   * Errors on ordinary days [0] and on dates whose name has occurred before [1]: the best forecaster of one kind of day
   * need not be the best of the other.
   */
  private final double[][] errors;

  private final double retention;
  private double dispersion = 1;
  private final int[] selected = new int[2];
  private long lastSlot = Long.MIN_VALUE;

  FunctionForecast(SlotCalendar slots) {
    sameDate = new SameDateForecaster(slots);
    forecasters = List.of(
        new SparseForecaster(),
        new LastSlotForecaster(),
        new LastWeekForecaster(slots),
        new SeasonalForecaster(slots),
        sameDate);
    selected[1] = forecasters.indexOf(sameDate);
    errors = new double[2][forecasters.size()];
    retention = Math.pow(0.5, 1.0 / (HALF_LIFE_DAYS * slots.slotsPerDay()));
  }

  /** Records the calls counted in a slot; slots at or before the last one are ignored, so that nothing counts twice. */
  void observe(long slot, double calls) {
    if (slot <= lastSlot) {
      return;
    }
    lastSlot = slot;
    Prediction predicted = forecast(slot);
    // Squared error of the selected forecaster in units of the variance of a Poisson distribution.
    double scaledSquare =
        (calls - predicted.mean()) * (calls - predicted.mean()) / Math.max(0.5, predicted.mean());
    dispersion += (1 - retention) * 4 * (Math.min(scaledSquare, 400) - dispersion);
    int dayKind = dayKind(slot);
    double[] error = errors[dayKind];
    for (int i = 0; i < forecasters.size(); i++) {
      double absoluteError = Math.abs(forecasters.get(i).mean(slot) - calls);
      error[i] = error[i] * retention + absoluteError;
      if (dayKind == 0 && sameDate.isNewDate(slot) && forecasters.get(i) != sameDate) {
        errors[1][i] += absoluteError;
      }
    }
    forecasters.forEach(f -> f.observe(slot, calls));
    for (int i = 0; i < forecasters.size(); i++) {
      selected[dayKind] =
          error[i] < SWITCH_RATIO * error[selected[dayKind]] ? i : selected[dayKind];
    }
  }

  private int dayKind(long slot) {
    return sameDate.isKnownDate(slot) ? 1 : 0;
  }

  /** Forecasts a slot after the last observed one. */
  Prediction forecast(long slot) {
    Forecaster forecaster = forecasters.get(selected[dayKind(slot)]);
    double mean = forecaster.mean(slot);
    return new Prediction(
        mean,
        mean + UPPER_DEVIATIONS * Math.sqrt(Math.max(1, dispersion) * Math.max(0.05, mean)),
        forecaster.name());
  }

  /** The recent absolute error of each forecaster on ordinary days, in calls; the selection is based on it. */
  Map<String, Double> recentErrors() {
    Map<String, Double> recentErrors = new LinkedHashMap<>();
    for (int i = 0; i < forecasters.size(); i++) {
      recentErrors.put(forecasters.get(i).name(), errors[0][i]);
    }
    return recentErrors;
  }
}
