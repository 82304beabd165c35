package gorseladder.forecast;

/** What came last goes on. */
final class LastSlotForecaster implements Forecaster {
  private double last;

  @Override
  public String name() {
    return "last-slot";
  }

  @Override
  public double mean(long slot) {
    return last;
  }

  @Override
  public void observe(long slot, double calls) {
    last = calls;
  }
}
