package gorseladder.forecast;

/**
 * One way to foresee the calls of one function. Slots are observed in their order, each once; a slot that was not
 * observed (the history has a hole) is skipped and teaches nothing. Not thread safe.
 */
interface Forecaster {
  /** The name in reports. */
  String name();

  /** The calls expected in a slot after the last one observed; not negative. */
  double mean(long slot);

  /** What came in a slot. */
  void observe(long slot, double calls);
}
