package gorseladder.runtime;

import java.util.List;
import java.util.function.LongPredicate;

/**
 * The memory of one message, taken from budgets that all messages share. Taken bytes are given back exactly once: in
 * parts, or the rest by {@link #end}, however the message ends.
 *
 * <p>Without shared budgets, connections that each stay within their own limit could together exceed the memory of the
 * process. Thread safe; buffers of the message are changed under this object's lock, so that {@link #end} can discard
 * them from another thread.
 */
public final class MessageMemory {
  private static final Runnable NOTHING = () -> {};

  private final List<ByteBudget> budgets;
  private final LongPredicate makeRoom;
  private long taken;
  private boolean ended;
  private Runnable discard = NOTHING;

  /**
   * Creates an empty reservation.
   *
   * @param budgets budgets that each byte is taken from
   * @param makeRoom called with the number of wanted bytes, without this object's lock, if a budget is exhausted;
   *     returns false if it could not free any
   */
  public MessageMemory(List<ByteBudget> budgets, LongPredicate makeRoom) {
    this.budgets = budgets;
    this.makeRoom = makeRoom;
  }

  /** Memory without a limit, for peers that the operator runs. */
  public static MessageMemory unbounded() {
    return new MessageMemory(List.of(), bytes -> false);
  }

  /**
   * Takes bytes before they are buffered.
   *
   * @throws NoRoomException if a budget is exhausted and no room could be made, or the message has ended
   */
  public void take(long bytes) throws NoRoomException {
    while (!tryTake(bytes)) {
      if (!makeRoom.test(bytes)) {
        throw new NoRoomException("no memory for " + bytes + " more bytes of a message");
      }
    }
  }

  private synchronized boolean tryTake(long bytes) throws NoRoomException {
    requireNotEnded();
    for (int i = 0; i < budgets.size(); i++) {
      if (!budgets.get(i).tryTake(bytes)) {
        budgets.subList(0, i).forEach(budget -> budget.giveBack(bytes));
        return false;
      }
    }
    taken += bytes;
    return true;
  }

  /** Gives back bytes that are no longer buffered. */
  public synchronized void giveBack(long bytes) {
    if (!ended) {
      taken -= bytes;
      budgets.forEach(budget -> budget.giveBack(bytes));
    }
  }

  /** Gives back all but the given number of bytes; does nothing if fewer are taken. */
  public synchronized void shrinkTo(long bytes) {
    giveBack(Math.max(0, taken - bytes));
  }

  /** Sets the action by which {@link #end} discards what is buffered now. */
  public synchronized void onDiscard(Runnable action) {
    discard = action;
  }

  /** Throws an exception if the message has ended. */
  public synchronized void requireNotEnded() throws NoRoomException {
    if (ended) {
      throw new NoRoomException("the message was discarded to make room for others");
    }
  }

  /** Bytes that are taken at present. */
  public synchronized long taken() {
    return taken;
  }

  /** Discards what is buffered, gives back all bytes, and rejects further ones. */
  public synchronized void end() {
    if (!ended) {
      discard.run();
      discard = NOTHING;
      giveBack(taken);
      ended = true;
    }
  }
}
