package gorseladder.edge.core;

import gorseladder.runtime.Clock;
import gorseladder.runtime.ThreadCache;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerEntry;
import gorseladder.store.LedgerException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Reads the records of a message and of a signed request from the ledger, within the client's timeout.
 *
 * <p>A disk may take seconds for a read, so the read happens before the delivery is judged, without a lock, and on
 * another thread if it may need the disk. A reader that waited longer would answer after its client had left, and one
 * that held a lock would block others. The caller then checks that the record read is still the newest. If records of a
 * message are put faster than they can be read, each of them is read again.
 *
 * <p>Thread safe.
 */
final class RecordLookup {
  /** How often a waiting thread checks whether the process exits. */
  private static final long STEP_MICROS = 50_000;

  /**
   * The result of a lookup.
   *
   * @param recordId the ledger's id of the newest record of the message, -1 for none
   * @param entry the record; null if there is none or it has expired
   * @param requestIndexed the ledger's tables held the signed request at the lookup
   * @param requestSeen the signed request was accepted before and must not be accepted again
   */
  record StoredRecord(
      long recordId, LedgerEntry entry, boolean requestIndexed, boolean requestSeen) {}

  private final Ledger ledger;
  private final ThreadCache threads;
  private final StopLimits stopLimits;

  /**
   * Creates a lookup.
   *
   * @param threads run the reads that may need the disk
   * @param stopLimits end a lookup if the process exits
   */
  RecordLookup(Ledger ledger, ThreadCache threads, StopLimits stopLimits) {
    this.ledger = ledger;
    this.threads = threads;
    this.stopLimits = stopLimits;
  }

  /**
   * Looks up a message and a signed request.
   *
   * @param deadline the latest time at which the result is of use, on {@link Clock#micros()}
   * @throws LedgerException if the record cannot be read, or not before the deadline
   */
  StoredRecord find(String message, String request, long deadline) throws LedgerException {
    long recordId = ledger.newestRecordId(message);
    boolean requestIndexed = ledger.isRequestIndexed(request);
    if (recordId < 0 && !requestIndexed) {
      return new StoredRecord(recordId, null, false, false);
    }
    FutureTask<StoredRecord> task = new FutureTask<>(() -> new StoredRecord(
        recordId, ledger.get(message), requestIndexed, ledger.containsRequest(request)));
    if (!threads.execute(task)) {
      task.run();
    }
    return awaitTask(task, deadline);
  }

  /** Returns true if no newer record of the message was put since the lookup; never waits for the disk. */
  boolean isNewest(String message, StoredRecord stored) {
    return ledger.newestRecordId(message) == stored.recordId();
  }

  /** Returns true if the signed request was accepted before, according to the lookup or to the tables now. */
  boolean requestSeen(String request, StoredRecord stored) {
    return stored.requestSeen() || !stored.requestIndexed() && ledger.isRequestIndexed(request);
  }

  private StoredRecord awaitTask(FutureTask<StoredRecord> task, long deadline)
      throws LedgerException {
    try {
      while (true) {
        long now = Clock.micros();
        long until = Math.min(deadline, stopLimits.acceptBy());
        try {
          return task.get(Math.max(0, Math.min(until - now, STEP_MICROS)), TimeUnit.MICROSECONDS);
        } catch (TimeoutException e) {
          if (until <= now + STEP_MICROS) {
            throw new LedgerException("a record was not read before its client's timeout", e);
          }
        }
      }
    } catch (ExecutionException e) {
      throw e.getCause() instanceof LedgerException failed
          ? failed
          : new LedgerException("a record cannot be read: " + e.getCause(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new LedgerException("interrupted while a record was read", e);
    }
  }
}
