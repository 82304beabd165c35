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
 * Reads what the ledger remembers of a delivery, within the time of its client.
 *
 * <p>Guards against a disk that takes seconds for a read: a repeat would be answered after its client had left, and
 * whoever reads with a lock held stops others. So the reading is done before the delivery is judged, on a thread of its
 * own where the disk may be needed; the judgement then asks whether what was read is still the newest. It could harm
 * where records of one message follow each other faster than one is read; each of them is read once more then.
 *
 * <p>Any thread.
 */
final class RecordLookup {
  /**
   * What was remembered.
   *
   * @param record the ledger's name of the newest record of the message, -1 for none
   * @param entry what that record says; null for none, or one that has expired
   * @param requestKnown the signed request stood in the ledger's tables
   * @param requestSeen it was taken before, and may not be taken again
   */
  record StoredRecord(
      long recordId, LedgerEntry entry, boolean requestIndexed, boolean requestSeen) {}

  private final Ledger ledger;
  private final ThreadCache threads;

  /** Reads from a ledger; each read that may need the disk has one of the threads meanwhile. */
  RecordLookup(Ledger ledger, ThreadCache threads) {
    this.ledger = ledger;
    this.threads = threads;
  }

  /**
   * What is remembered of a message and a signed request.
   *
   * @param until when it is of no more use ({@link Clock#micros()})
   * @throws LedgerException where it cannot be read, or not by then
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

  /** True where nothing newer was put since; never waits for the disk. */
  boolean isNewest(String message, StoredRecord stored) {
    return ledger.newestRecordId(message) == stored.recordId();
  }

  /** True where the signed request was taken before, as far as was read or has come to be known since. */
  boolean requestSeen(String request, StoredRecord stored) {
    return stored.requestSeen() || !stored.requestIndexed() && ledger.isRequestIndexed(request);
  }

  private static StoredRecord awaitTask(FutureTask<StoredRecord> task, long deadline)
      throws LedgerException {
    try {
      return task.get(Math.max(0, deadline - Clock.micros()), TimeUnit.MICROSECONDS);
    } catch (TimeoutException e) {
      throw new LedgerException("a record was not read in its client's time", e);
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
