package gorseladder.core;

import gorseladder.answers.Reason;

/**
 * The single final answer of a call.
 *
 * @param reason why the call ended
 * @param body the runner's result if the call was served, else null
 * @param retryAfter microseconds that the client should wait before a retry, 0 for no advice
 */
public record FinalAnswer(Reason reason, byte[] body, long retryAfter) {
  private static final long SECOND_MICROS = 1_000_000;

  /** An answer without a result; it advises a retry after one second if its reason invites retries. */
  public static FinalAnswer of(Reason reason) {
    return new FinalAnswer(reason, null, reason.invitesRetry() ? SECOND_MICROS : 0);
  }

  /** An answer without a result and without retry advice. */
  public static FinalAnswer withoutRetryAdvice(Reason reason) {
    return new FinalAnswer(reason, null, 0);
  }

  /** The retry advice in whole seconds, rounded up, for {@code Retry-After} (RFC 9110 section 10.2.3); 0 for none. */
  public long retryAfterSeconds() {
    return (retryAfter + SECOND_MICROS - 1) / SECOND_MICROS;
  }
}
