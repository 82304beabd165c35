package gorseladder.placement;

/**
 * Estimates the benefit of a copy loaded ahead: the waiting time it is expected to save, less its cost. Pure arithmetic
 * on a {@link Demand}; gain and cost are in seconds of waiting time.
 *
 * <p>A copy is needed by the calls that find all lanes of the preceding copies occupied (the first copy by every call).
 * The first of these calls saves a load with the probability that no such copy is loaded anyway; each later one with
 * the probability that the copy would have aged out since the call before. In a fleet where everything is warm there is
 * almost nothing to gain. Memory is charged from the order on, for the part of the hold in which the copy would not
 * have been loaded anyway, and to the end of an unused keep-alive.
 */
final class BenefitModel {
  /** A sum ends at probabilities below this value. */
  private static final double NEGLIGIBLE = 1e-9;
  /** Keep-alives by which a copy is ordered early, so that loads are spread over the lead time. */
  private static final double LEAD_KEEP_ALIVES = 1.5;

  /** Keep-alives that an unused copy stays loaded after its hold. */
  private static final double UNUSED_TAIL_KEEP_ALIVES = 0.7;
  /** Keep-alives after which the hold of an unused copy is renewed by another order. */
  private static final double RENEWAL_KEEP_ALIVES = 0.6;
  /** Hold times to choose from beside the whole period, in keep-alives. */
  private static final double[] HOLD_KEEP_ALIVES = {1, 3};

  private final Prices prices;
  private final double periodSeconds;
  private final double keepAliveSeconds;

  /**
   * Creates a model for periods of one length.
   *
   * @param periodSeconds length of the planned period
   * @param keepAliveSeconds time after which an idle copy is unloaded
   */
  BenefitModel(Prices prices, double periodSeconds, double keepAliveSeconds) {
    this.prices = prices;
    this.periodSeconds = periodSeconds;
    this.keepAliveSeconds = keepAliveSeconds;
  }

  /** Gain and cost of a copy in seconds of waiting time, and how long to hold it. */
  record Estimate(double gain, double cost, double holdSeconds) {
    double netBenefit() {
      return gain - cost;
    }
  }

  /** Estimates the copy of this number (from 1) against having one copy less, with the most beneficial hold time. */
  Estimate estimate(Demand d, int number) {
    Estimate best = estimateForHold(d, number, periodSeconds);
    for (double keepAlives : HOLD_KEEP_ALIVES) {
      Estimate other =
          estimateForHold(d, number, Math.min(periodSeconds, keepAlives * keepAliveSeconds));
      best = other.netBenefit() > best.netBenefit() ? other : best;
    }
    return best;
  }

  private Estimate estimateForHold(Demand d, int number, double holdSeconds) {
    int occupiedLanes = (number - 1) * d.lanes();
    double callRate = d.calls() / periodSeconds;
    double neededRate = callRate * probabilityAtLeast(occupiedLanes, callRate * d.workSeconds());
    double previousRate = d.previousCalls() / periodSeconds;
    double previousNeededRate =
        previousRate * probabilityAtLeast(occupiedLanes, previousRate * d.workSeconds());
    double useProbability =
        d.occurrenceFactor() * (1 - probabilityOfNone(neededRate * holdSeconds, d.dispersion()));
    double laterCalls =
        Math.max(0, d.occurrenceFactor() * neededRate * holdSeconds - useProbability);
    double agedOutProbability = Math.exp(-d.occurrenceFactor() * neededRate * keepAliveSeconds);
    double waitingCalls = Math.min(d.lanes(), neededRate * d.loadSeconds());
    double savedLoads = Math.exp(-previousNeededRate * keepAliveSeconds) * useProbability
        + agedOutProbability * laterCalls;
    double gain = savedLoads * d.loadSeconds() * (1 + waitingCalls / 2);
    double heldSeconds = d.loadSeconds()
        + LEAD_KEEP_ALIVES * keepAliveSeconds
        + agedOutProbability * holdSeconds
        + (1 - useProbability) * UNUSED_TAIL_KEEP_ALIVES * keepAliveSeconds;
    double loadOrders =
        1 + agedOutProbability * holdSeconds / (RENEWAL_KEEP_ALIVES * keepAliveSeconds);
    return new Estimate(
        gain,
        prices.fetch()
            + prices.order() * loadOrders
            + prices.gigabyteSecond() * d.memoryMb() / 1024 * heldSeconds,
        holdSeconds);
  }

  /** The probability of no call: by a Poisson distribution, or a negative binomial one if the dispersion is above 1. */
  private static double probabilityOfNone(double mean, double dispersion) {
    return dispersion <= 1 + NEGLIGIBLE
        ? Math.exp(-mean)
        : Math.exp(-mean * Math.log(dispersion) / (dispersion - 1));
  }

  /** The probability that a Poisson variable with this mean is {@code count} or more. */
  static double probabilityAtLeast(int count, double mean) {
    double term = Math.exp(-mean);
    double below = 0;
    for (int i = 0; i < count && (term > NEGLIGIBLE || i < mean); i++) {
      below += term;
      term *= mean / (i + 1);
    }
    return Math.max(0, 1 - below);
  }
}
