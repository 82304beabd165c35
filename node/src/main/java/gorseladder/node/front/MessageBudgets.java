package gorseladder.node.front;

import gorseladder.runtime.ByteBudget;

/**
 * The memory for messages of a dispatcher by kind, each a part of one budget. Thread safe.
 */
public final class MessageBudgets {
  /** One part in this many stays free of what may never be complete, for the calls of usual clients. */
  private static final int RESERVED_DIVISOR = 4;

  /** One part in this many is for answers that wait to be written; those that have to be kept may exceed it. */
  private static final int UNREAD_DIVISOR = 2;

  private final ByteBudget all;
  private final ByteBudget unfinishedRequests;
  private final ByteBudget calls;
  private final ByteBudget answers;
  private final ByteBudget runnerAnswers;

  /** Creates budgets of at most the given number of bytes together. */
  MessageBudgets(long maxBytes) {
    all = new ByteBudget(maxBytes);
    unfinishedRequests = all.part(maxBytes - maxBytes / RESERVED_DIVISOR);
    calls = all.part(maxBytes);
    answers = all.part(maxBytes / UNREAD_DIVISOR);
    runnerAnswers = all.part(maxBytes - maxBytes / RESERVED_DIVISOR);
  }

  /** The sum of all kinds. */
  ByteBudget all() {
    return all;
  }

  /** Requests, until they are answered. */
  ByteBudget unfinishedRequests() {
    return unfinishedRequests;
  }

  /** Calls that have no final answer. */
  ByteBudget calls() {
    return calls;
  }

  /** Answers to clients that are not written yet. */
  ByteBudget answers() {
    return answers;
  }

  /** Answers of runners that are still being received. */
  public ByteBudget runnerAnswers() {
    return runnerAnswers;
  }

  /** Whether memory has to be freed: more is in use than may be, in all or for answers that clients do not read. */
  boolean isExceeded() {
    return all.isExceeded() || answers.isExceeded();
  }

  /** The bytes in use by kind, for the log. */
  String describe() {
    return all.used() + " bytes kept of " + all.limit() + " (requests "
        + unfinishedRequests.used() + ", calls " + calls.used() + ", answers " + answers.used()
        + ", answers of runners " + runnerAnswers.used() + ")";
  }
}
