package gorseladder.answers;

import java.util.Random;

/**
 * Decides the {@code Retry-After} of a refusal. The time grows with the share of refusals and is random, so that
 * clients refused together do not return together. It stays long for about {@link #AVERAGED_ANSWERS} answers after a
 * long series of refusals.
 *
 * <p>Not thread safe. Times are microseconds; the header is in whole seconds (RFC 9110 section 10.2.3), so the minimum
 * is 1.
 */
public final class RetryAdvice {
  /** Number of answers over which the share of refusals is averaged. */
  private static final double AVERAGED_ANSWERS = 50;

  private final long maxRetryAfter;
  private final Random random;
  private double refusedShare;

  /**
   * Creates advice that has seen no refusals.
   *
   * @param maxRetryAfter longest time to advise; below a second the header can only say 1
   * @param seed seed for spreading the times
   */
  public RetryAdvice(long maxRetryAfter, long seed) {
    this.maxRetryAfter = maxRetryAfter;
    this.random = new Random(seed);
  }

  /** Records the final answer to a call. */
  public void record(boolean refused) {
    refusedShare += ((refused ? 1 : 0) - refusedShare) / AVERAGED_ANSWERS;
  }

  /** The value of the header in seconds, 1 or more. */
  public int seconds() {
    double wait = maxRetryAfter / 1e6 * refusedShare * (0.5 + random.nextDouble());
    return (int) Math.max(1, Math.min(Math.ceil(maxRetryAfter / 1e6), Math.round(wait)));
  }
}
