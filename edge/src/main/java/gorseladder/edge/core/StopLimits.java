package gorseladder.edge.core;

/**
 * The times at which threads that wait for the ledger on behalf of a client stop waiting because the process exits; far
 * in the future until {@link #set}. Times are {@link gorseladder.runtime.Clock#micros()}.
 *
 * <p>Thread safe.
 */
final class StopLimits {
  private volatile long acceptBy = Long.MAX_VALUE;
  private volatile long answerBy = Long.MAX_VALUE;

  /**
   * Sets the limits.
   *
   * @param accept for waits before the core has the call
   * @param answer for waits of a call that has its final answer, or needs one
   */
  void set(long accept, long answer) {
    acceptBy = accept;
    answerBy = answer;
  }

  long acceptBy() {
    return acceptBy;
  }

  long answerBy() {
    return answerBy;
  }
}
