package gorseladder.forecast;

/**
 * Forecasts the calls of one function by one method. Slots are observed in ascending order, each at most once; a slot
 * that is missing from the history is skipped and changes nothing. Not thread safe.
 */
interface Forecaster {
  /** A stable name, used in reports. */
  String name();

  /** The calls expected in a slot after the last observed one; not negative. */
  double mean(long slot);

  /** Records the calls counted in a slot. */
  void observe(long slot, double calls);
}
