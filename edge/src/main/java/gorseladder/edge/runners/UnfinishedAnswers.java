package gorseladder.edge.runners;

import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.MessageMemory;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongPredicate;

/**
 * Answers of runners that are not whole yet. They take their memory from the budget of all messages, and at most a part
 * of it, so that requests always find room. Past the bound of all, requests that are not whole make room; past the
 * part, or where there are none, the unfinished answer that keeps most does, and its attempt is given up.
 *
 * <p>Guards against runners whose answers do not end. It could harm a long answer that would have been whole soon. Any
 * thread.
 */
public final class UnfinishedAnswers {
  /** Of four bytes of the budget answers may take three. */
  private static final int REQUEST_SHARE_DIVISOR = 4;

  private final ByteBudget messageBudget;
  private final ByteBudget answerBudget;
  private final LongPredicate evictRequest;
  private final Map<MessageMemory, Runnable> evictable = new ConcurrentHashMap<>();

  /**
   * Answers within a budget.
   *
   * @param requestsMakeRoom gives up a request that is not whole; false where there is none
   */
  public UnfinishedAnswers(ByteBudget messageBudget, LongPredicate evictRequest) {
    this.messageBudget = messageBudget;
    this.answerBudget =
        new ByteBudget(messageBudget.limit() - messageBudget.limit() / REQUEST_SHARE_DIVISOR);
    this.evictRequest = evictRequest;
  }

  /** The longest answer that can be taken in, with what reading it takes beside it. */
  public long maxAnswerBytes() {
    return answerBudget.limit() / (1 + AnswerReader.MEMORY_PER_ANSWER_BYTE);
  }

  /** The memory of an attempt or an order, for its request and then for its answer. */
  MessageMemory newMemory() {
    return new MessageMemory(List.of(answerBudget, messageBudget), this::makeRoom);
  }

  /** An answer is awaited from now on; {@code giveUp} ends its attempt, from any thread and without blocking. */
  void register(MessageMemory answer, Runnable giveUp) {
    evictable.put(answer, giveUp);
  }

  /** It is whole, or its attempt ends; false where it was given up before. */
  boolean finish(MessageMemory answer) {
    return evictable.remove(answer) != null;
  }

  private boolean makeRoom(long bytes) {
    boolean withinAnswerBudget = answerBudget.used() + bytes <= answerBudget.limit();
    return withinAnswerBudget && evictRequest.test(bytes) || evictLargest();
  }

  private boolean evictLargest() {
    Optional<MessageMemory> largest = evictable.keySet().stream()
        .filter(answer -> answer.taken() > 0)
        .max(Comparator.comparingLong(MessageMemory::taken));
    if (largest.isEmpty()) {
      return false;
    }
    Runnable giveUp = evictable.remove(largest.get());
    if (giveUp != null) {
      largest.get().end();
      giveUp.run();
    }
    return true;
  }
}
