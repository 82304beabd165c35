package gorseladder.edge.core;

import gorseladder.runtime.Clock;
import gorseladder.runtime.ThreadCache;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerEntry;
import gorseladder.store.LedgerException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Reads the record of a message from the ledger, within the client's timeout.
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
   * @param recordIds the ledger's ids of the newest record under each identity looked up, -1 for none
   * @param message the identity under which the message is known; the first one looked up if it is unknown
   * @param entry the record; null if there is none or it has expired
   */
  record StoredRecord(List<Long> recordIds, MessageId message, LedgerEntry entry) {}

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
   * Looks up a message under each identity that it may have.
   *
   * @param messages not empty
   * @param deadline the latest time at which the result is of use, on {@link Clock#micros()}
   * @throws LedgerException if a record cannot be read, or not before the deadline
   */
  StoredRecord find(List<MessageId> messages, long deadline) throws LedgerException {
    List<Long> recordIds = newestRecordIds(messages);
    if (recordIds.stream().allMatch(id -> id < 0)) {
      return new StoredRecord(recordIds, messages.get(0), null);
    }
    FutureTask<StoredRecord> task = new FutureTask<>(() -> read(messages, recordIds));
    if (!threads.execute(task)) {
      task.run();
    }
    return awaitTask(task, deadline);
  }

  private List<Long> newestRecordIds(List<MessageId> messages) {
    List<Long> recordIds = new ArrayList<>(messages.size());
    for (MessageId message : messages) {
      recordIds.add(ledger.newestRecordId(message.name()));
    }
    return recordIds;
  }

  private StoredRecord read(List<MessageId> messages, List<Long> recordIds) throws LedgerException {
    for (int i = 0; i < messages.size(); i++) {
      LedgerEntry entry =
          recordIds.get(i) < 0 ? null : ledger.get(messages.get(i).name());
      if (entry != null) {
        return new StoredRecord(recordIds, messages.get(i), entry);
      }
    }
    return new StoredRecord(recordIds, messages.get(0), null);
  }

  /** Returns true if no newer record of the message was put since the lookup; never waits for the disk. */
  boolean isNewest(List<MessageId> messages, StoredRecord stored) {
    return newestRecordIds(messages).equals(stored.recordIds());
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
