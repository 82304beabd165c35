package gorseladder.edge.core;

import gorseladder.runtime.Clock;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerException;

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
}
