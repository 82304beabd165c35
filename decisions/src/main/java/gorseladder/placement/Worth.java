package gorseladder.placement;

/**
 * What a copy loaded ahead is worth: the waiting it is expected to save, less what it costs. Pure arithmetic on a {@link
 * Demand}; seconds of waiting throughout.
 *
 * <p>A first copy saves the load for the first call that comes while it is held, and part of it for those that come during
 * what would have been the load. A further copy counts only where that many calls are expected at once. Both count only by
 * the chance that no copy stands anyway: in a fleet where everything is warm there is next to nothing to gain.
 */
final class Worth {
  /** Chances below this end a sum. */
  private static final double NEGLIGIBLE = 1e-9;
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
  Worth(Prices prices, double stretch, double keepAlive) {
    this.prices = prices;
    this.stretch = stretch;
    this.keepAlive = keepAlive;
  }

  /** Worth of a copy and how long to hold it, in seconds. */
  record Copy(double gain, double cost, double hold) {
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
    double rate = d.calls() / stretch;
    double before = d.callsBefore() / stretch;
    double gain;
    double need;
    if (number == 1) {
      need = 1 - none(rate * hold, d.scatter());
      double waitToo = Math.min(d.lanes(), rate * d.loadSeconds());
      gain = stands(before) * d.trust() * need * d.loadSeconds() * (1 + waitToo / 2);
    } else {
      int more = (number - 1) * d.lanes() + 1;
      need = atLeast(more, rate * d.workSeconds());
      gain = (1 - atLeast(more, before * d.workSeconds())) * d.trust() * need * d.loadSeconds();
    }
    // Until the first call where the forecast is right, and all of the hold where it is not.
    double held = rate > 0 ? d.trust() * Math.min(hold, need / rate) + (1 - d.trust()) * hold : hold;
    return new Copy(gain, prices.fetch() + prices.gigabyteSecond() * d.memoryMb() / 1024 * (d.loadSeconds() + held), hold);
  }

  /** The chance that no copy stands anyway: no call in the last keep-alive. */
  private double stands(double before) {
    return Math.exp(-before * keepAlive);
  }

  /** The chance of no call where so many are expected: a Poisson's, or a negative binomial's where they scatter more. */
  private static double none(double mean, double scatter) {
    return scatter <= 1 + NEGLIGIBLE ? Math.exp(-mean) : Math.exp(-mean * Math.log(scatter) / (scatter - 1));
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
