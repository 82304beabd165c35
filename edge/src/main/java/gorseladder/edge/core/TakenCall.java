package gorseladder.edge.core;

import gorseladder.answers.Reason;
import gorseladder.core.Call;
import gorseladder.core.FinalAnswer;
import gorseladder.permits.ClientView;
import gorseladder.runtime.Clock;
import gorseladder.runtime.MessageMemory;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerEntry;
import gorseladder.store.LedgerEntry.Stage;
import gorseladder.store.LedgerException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * An accepted call that is recorded in the ledger. Records are put under the call's lock, so that their order is the
 * order in which its bytes were sent and it ended.
 */
public final class TakenCall extends Call {
  private final Ledger ledger;
  private final int maxStoredAnswerBytes;
  private final AdmissionCheck.Pass pass;
  private final Consumer<TakenCall> onEnd;
  private final boolean mayHaveRunBefore;
  private LedgerEntry entry;
  /** What is recorded of the signed request with the end. */
  private final RequestKeys requestAtEnd;

  private long sendTicket;
  private long endTicket;
  /** The ledger's id of the end record; -1 if it could not be put. */
  private long endRecordId = -1;

  private final List<BooleanSupplier> clientsHaveLeft = new ArrayList<>(1);
  private int waiters = 1;
  /** Clients that wait for the answer or to which it is being written. */
  private int readers = 1;

  private final List<MessageMemory> answerMemory = new ArrayList<>(1);

  /**
   * Creates an accepted call.
   *
   * @param entry its record in the ledger; its {@code mayHaveRun} means that an earlier delivery of the message may
   *     have run
   * @param requestAtEnd the signed request if it is to be recorded with the end, no keys if it is already recorded
   * @param maxStoredAnswerBytes the longest answer that is stored for repeats
   * @param pass is told when the call is first sent and when it has ended
   * @param onEnd runs once, when the call has its final answer
   */
  public TakenCall(
      long id,
      Facts facts,
      Ledger ledger,
      LedgerEntry entry,
      RequestKeys requestAtEnd,
      int maxStoredAnswerBytes,
      AdmissionCheck.Pass pass,
      Consumer<TakenCall> onEnd) {
    super(id, facts);
    this.requestAtEnd = requestAtEnd;
    this.ledger = ledger;
    this.entry = entry;
    this.mayHaveRunBefore = entry.mayHaveRun();
    this.maxStoredAnswerBytes = maxStoredAnswerBytes;
    this.pass = pass;
    this.onEnd = onEnd;
  }

  /** Returns the newest record of the message; the ledger may not hold it yet while the call is in progress. */
  synchronized LedgerEntry entry() {
    return entry;
  }

  /**
   * Records that bytes of this call are about to be sent to a runner. Every attempt waits for the same record, since it
   * may not be written yet when a later attempt starts.
   *
   * @param now the time by the ledger's clock
   * @return the ticket of the record to wait for, 0 if the call has ended
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

  /** Holds the memory of an attempt's answer until the call has ended and no client reads the answer any more. */
  public void holdAnswerMemory(MessageMemory answer) {
    synchronized (this) {
      answerMemory.add(answer);
    }
    releaseAnswerMemory();
  }

  /** One client has its answer or has left; called once for each client that waited. */
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

  /** Stores a served answer that came after the call had ended in another way, for the next delivery of the message. */
  @Override
  protected synchronized void onServedResult(byte[] body) {
    FinalAnswer end = answer();
    // This runs on the core's thread, so it reads only the ledger's tables, not its files.
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
      endTicket =
          ledger.put(facts().message(), entry, requestAtEnd.keys(), requestAtEnd.keepUntil());
      endRecordId = ledger.newestRecordId(facts().message());
    } catch (LedgerException e) {
      // The record of the send remains, so a repeat finds that the call may have run, which is the
      // safe side.
      endTicket = 0;
      endRecordId = -1;
    }
  }

  /** Waits for the final answer; returns null if there is none at the deadline. */
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

  /** Adds a client that waits for the same answer. */
  synchronized void join() {
    waiters++;
    readers++;
  }

  /** Adds the look whether a client that waits for the answer has left. */
  synchronized void addClient(BooleanSupplier hasLeft) {
    clientsHaveLeft.add(hasLeft);
  }

  /** What is known of the clients that wait for the answer: gone if all have left. Must not block. */
  public ClientView clientView() {
    List<BooleanSupplier> clients;
    synchronized (this) {
      clients = List.copyOf(clientsHaveLeft);
    }
    boolean allLeft =
        !clients.isEmpty() && clients.stream().allMatch(BooleanSupplier::getAsBoolean);
    return allLeft ? ClientView.GONE : ClientView.PRESENT;
  }

  /**
   * A waiting client left.
   *
   * @return true if it was the last one
   */
  public synchronized boolean waiterLeft() {
    return --waiters == 0;
  }

  /** Returns the ledger ticket of the end record. */
  public synchronized long endTicket() {
    return endTicket;
  }
}
