package gorseladder.forecast;

/**
 * For functions that are called now and then: the probability of any call in a slot times the calls in a slot that has
 * some, each smoothed exponentially, the probability at every slot (R. Teunter, A. Syntetos, M. Babai, "Intermittent
 * demand: Linking forecasting to inventory obsolescence", 2011). Unlike with Croston's method, the forecast of a
 * function that is not called any more decays.
 */
final class SparseForecaster implements Forecaster {
  private static final double PROBABILITY_WEIGHT = 0.02;
  private static final double SIZE_WEIGHT = 0.1;

  private double probability;
  private double callsIfAny;
  private long observed;

  @Override
  public String name() {
    return "sparse";
  }

  @Override
  public double mean(long slot) {
    return probability * callsIfAny;
  }

  @Override
  public void observe(long slot, double calls) {
    observed++;
    double weight = Math.max(PROBABILITY_WEIGHT, 1.0 / observed);
    probability += weight * ((calls > 0 ? 1 : 0) - probability);
    if (calls > 0) {
      callsIfAny = callsIfAny == 0 ? calls : callsIfAny + SIZE_WEIGHT * (calls - callsIfAny);
    }
  }
}
