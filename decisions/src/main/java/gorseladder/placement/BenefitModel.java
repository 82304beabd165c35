package gorseladder.placement;

/**
 * What a copy loaded ahead is worth: the waiting it is expected to save, less what it costs. Pure arithmetic on a
 * {@link Demand}; seconds of waiting throughout.
 *
 * <p>A copy is needed by the calls that find all lanes of those before it taken (the first by every call). The first of
 * these is spared a load by the chance that no such copy stands anyway; each later one by the chance that the copy
 * would have aged out since the one before. In a fleet where everything is warm there is next to nothing to gain. Its
 * memory is paid from its order on, for the part of the hold in which it would not have stood anyway, and to the end of
 * an unused keep-alive.
 */
final class BenefitModel {
  /** Chances below this end a sum. */
  private static final double NEGLIGIBLE = 1e-9;
  /**
   * Keep-alives by which copies are ordered early, so that loads are spread; and for which an unused one stays after.
   */
  private static final double EARLY = 1.5;

  private static final double AFTER = 0.7;
  /** Keep-alives after which an unused copy is ordered anew. */
  private static final double RENEWED = 0.6;
  /** Stretches a copy may be held for, in keep-alives; the whole stretch is the last choice. */
  private static final double[] HOLDS = {1, 3};

  private final Prices prices;
  private final double stretch;
  private final double keepAlive;

  /**
   * Worth in stretches of this length.
   *
   * @param stretch seconds planned for
   * @param keepAlive seconds that an idle copy stays
   */
  BenefitModel(Prices prices, double stretch, double keepAlive) {
    this.prices = prices;
    this.stretch = stretch;
    this.keepAlive = keepAlive;
  }

  /** Worth of a copy and how long to hold it, in seconds. */
  record Copy(double gain, double cost, double holdSeconds) {
    double net() {
      return gain - cost;
    }
  }

  /** Worth of the copy of this number (from 1) over having one less, with the hold that is worth most. */
  Copy of(Demand d, int number) {
    Copy best = held(d, number, stretch);
    for (double times : HOLDS) {
      Copy other = held(d, number, Math.min(stretch, times * keepAlive));
      best = other.net() > best.net() ? other : best;
    }
    return best;
  }

  private Copy held(Demand d, int number, double hold) {
    int taken = (number - 1) * d.lanes();
    double rate = d.calls() / stretch;
    double needed = rate * atLeast(taken, rate * d.workSeconds());
    double before = d.callsBefore() / stretch;
    double neededBefore = before * atLeast(taken, before * d.workSeconds());
    double used = d.occurrenceFactor() * (1 - none(needed * hold, d.dispersion()));
    double later = Math.max(0, d.occurrenceFactor() * needed * hold - used);
    double agedOut = Math.exp(-d.occurrenceFactor() * needed * keepAlive);
    double waitToo = Math.min(d.lanes(), needed * d.loadSeconds());
    double spared = Math.exp(-neededBefore * keepAlive) * used + agedOut * later;
    double gain = spared * d.loadSeconds() * (1 + waitToo / 2);
    double seconds =
        d.loadSeconds() + EARLY * keepAlive + agedOut * hold + (1 - used) * AFTER * keepAlive;
    double orders = 1 + agedOut * hold / (RENEWED * keepAlive);
    return new Copy(
        gain,
        prices.fetch()
            + prices.order() * orders
            + prices.gigabyteSecond() * d.memoryMb() / 1024 * seconds,
        hold);
  }

  /**
   * The chance of no call where so many are expected: a Poisson's, or a negative binomial's where they scatter more.
   */
  private static double none(double mean, double dispersion) {
    return dispersion <= 1 + NEGLIGIBLE
        ? Math.exp(-mean)
        : Math.exp(-mean * Math.log(dispersion) / (dispersion - 1));
  }

  /** The chance of so many or more where a Poisson's mean is expected. */
  static double atLeast(int many, double mean) {
    double term = Math.exp(-mean);
    double below = 0;
    for (int i = 0; i < many && (term > NEGLIGIBLE || i < mean); i++) {
      below += term;
      term *= mean / (i + 1);
    }
    return Math.max(0, 1 - below);
  }
}
