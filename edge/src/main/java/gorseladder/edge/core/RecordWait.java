package gorseladder.edge.core;

import gorseladder.runtime.Clock;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerException;
import java.util.function.LongSupplier;

/**
 * Waits until a record of a call is written, at most until a deadline.
 *
 * <p>Without the deadline, a disk that takes seconds for a write and then succeeds would delay the answer until after
 * the client has left. The cost: if the record is written just after the deadline, a call is refused although it could
 * have been sent, or a served answer may not be available for a repeat after a kill.
 *
 * <p>Thread safe.
 */
public final class RecordWait {
  /** How often a deadline that may move is looked at. */
  private static final long STEP_MICROS = 50_000;

  private RecordWait() {}

  /**
   * Waits for the record of a ticket.
   *
   * @param deadline the latest time to wait for, on {@link Clock#micros()}
   * @return true if the record is written, false at the deadline
   * @throws LedgerException if records cannot be written at present
   */
  public static boolean awaitUntil(Ledger ledger, long ticket, long deadline)
      throws LedgerException {
    return ledger.await(ticket, Math.max(0, deadline - Clock.micros()) * 1_000);
  }

  /** Like {@link #awaitUntil(Ledger, long, long)}, with a deadline that may move to an earlier time during the wait. */
  static boolean awaitUntil(Ledger ledger, long ticket, LongSupplier deadline)
      throws LedgerException {
    while (true) {
      long now = Clock.micros();
      long until = deadline.getAsLong();
      if (awaitUntil(ledger, ticket, Math.min(until, now + STEP_MICROS))) {
        return true;
      }
      if (until <= now + STEP_MICROS) {
        return false;
      }
    }
  }
}
