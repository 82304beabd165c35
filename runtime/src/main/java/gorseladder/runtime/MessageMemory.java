package gorseladder.runtime;

import java.util.List;
import java.util.function.LongPredicate;

/**
 * The memory of one message, taken from the budgets that messages share. What is taken is given back exactly once:
 * piece by piece, or all that is left by {@link #end}, however the message ends.
 *
 * <p>Guards against connections that are each within their bound and together past the memory of the process. Any
 * thread; whoever keeps bytes for the message changes them under this object's lock, so that {@link #end} can let go of
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
   * Nothing is taken yet.
   *
   * @param budgets each byte counts in all of them
   * @param makeRoom is asked past a bound, with the bytes that are wanted and without a lock of this object; false if
   *     it could make none
   */
  public MessageMemory(List<ByteBudget> budgets, LongPredicate makeRoom) {
    this.budgets = budgets;
    this.makeRoom = makeRoom;
  }

  /** Memory without a bound, for peers that the operator runs. */
  public static MessageMemory unbounded() {
    return new MessageMemory(List.of(), bytes -> false);
  }

  /**
   * Takes bytes, before they are kept.
   *
   * @throws NoRoomException where there is no room for them and none could be made, or this has ended
   */
  public void take(long bytes) throws NoRoomException {
    while (!tryTake(bytes)) {
      if (!makeRoom.test(bytes)) {
        throw new NoRoomException("no room for " + bytes + " bytes more of a message");
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

  /** Gives back bytes that were taken and are kept no more. */
  public synchronized void giveBack(long bytes) {
    if (!ended) {
      taken -= bytes;
      budgets.forEach(budget -> budget.giveBack(bytes));
    }
  }

  /** Gives back all but so many bytes; nothing where fewer are taken. */
  public synchronized void shrinkTo(long bytes) {
    giveBack(Math.max(0, taken - bytes));
  }

  /** Names how what is kept at present is let go of. */
  public synchronized void onDiscard(Runnable lettingGo) {
    discard = lettingGo;
  }

  /** Throws where this has ended. */
  public synchronized void requireNotEnded() throws NoRoomException {
    if (ended) {
      throw new NoRoomException("a message had to make room for others");
    }
  }

  /** Bytes taken at present. */
  public synchronized long taken() {
    return taken;
  }

  /** Lets go of what is kept, gives back all that is left, and takes nothing more. */
  public synchronized void end() {
    if (!ended) {
      discard.run();
      discard = NOTHING;
      giveBack(taken);
      ended = true;
    }
  }
}
