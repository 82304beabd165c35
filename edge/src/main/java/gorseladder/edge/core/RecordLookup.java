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
  record Remembered(long record, LedgerEntry entry, boolean requestKnown, boolean requestSeen) {}

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
  Remembered of(String message, String request, long until) throws LedgerException {
    long record = ledger.newestRecordId(message);
    boolean requestKnown = ledger.isRequestIndexed(request);
    if (record < 0 && !requestKnown) {
      return new Remembered(record, null, false, false);
    }
    FutureTask<Remembered> reading = new FutureTask<>(() ->
        new Remembered(record, ledger.get(message), requestKnown, ledger.containsRequest(request)));
    if (!threads.execute(reading)) {
      reading.run();
    }
    return await(reading, until);
  }

  /** True where nothing newer was put since; never waits for the disk. */
  boolean isNewest(String message, Remembered remembered) {
    return ledger.newestRecordId(message) == remembered.record();
  }

  /** True where the signed request was taken before, as far as was read or has come to be known since. */
  boolean requestSeen(String request, Remembered remembered) {
    return remembered.requestSeen()
        || !remembered.requestKnown() && ledger.isRequestIndexed(request);
  }

  private static Remembered await(FutureTask<Remembered> reading, long until)
      throws LedgerException {
    try {
      return reading.get(Math.max(0, until - Clock.micros()), TimeUnit.MICROSECONDS);
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
