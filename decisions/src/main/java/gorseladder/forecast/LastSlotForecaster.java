package gorseladder.forecast;

/** Expects the calls of the last observed slot to continue. */
final class LastSlotForecaster implements Forecaster {
  private double lastCalls;

  @Override
  public String name() {
    return "last-slot";
  }

  @Override
  public double mean(long slot) {
    return lastCalls;
  }

  @Override
  public void observe(long slot, double calls) {
    lastCalls = calls;
  }
}
