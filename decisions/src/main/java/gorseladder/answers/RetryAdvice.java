package gorseladder.answers;

import java.util.Random;

/**
 * Decides the {@code Retry-After} of a refusal. The more of the calls are being refused, the longer the wait, and
 * chance spreads the returns, so that clients turned away together do not come back together. It could harm where a
 * long refusal streak ended just now: the advice stays long for about {@link #MEMORY} answers.
 *
 * <p>Not thread safe. Times are microseconds; the header has whole seconds (RFC 9110 section 10.2.3), so the least is
 * 1.
 */
public final class RetryAdvice {
  /** Answers over which the refused share is felt. */
  private static final double MEMORY = 50;

  private final long most;
  private final Random random;
  private double refusedShare;

  /** Advice of at most the told time; below a second the header can only say 1. */
  public RetryAdvice(long most, long seed) {
    this.most = most;
    this.random = new Random(seed);
  }

  /** A call ended with a final answer. */
  public void record(boolean refused) {
    refusedShare += ((refused ? 1 : 0) - refusedShare) / MEMORY;
  }

  /** Whole seconds, 1 or more. */
  public int seconds() {
    double wait = most / 1e6 * refusedShare * (0.5 + random.nextDouble());
    return (int) Math.max(1, Math.min(Math.ceil(most / 1e6), Math.round(wait)));
  }
}
