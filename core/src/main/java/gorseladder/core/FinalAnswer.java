package gorseladder.core;

import gorseladder.answers.Reason;

/**
 * The one final answer of a call.
 *
 * @param reason why it ended
 * @param body the runner's result where it was served, else null
 * @param retryAfter microseconds for which the client should stay away, 0 for no advice
 */
public record FinalAnswer(Reason reason, byte[] body, long retryAfter) {
  private static final long SECOND = 1_000_000;

  /** An answer without a result; it invites a retry, a second later, only where its reason does. */
  public static FinalAnswer of(Reason reason) {
    return new FinalAnswer(reason, null, reason.invitesRetry() ? SECOND : 0);
  }

  /** An answer without a result and without advice. */
  public static FinalAnswer withoutRetryAdvice(Reason reason) {
    return new FinalAnswer(reason, null, 0);
  }

  /** The advice in whole seconds, rounded up, as {@code Retry-After} has it (RFC 9110 section 10.2.3); 0 for none. */
  public long retryAfterSeconds() {
    return (retryAfter + SECOND - 1) / SECOND;
  }
}
