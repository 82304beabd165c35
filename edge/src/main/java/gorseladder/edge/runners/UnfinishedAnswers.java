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
 * Bounds the memory of runner answers that are still being received. They share the budget of all messages, but may use
 * only part of it, so that requests always find room. If the shared budget is full, an unfinished request is evicted;
 * if the part for answers is full or there is no unfinished request, the largest unfinished answer is evicted and its
 * attempt is given up.
 *
 * <p>This guards against runners whose answers do not end. The cost: a long answer may be given up shortly before its
 * end.
 *
 * <p>Thread safe.
 */
public final class UnfinishedAnswers {
  /** Answers may use all of the budget but one part in this many. */
  private static final int REQUEST_SHARE_DIVISOR = 4;

  private final ByteBudget messageBudget;
  private final ByteBudget answerBudget;
  private final LongPredicate evictRequest;
  private final Map<MessageMemory, Runnable> evictable = new ConcurrentHashMap<>();

  /**
   * Creates the bound.
   *
   * @param evictRequest gives up an unfinished request; false if there is none
   */
  public UnfinishedAnswers(ByteBudget messageBudget, LongPredicate evictRequest) {
    this.messageBudget = messageBudget;
    this.answerBudget =
        new ByteBudget(messageBudget.limit() - messageBudget.limit() / REQUEST_SHARE_DIVISOR);
    this.evictRequest = evictRequest;
  }

  /** Returns the longest answer, in bytes, that fits together with the memory that parsing it takes. */
  public long maxAnswerBytes() {
    return answerBudget.limit() / (1 + AnswerReader.MEMORY_PER_ANSWER_BYTE);
  }

  /** Returns the memory account of an attempt or a load order, for its request and then for its answer. */
  MessageMemory newMemory() {
    return new MessageMemory(List.of(answerBudget, messageBudget), this::makeRoom);
  }

  /**
   * Registers an answer that is about to be received; {@code giveUp} ends its attempt, on any thread and without
   * blocking.
   */
  void register(MessageMemory answer, Runnable giveUp) {
    evictable.put(answer, giveUp);
  }

  /** Unregisters an answer that is complete or whose attempt ends; returns false if it was evicted before. */
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
