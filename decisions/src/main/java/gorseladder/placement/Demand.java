package gorseladder.placement;

/**
 * What is expected of one function in the stretch planned for.
 *
 * @param calls expected in the stretch
 * @param dispersion variance of the calls over their mean, 1 for a Poisson's; at least 1
 * @param callsBefore expected in a stretch of the same length before it, by which copies stand anyway
 * @param occurrenceFactor part of past stretches with calls expected in which some came, 0 to 1
 * @param memoryMb of a copy
 * @param lanes calls at a time of a copy
 * @param workSeconds of a call
 * @param loadSeconds of a copy
 */
public record Demand(
    String function,
    double calls,
    double dispersion,
    double callsBefore,
    double occurrenceFactor,
    double memoryMb,
    int lanes,
    double workSeconds,
    double loadSeconds) {
  public Demand {
    if (!(calls >= 0)
        || !(dispersion >= 1)
        || !(callsBefore >= 0)
        || !(occurrenceFactor >= 0 && occurrenceFactor <= 1)
        || !(memoryMb >= 0)
        || lanes < 1
        || !(workSeconds >= 0)
        || !(loadSeconds >= 0)) {
      throw new IllegalArgumentException("impossible demand of " + function);
    }
  }
}
