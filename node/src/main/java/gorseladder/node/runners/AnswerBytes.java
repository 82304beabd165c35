package gorseladder.node.runners;

import gorseladder.runtime.ByteBudget;
import gorseladder.wire.runner.AnswerParser;
import java.util.function.BooleanSupplier;

/**
 * The bytes of unfinished answers that one connection to a runner has this process keep, against the bound for all that
 * clients and runners have it keep together.
 *
 * <p>Guards against answers that never end: each connection has a bound, and all of them together had none. Any thread.
 */
final class AnswerBytes implements AnswerParser.MemoryBudget {
  private final ByteBudget budget;
  private final BooleanSupplier makeRoom;
  private int kept;
  private boolean ended;

  /** Nothing is kept yet; {@code makeRoom} is asked past the bound, and is false where it could make none. */
  AnswerBytes(ByteBudget budget, BooleanSupplier makeRoom) {
    this.budget = budget;
    this.makeRoom = makeRoom;
  }

  @Override
  public boolean tryTake(int bytes) {
    do {
      synchronized (this) {
        if (ended) {
          return false;
        }
        if (budget.tryTake(bytes)) {
          kept += bytes;
          return true;
        }
      }
    } while (makeRoom.getAsBoolean());
    return false;
  }

  @Override
  public synchronized void giveBack(int bytes) {
    if (!ended) {
      kept -= bytes;
      budget.giveBack(bytes);
    }
  }

  /** Bytes kept at present. */
  synchronized int kept() {
    return kept;
  }

  /** The connection has ended: gives back what it holds and takes nothing more. */
  synchronized void end() {
    ended = true;
    budget.giveBack(kept);
    kept = 0;
  }
}
