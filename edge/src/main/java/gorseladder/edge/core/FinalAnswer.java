package gorseladder.edge.core;

import gorseladder.answers.Reason;

/**
 * The one final answer of a call.
 *
 * @param reason why it ended
 * @param body the runner's result where it was served, else null
 * @param retryAfter whole seconds for Retry-After, 0 for none
 */
public record FinalAnswer(Reason reason, byte[] body, int retryAfter) {}
