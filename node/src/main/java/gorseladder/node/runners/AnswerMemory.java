package gorseladder.node.runners;

import gorseladder.runtime.ByteBudget;
import gorseladder.wire.runner.AnswerParser;
import java.util.function.BooleanSupplier;

/**
 * Counts the memory for unfinished answers on one connection to a runner, within a budget that all connections of
 * clients and runners share.
 *
 * <p>Without a shared budget, answers that never end are limited for each connection but not in total. Thread safe.
 */
final class AnswerMemory implements AnswerParser.MemoryBudget {
  private final ByteBudget budget;
  private final BooleanSupplier freeMemory;
  private int heldBytes;
  private boolean ended;

  /** {@code freeMemory} is called when the budget is exhausted; it returns false if nothing could be freed. */
  AnswerMemory(ByteBudget budget, BooleanSupplier freeMemory) {
    this.budget = budget;
    this.freeMemory = freeMemory;
  }

  @Override
  public boolean tryTake(int bytes) {
    do {
      synchronized (this) {
        if (ended) {
          return false;
        }
        if (budget.tryTake(bytes)) {
          heldBytes += bytes;
          return true;
        }
      }
    } while (freeMemory.getAsBoolean());
    return false;
  }

  @Override
  public synchronized void giveBack(int bytes) {
    if (!ended) {
      heldBytes -= bytes;
      budget.giveBack(bytes);
    }
  }

  synchronized int heldBytes() {
    return heldBytes;
  }

  /** Gives back everything and takes nothing more; called when the connection ends. */
  synchronized void end() {
    ended = true;
    budget.giveBack(heldBytes);
    heldBytes = 0;
  }
}
