package gorseladder.core;

import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.RequestClass;
import gorseladder.permits.Permits;
import gorseladder.permits.Verdict;
import gorseladder.rules.RuleWatch.Other;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A call that was taken, from then to its one final answer. The core, the attempts and the front meet here and nowhere
 * else, under this object's lock, so that the end of a call and the leaving of its bytes cannot cross: once it has its
 * answer no further attempt may leave, and what had left by then counts as may have run.
 *
 * <p>What else a front keeps of its calls (a ledger's records, a connection to answer on) is a kind of its own. Times
 * are {@link gorseladder.runtime.Clock#micros()}. Any thread.
 */
public abstract class Call {
  /** What a call is, told by the front. */
  public record Facts(
      String message,
      RequestClass requestClass,
      String tenant,
      String function,
      byte[] body,
      double memoryMb,
      int lanes,
      long loadTime,
      boolean repeat,
      long takenAt,
      long deadlineAt) {}

  /** One attempt and how far it got. */
  public static final class Attempt {
    private final String worker;
    private final long decidedAt;
    private final long listUpdatesAtDecision;
    /** When its bytes began to leave; 0 before. */
    private long sentAt;

    private long endedAt;
    private Outcome outcome;
    /** Was out when another attempt left: what one of them proves later says nothing of the other. */
    private boolean overlapped;

    private Attempt(String worker, long decidedAt, long listUpdatesAtDecision) {
      this.worker = worker;
      this.decidedAt = decidedAt;
      this.listUpdatesAtDecision = listUpdatesAtDecision;
    }

    /** The worker it goes to. */
    public String worker() {
      return worker;
    }

    /** When the router decided it. */
    public long decidedAt() {
      return decidedAt;
    }

    /** How many news of the worker list the router knew when it decided it. */
    public long listUpdatesAtDecision() {
      return listUpdatesAtDecision;
    }

    private boolean isOut() {
      return sentAt > 0 && outcome == null;
    }

    private boolean mayHaveRun() {
      return sentAt > 0 && (outcome == null || !outcome.neverRan || overlapped);
    }
  }

  /**
   * What the last look knows beside the call itself.
   *
   * @param until when the time of the attempt is over
   * @param draining the worker is draining or gone
   * @param restartedSince the worker started after the attempt was decided
   * @param clientSeen from when on what clients did before a pause of this process is known; 0 for always
   * @param mayDuplicate two attempts may be out at a time
   */
  public record SendConditions(
      long until,
      boolean draining,
      boolean restartedSince,
      long clientSeen,
      boolean mayDuplicate) {}

  private final long id;
  private final Facts facts;
  private final List<Attempt> attempts = new ArrayList<>(2);
  private FinalAnswer answer;
  private long endedAt;
  private volatile long consideredAt;

  /** A call just taken; the id is the number the router knows it by. */
  protected Call(long id, Facts facts) {
    this.id = id;
    this.facts = facts;
  }

  /** The number the router knows it by. */
  public final long id() {
    return id;
  }

  /** What the front told. */
  public final Facts facts() {
    return facts;
  }

  /**
   * Adds an attempt; returns its number from 0.
   *
   * @param news how many news of the worker list are known
   */
  public final synchronized int addAttempt(String worker, long now, long news) {
    attempts.add(new Attempt(worker, now, news));
    return attempts.size() - 1;
  }

  /** The attempt of that number. */
  public final synchronized Attempt attempt(int number) {
    return attempts.get(number);
  }

  /** True once the call has its final answer. */
  public final synchronized boolean isFinished() {
    return answer != null;
  }

  /**
   * The last step before the write: where it is allowed the attempt counts as may have run from then on, and its bytes
   * must follow at once.
   */
  public final synchronized Verdict trySend(int number, SendConditions look, long now) {
    Verdict verdict = Permits.maySend(
        new Permits.Sending(
            answer != null,
            look.until(),
            look.draining(),
            look.restartedSince(),
            look.clientSeen(),
            mayRepeatEarlier(number, look.mayDuplicate(), now)),
        now);
    if (verdict.allowed()) {
      attempts.forEach(earlier -> earlier.overlapped |= earlier.isOut());
      attempts.get(number).sentAt = now;
      beforeSend();
    }
    return verdict;
  }

  /** The last look at an attempt and the write of its first bytes, which must not block. */
  public interface CheckedWrite {
    /** Looks, and writes where the look allows it; true where it did. */
    boolean writeIfAllowed() throws IOException;
  }

  /**
   * Runs a departure as one step: the call ends before both the look and the write, or after both.
   *
   * <p>Guards against bytes that reach a worker after the final answer, where the thread that writes them loses the
   * processor between the two. It could harm by holding up the end of the call for as long.
   */
  public final synchronized boolean sendAtomically(CheckedWrite write) throws IOException {
    return write.writeIfAllowed();
  }

  private Verdict mayRepeatEarlier(int number, boolean mayDuplicate, long now) {
    for (Attempt earlier : attempts) {
      if (earlier == attempts.get(number)) {
        continue;
      }
      if (earlier.isOut() && !mayDuplicate) {
        return Verdict.ATTEMPT_OUT;
      }
      Verdict verdict = Permits.mayRepeatAfter(
          facts.requestClass().effect(),
          earlier.mayHaveRun(),
          now - earlier.sentAt,
          facts.requestClass().repeatWindow());
      if (!verdict.allowed()) {
        return verdict;
      }
    }
    return Verdict.ALLOWED;
  }

  /** The other attempts that left, for the second look at the rules. */
  public final synchronized List<Other> otherSentAttempts(int number) {
    List<Other> others = new ArrayList<>(1);
    for (Attempt other : attempts) {
      if (other != attempts.get(number)
          && other.sentAt > 0
          && other.sentAt <= attempts.get(number).sentAt) {
        others.add(new Other(other.sentAt, other.endedAt, !other.mayHaveRun()));
      }
    }
    return others;
  }

  /** Notes how an attempt ended; it is given up on the wire, or was answered, by now. */
  public final synchronized void ended(int number, Outcome outcome, long now) {
    attempts.get(number).outcome = outcome;
    attempts.get(number).endedAt = now;
  }

  /** Outcomes so far, null for an attempt that is out and has left. */
  public final synchronized List<Outcome> outcomes() {
    List<Outcome> all = new ArrayList<>();
    for (Attempt a : attempts) {
      all.add(a.outcome == null && a.sentAt == 0 ? Outcome.MOOT : a.outcome);
    }
    return all;
  }

  /** True where some attempt left and nothing says that it did not run; the caller holds the lock. */
  protected final boolean anyMayHaveRun() {
    return attempts.stream().anyMatch(Attempt::mayHaveRun);
  }

  /** Gives the call its final answer; false where it has one. The first wins, whoever calls. */
  public final boolean finish(FinalAnswer end, long now) {
    synchronized (this) {
      if (answer != null) {
        return false;
      }
      answer = end;
      endedAt = now;
      recordFinalAnswer(end);
      notifyAll();
    }
    onFinalAnswer(end);
    return true;
  }

  /** An attempt is about to leave; the lock is held. */
  protected void beforeSend() {}

  /**
   * The call has its final answer; the lock is held, so that what is written here stands before anything that follows.
   */
  protected void recordFinalAnswer(FinalAnswer end) {}

  /** The call has its final answer; once, without the lock, on the thread that gave it. Must not block. */
  protected abstract void onFinalAnswer(FinalAnswer end);

  /** A served answer came after the call had ended otherwise. */
  protected void onServedResult(byte[] body) {}

  /** The final answer, or null. */
  public final synchronized FinalAnswer answer() {
    return answer;
  }

  /** The core looks at it for the first time. */
  final void considered(long now) {
    consideredAt = now;
  }

  /** When the core first looked at it; 0 before. */
  public final long consideredAt() {
    return consideredAt;
  }

  /** When it ended; 0 before. */
  public final synchronized long endedAt() {
    return endedAt;
  }

  /** Workers tried and how each attempt ended, for the log. */
  public final synchronized List<String> describeAttempts() {
    List<String> described = new ArrayList<>();
    for (Attempt a : attempts) {
      described.add(
          a.worker + "=" + (a.outcome != null ? a.outcome : a.sentAt > 0 ? "OUT" : "UNSENT"));
    }
    return described;
  }
}
