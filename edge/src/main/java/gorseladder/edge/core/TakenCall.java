package gorseladder.edge.core;

import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.RequestClass;
import gorseladder.answers.Reason;
import gorseladder.runtime.Clock;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerEntry;
import gorseladder.store.LedgerEntry.Stage;
import gorseladder.store.LedgerException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A call that was taken, from then to its one final answer. The core, the attempts and the front meet here and nowhere
 * else, under this object's lock, so that the end of a call and the leaving of its bytes cannot cross: once it has its
 * answer no further attempt may leave, and what had left by then counts as may have run. The ledger is written under the
 * same lock, so that its records stand in that order too.
 *
 * <p>Times are {@link Clock#micros()}. Any thread.
 */
public final class TakenCall {
  /** What a call is, told by the front. */
  public record Facts(String message, RequestClass requestClass, String tenant, String function, byte[] body,
      double memoryMb, int lanes, long loadTime, boolean repeat, long takenAt, long deadlineAt) {}

  private final long id;
  private final Facts facts;
  private final Ledger ledger;
  private final int maxKept;
  private final Door.Pass pass;
  private final Consumer<TakenCall> onEnd;
  private final List<Attempt> attempts = new ArrayList<>(2);
  private final boolean ranBefore;
  private LedgerEntry entry;
  /** The signed request, where it is recorded with the end. */
  private final String request;
  private final long requestKeepUntil;
  private FinalAnswer answer;
  private long endedAt;
  private long endTicket;
  private int waiters = 1;

  /**
   * A call just taken.
   *
   * @param entry its record in the ledger; one that may have run says that an earlier delivery of the message did
   * @param request the signed request where it is recorded with the end, null where it is on record already
   * @param maxKept the longest answer kept for repeats, in bytes
   * @param pass told when the call is first sent, and when it has ended
   * @param onEnd told once, when the call has its final answer
   */
  public TakenCall(long id, Facts facts, Ledger ledger, LedgerEntry entry, String request, long requestKeepUntil, int maxKept,
      Door.Pass pass, Consumer<TakenCall> onEnd) {
    this.id = id;
    this.request = request;
    this.requestKeepUntil = requestKeepUntil;
    this.facts = facts;
    this.ledger = ledger;
    this.entry = entry;
    this.ranBefore = entry.mayHaveRun();
    this.maxKept = maxKept;
    this.pass = pass;
    this.onEnd = onEnd;
  }

  /** The number the router knows it by. */
  public long id() {
    return id;
  }

  /** What the front told. */
  public Facts facts() {
    return facts;
  }

  /** One attempt and how far it got. */
  public static final class Attempt {
    private final String worker;
    private final long decidedAt;
    private boolean left;
    private Outcome outcome;

    private Attempt(String worker, long decidedAt) {
      this.worker = worker;
      this.decidedAt = decidedAt;
    }

    /** The worker it goes to. */
    public String worker() {
      return worker;
    }

    /** When the router decided it. */
    public long decidedAt() {
      return decidedAt;
    }
  }

  /** What is remembered of the message now; while the call is out the ledger may not have it yet. */
  synchronized LedgerEntry entry() {
    return entry;
  }

  /** Adds an attempt; returns its number from 0. */
  synchronized int begin(String worker, long now) {
    attempts.add(new Attempt(worker, now));
    return attempts.size() - 1;
  }

  /** The attempt of that number. */
  public synchronized Attempt attempt(int number) {
    return attempts.get(number);
  }

  /** True once the call has its final answer. */
  public synchronized boolean over() {
    return answer != null;
  }

  /**
   * Records that bytes of this call are about to leave for a runner; returns the ticket to wait for, 0 where the record
   * stands already.
   */
  public synchronized long recordLeaving(long wallNow) throws LedgerException {
    if (answer != null || entry.stage() == Stage.LEAVING) {
      return 0;
    }
    entry = entry.at(Stage.LEAVING, true, entry.mayHaveRun() ? entry.leftAt() : wallNow);
    return ledger.put(facts.message(), entry);
  }

  /** The last step before the write: true where the attempt may leave, and from then on counts as may have run. */
  public synchronized boolean leave(int number) {
    if (answer == null) {
      attempts.get(number).left = true;
      pass.sent();
    }
    return answer == null;
  }

  /** Notes how an attempt ended. */
  synchronized void ended(int number, Outcome outcome) {
    attempts.get(number).outcome = outcome;
  }

  /** Outcomes so far, null for an attempt that is out and has left. */
  synchronized List<Outcome> outcomes() {
    List<Outcome> all = new ArrayList<>();
    for (Attempt a : attempts) {
      all.add(a.outcome == null && !a.left ? Outcome.MOOT : a.outcome);
    }
    return all;
  }

  private boolean someMayHaveRun() {
    return attempts.stream().anyMatch(a -> a.left && (a.outcome == null || !a.outcome.neverRan));
  }

  /** Gives the call its final answer and records it; false where it has one. The first wins, whoever calls. */
  public boolean finish(FinalAnswer end, long now) {
    synchronized (this) {
      if (answer != null) {
        return false;
      }
      answer = end;
      endedAt = now;
      boolean served = end.reason().kind == Reason.Kind.SERVED;
      record(served, served ? end.body() : null, ranBefore || someMayHaveRun());
      notifyAll();
    }
    pass.gone();
    onEnd.accept(this);
    return true;
  }

  /** A served answer that came after the call had ended otherwise: kept for the sender's next try. */
  synchronized void servedLate(byte[] body) {
    LedgerEntry present;
    try {
      present = ledger.get(facts.message());
    } catch (LedgerException e) {
      // The record of its end stands: the sender's next try runs it again or hears that it may have run.
      return;
    }
    if (answer != null && answer.reason().kind != Reason.Kind.SERVED && present != null
        && present.takenAt() == entry.takenAt() && present.stage() == Stage.CLOSED) {
      record(true, body, true);
      ledger.soon();
    }
  }

  private void record(boolean served, byte[] body, boolean mayHaveRun) {
    byte[] kept = body != null && body.length <= maxKept ? body : null;
    boolean keeps = served && (kept != null || body == null);
    entry = entry.ended(keeps ? Stage.SERVED : Stage.CLOSED, served || mayHaveRun, answer.reason().word(),
        answer.reason().status, kept);
    try {
      endTicket = ledger.put(facts.message(), entry, request, requestKeepUntil);
    } catch (LedgerException e) {
      // The record of its leaving stands: a repeat finds that it may have run, which is the safe side.
      endTicket = 0;
    }
  }

  /** Waits for the final answer; null where there is none by then. */
  public synchronized FinalAnswer await(long until) throws InterruptedException {
    while (answer == null) {
      long left = until - Clock.micros();
      if (left <= 0) {
        return null;
      }
      wait(left / 1000, (int) (left % 1000) * 1000);
    }
    return answer;
  }

  /** A further delivery of the message waits for the same answer. */
  synchronized void join() {
    waiters++;
  }

  /** A client that waited left; true where it was the last. */
  public synchronized boolean waiterLeft() {
    return --waiters == 0;
  }

  /** The final answer, or null. */
  public synchronized FinalAnswer answer() {
    return answer;
  }

  /** When it ended; 0 before. */
  public synchronized long endedAt() {
    return endedAt;
  }

  /** The ledger's ticket of the record of the end. */
  public synchronized long endTicket() {
    return endTicket;
  }

  /** Workers tried and how each attempt ended, for the log. */
  public synchronized List<String> story() {
    List<String> story = new ArrayList<>();
    for (Attempt a : attempts) {
      story.add(a.worker + "=" + (a.outcome != null ? a.outcome : a.left ? "OUT" : "UNSENT"));
    }
    return story;
  }
}
