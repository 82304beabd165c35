package gorseladder.edge.core;

import gorseladder.runtime.Clock;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerException;

/**
 * Waits for a record of a call no longer than the call has time.
 *
 * <p>Guards against a disk that takes seconds for a write and then succeeds: whatever waited for it was answered when
 * the disk was done, after its client had left. It could harm where the wait ends just before the record is written:
 * what was taken is then refused though it could have been sent, and a served answer may not be given again after a
 * kill.
 *
 * <p>Any thread.
 */
public final class RecordWait {
  private RecordWait() {}

  /**
   * True once the ticket's record is written; false where it was not by that time.
   *
   * @param until on {@link Clock#micros()}
   * @throws LedgerException where records cannot be written at present
   */
  public static boolean awaitUntil(Ledger ledger, long ticket, long deadline)
      throws LedgerException {
    return ledger.await(ticket, Math.max(0, deadline - Clock.micros()) * 1_000);
  }
}
