package gorseladder.edge.core;

import gorseladder.answers.Reason;

/**
 * The one final answer of a call.
 *
 * @param reason why it ended
 * @param body the runner's result where it was served, else null
 * @param retryAfter whole seconds for Retry-After, 0 for none
 */
public record FinalAnswer(Reason reason, byte[] body, int retryAfter) {
  /** An answer without a result; it invites a retry, a second later, only where its reason does. */
  public static FinalAnswer of(Reason reason) {
    return new FinalAnswer(reason, null, reason.invitesRetry() ? 1 : 0);
  }
}
