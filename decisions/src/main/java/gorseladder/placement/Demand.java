package gorseladder.placement;

/**
 * The expected demand for one function in the planned period.
 *
 * @param calls expected calls in the period
 * @param dispersion variance of the calls over their mean, 1 for a Poisson distribution; at least 1
 * @param previousCalls calls in the preceding period of the same length; they keep copies loaded without a plan
 * @param occurrenceFactor part of the past periods with expected calls in which there was a call, 0 to 1
 * @param memoryMb memory of a copy
 * @param lanes concurrent calls of a copy
 * @param workSeconds duration of a call on a loaded copy
 * @param loadSeconds duration of loading a copy
 */
public record Demand(
    String function,
    double calls,
    double dispersion,
    double previousCalls,
    double occurrenceFactor,
    double memoryMb,
    int lanes,
    double workSeconds,
    double loadSeconds) {
  public Demand {
    if (!(calls >= 0)
        || !(dispersion >= 1)
        || !(previousCalls >= 0)
        || !(occurrenceFactor >= 0 && occurrenceFactor <= 1)
        || !(memoryMb >= 0)
        || lanes < 1
        || !(workSeconds >= 0)
        || !(loadSeconds >= 0)) {
      throw new IllegalArgumentException("invalid demand for " + function);
    }
  }
}
