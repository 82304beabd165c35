package gorseladder.edge.core;

import gorseladder.answers.Reason;
import gorseladder.core.Call;
import gorseladder.core.FinalAnswer;
import gorseladder.runtime.Clock;
import gorseladder.runtime.MessageMemory;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerEntry;
import gorseladder.store.LedgerEntry.Stage;
import gorseladder.store.LedgerException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A call of which the ledger keeps records: they are written under the call's lock, so that they stand in the order in
 * which its end and the leaving of its bytes came.
 */
public final class TakenCall extends Call {
  private final Ledger ledger;
  private final int maxStoredAnswerBytes;
  private final AdmissionCheck.Pass pass;
  private final Consumer<TakenCall> onEnd;
  private final boolean mayHaveRunBefore;
  private LedgerEntry entry;
  /** The signed request, where it is recorded with the end. */
  private final String request;

  private final long requestKeepUntil;
  private long sendTicket;
  private long endTicket;
  /** The ledger's name of the record of the end; -1 where it could not be put. */
  private long endRecordId = -1;

  private int waiters = 1;
  /** Clients that wait for the answer, or have it and are being written to. */
  private int readers = 1;

  private final List<MessageMemory> answerMemory = new ArrayList<>(1);

  /**
   * A call just taken.
   *
   * @param entry its record in the ledger; one that may have run says that an earlier delivery of the message did
   * @param request the signed request where it is recorded with the end, null where it is on record already
   * @param maxKept the longest answer kept for repeats, in bytes
   * @param pass told when the call is first sent, and when it has ended
   * @param onEnd told once, when the call has its final answer
   */
  public TakenCall(
      long id,
      Facts facts,
      Ledger ledger,
      LedgerEntry entry,
      String request,
      long requestKeepUntil,
      int maxStoredAnswerBytes,
      AdmissionCheck.Pass pass,
      Consumer<TakenCall> onEnd) {
    super(id, facts);
    this.request = request;
    this.requestKeepUntil = requestKeepUntil;
    this.ledger = ledger;
    this.entry = entry;
    this.mayHaveRunBefore = entry.mayHaveRun();
    this.maxStoredAnswerBytes = maxStoredAnswerBytes;
    this.pass = pass;
    this.onEnd = onEnd;
  }

  /** What is remembered of the message now; while the call is out the ledger may not have it yet. */
  synchronized LedgerEntry entry() {
    return entry;
  }

  /**
   * Records that bytes of this call are about to leave for a runner; returns the ticket to wait for, 0 where the call
   * has ended. Every attempt waits for the one record: that an earlier attempt put it does not say that it is written.
   *
   * @param now the ledger's time
   */
  public synchronized long recordSending(long now) throws LedgerException {
    if (isFinished()) {
      return 0;
    }
    if (sendTicket == 0) {
      LedgerEntry sending =
          entry.withStage(Stage.LEAVING, true, entry.mayHaveRun() ? entry.leftAt() : now);
      sendTicket = ledger.put(facts().message(), sending);
      entry = sending;
    }
    return sendTicket;
  }

  @Override
  protected void beforeSend() {
    pass.sent();
  }

  @Override
  protected void recordFinalAnswer(FinalAnswer end) {
    boolean served = end.reason().kind == Reason.Kind.SERVED;
    record(end, served, served ? end.body() : null, mayHaveRunBefore || anyMayHaveRun());
  }

  @Override
  protected void onFinalAnswer(FinalAnswer end) {
    pass.ended();
    onEnd.accept(this);
    releaseAnswerMemory();
  }

  /** Has the memory of an attempt's answer taken until the call has ended and no client reads its answer any more. */
  public void holdAnswerMemory(MessageMemory answer) {
    synchronized (this) {
      answerMemory.add(answer);
    }
    releaseAnswerMemory();
  }

  /** A client has its answer or has left; once for each that waited. */
  public void readerDone() {
    synchronized (this) {
      readers--;
    }
    releaseAnswerMemory();
  }

  private void releaseAnswerMemory() {
    synchronized (this) {
      if (isFinished() && readers == 0) {
        answerMemory.forEach(MessageMemory::end);
        answerMemory.clear();
      }
    }
  }

  /** A served answer that came after the call had ended otherwise: kept for the sender's next try. */
  @Override
  protected synchronized void onServedResult(byte[] body) {
    FinalAnswer end = answer();
    // On the core's thread: a look at the ledger's tables, not at its files.
    if (end != null
        && end.reason().kind != Reason.Kind.SERVED
        && entry.stage() == Stage.CLOSED
        && endRecordId == ledger.newestRecordId(facts().message())) {
      record(end, true, body, true);
      ledger.flushSoon();
    }
  }

  private void record(FinalAnswer end, boolean served, byte[] body, boolean mayHaveRun) {
    byte[] storedAnswer = body != null && body.length <= maxStoredAnswerBytes ? body : null;
    boolean storesAnswer = served && (storedAnswer != null || body == null);
    entry = entry.withOutcome(
        storesAnswer ? Stage.SERVED : Stage.CLOSED,
        served || mayHaveRun,
        end.reason().word(),
        end.reason().status,
        storedAnswer);
    try {
      endTicket = ledger.put(facts().message(), entry, request, requestKeepUntil);
      endRecordId = ledger.newestRecordId(facts().message());
    } catch (LedgerException e) {
      // The record of its leaving stands: a repeat finds that it may have run, which is the
      // safe side.
      endTicket = 0;
      endRecordId = -1;
    }
  }

  /** Waits for the final answer; null where there is none by then. */
  public synchronized FinalAnswer await(long deadline) throws InterruptedException {
    while (answer() == null) {
      long remaining = deadline - Clock.micros();
      if (remaining <= 0) {
        return null;
      }
      wait(remaining / 1000, (int) (remaining % 1000) * 1000);
    }
    return answer();
  }

  /** A further delivery of the message waits for the same answer. */
  synchronized void join() {
    waiters++;
    readers++;
  }

  /** A client that waited left; true where it was the last. */
  public synchronized boolean waiterLeft() {
    return --waiters == 0;
  }

  /** The ledger's ticket of the record of the end. */
  public synchronized long endTicket() {
    return endTicket;
  }
}
