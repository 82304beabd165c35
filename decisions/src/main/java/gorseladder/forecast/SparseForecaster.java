package gorseladder.forecast;

/**
 * For functions that are called now and then: the chance of any call in a slot times the calls when there are some,
 * each smoothed, the chance at every slot (R. Teunter, A. Syntetos, M. Babai, "Intermittent demand: Linking forecasting
 * to inventory obsolescence", 2011). Unlike Croston's method it lets a function that is wanted no more fade out.
 */
final class SparseForecaster implements Forecaster {
  private static final double CHANCE = 0.02;
  private static final double SIZE = 0.1;

  private double chance;
  private double size;
  private long seen;

  @Override
  public String name() {
    return "sparse";
  }

  @Override
  public double mean(long slot) {
    return chance * size;
  }

  @Override
  public void observe(long slot, double calls) {
    seen++;
    double weight = Math.max(CHANCE, 1.0 / seen);
    chance += weight * ((calls > 0 ? 1 : 0) - chance);
    if (calls > 0) {
      size = size == 0 ? calls : size + SIZE * (calls - size);
    }
  }
}
