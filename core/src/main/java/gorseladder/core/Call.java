package gorseladder.core;

import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.RequestClass;
import gorseladder.permits.ClientView;
import gorseladder.permits.Permits;
import gorseladder.permits.Verdict;
import gorseladder.rules.RuleWatch.Other;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An accepted call, up to its single final answer. The core, the attempts and the front share state only here, under
 * this object's lock, so that finishing a call and sending its bytes are mutually exclusive: once the call has its
 * answer no further attempt is sent, and an attempt that was sent before counts as one that may have run.
 *
 * <p>Subclasses hold what a front needs beside that (ledger records, the connection to answer on). Times are
 * {@link gorseladder.runtime.Clock#micros()}. Thread safe.
 */
public abstract class Call {
  /**
   * Properties of a call, set by the front.
   *
   * @param message the ID of the request
   * @param memoryMb expected memory of a copy of the function
   * @param lanes calls that one copy executes concurrently
   * @param loadTime expected load time in microseconds, 0 if unknown
   * @param repeat true if the client sent the request before
   * @param takenAt when the request arrived
   */
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
      long deadlineAt) {
    /** The same call with a deadline that is not later than this. */
    public Facts until(long latest) {
      return new Facts(
          message,
          requestClass,
          tenant,
          function,
          body,
          memoryMb,
          lanes,
          loadTime,
          repeat,
          takenAt,
          Math.min(deadlineAt, latest));
    }
  }

  /** An attempt to execute the call on a worker, and its progress. */
  public static final class Attempt {
    private final String worker;
    private final long decidedAt;
    private final long listUpdatesAtDecision;
    /** When the write of its bytes began; 0 before. */
    private long sentAt;

    private long endedAt;
    private Outcome outcome;
    /** Was in progress when another attempt was sent: the outcome of one then proves nothing about the other. */
    private boolean overlapped;

    private Attempt(String worker, long decidedAt, long listUpdatesAtDecision) {
      this.worker = worker;
      this.decidedAt = decidedAt;
      this.listUpdatesAtDecision = listUpdatesAtDecision;
    }

    public String worker() {
      return worker;
    }

    /** When the router decided to make the attempt. */
    public long decidedAt() {
      return decidedAt;
    }

    /** Number of worker list updates that the router had received when it decided to make the attempt. */
    public long listUpdatesAtDecision() {
      return listUpdatesAtDecision;
    }

    private boolean isInProgress() {
      return sentAt > 0 && outcome == null;
    }

    private boolean mayHaveRun() {
      return sentAt > 0 && (outcome == null || !outcome.neverRan || overlapped);
    }
  }

  /**
   * Conditions for sending an attempt that are not part of the call itself.
   *
   * @param expiresAt when the attempt times out
   * @param draining true if the worker is draining or gone
   * @param restartedSince true if the worker started after the attempt was decided
   * @param clientSeenFrom from when on the process knows whether the client left during a stall; 0 for always
   * @param mayDuplicate true if two attempts may be in progress at a time
   * @param client what is known of the client
   */
  public record SendConditions(
      long expiresAt,
      boolean draining,
      boolean restartedSince,
      long clientSeenFrom,
      boolean mayDuplicate,
      ClientView client) {
    /** The conditions of an attempt whose client is present. */
    public SendConditions(
        long expiresAt,
        boolean draining,
        boolean restartedSince,
        long clientSeenFrom,
        boolean mayDuplicate) {
      this(expiresAt, draining, restartedSince, clientSeenFrom, mayDuplicate, ClientView.PRESENT);
    }
  }

  private final long id;
  private final Facts facts;
  private final List<Attempt> attempts = new ArrayList<>(2);
  private FinalAnswer answer;
  private long endedAt;
  private volatile long consideredAt;

  /** Creates a call that was just accepted; the router knows it by this ID. */
  protected Call(long id, Facts facts) {
    this.id = id;
    this.facts = facts;
  }

  /** The ID by which the router knows the call. */
  public final long id() {
    return id;
  }

  public final Facts facts() {
    return facts;
  }

  /**
   * Adds an attempt.
   *
   * @param listUpdates number of worker list updates received so far
   * @return the number of the attempt, from 0
   */
  public final synchronized int addAttempt(String worker, long now, long listUpdates) {
    attempts.add(new Attempt(worker, now, listUpdates));
    return attempts.size() - 1;
  }

  public final synchronized Attempt attempt(int number) {
    return attempts.get(number);
  }

  /** Whether the call has its final answer. */
  public final synchronized boolean isFinished() {
    return answer != null;
  }

  /**
   * Decides, just before the write, whether an attempt may be sent. If allowed, the attempt counts from now on as one
   * that may have run, and its bytes must be written at once.
   */
  public final synchronized Verdict trySend(int number, SendConditions conditions, long now) {
    Verdict verdict = Permits.maySend(
        new Permits.Sending(
            answer != null,
            conditions.expiresAt(),
            conditions.draining(),
            conditions.restartedSince(),
            conditions.clientSeenFrom(),
            mayFollowEarlierAttempts(number, conditions.mayDuplicate(), now),
            conditions.client()),
        now);
    if (verdict.allowed()) {
      attempts.forEach(earlier -> earlier.overlapped |= earlier.isInProgress());
      attempts.get(number).sentAt = now;
      beforeSend();
    }
    return verdict;
  }

  /** The final check of an attempt together with the write of its first bytes; must not block. */
  public interface CheckedWrite {
    /** Writes if {@link #trySend} allows it; returns true if bytes were written. */
    boolean writeIfAllowed() throws IOException;
  }

  /**
   * Checks and writes under the call's lock: the call ends either before both steps or after both.
   *
   * <p>Without the lock the writing thread could lose the processor between the check and the write, and bytes would
   * reach a worker after the final answer. The cost is that the end of the call waits for the write.
   */
  public final synchronized boolean sendAtomically(CheckedWrite write) throws IOException {
    return write.writeIfAllowed();
  }

  private Verdict mayFollowEarlierAttempts(int number, boolean mayDuplicate, long now) {
    for (Attempt earlier : attempts) {
      if (earlier == attempts.get(number)) {
        continue;
      }
      if (earlier.isInProgress() && !mayDuplicate) {
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

  /** The other attempts that were sent no later than this one, for the rule check after the write. */
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

  /** Records how an attempt ended; it was answered, or abandoned on the wire, before. */
  public final synchronized void ended(int number, Outcome outcome, long now) {
    attempts.get(number).outcome = outcome;
    attempts.get(number).endedAt = now;
  }

  /** Outcomes of all attempts; null for one that was sent and is in progress, {@code MOOT} for one not sent yet. */
  public final synchronized List<Outcome> outcomes() {
    List<Outcome> all = new ArrayList<>();
    for (Attempt a : attempts) {
      all.add(a.outcome == null && a.sentAt == 0 ? Outcome.MOOT : a.outcome);
    }
    return all;
  }

  /** When the first attempt that may have run was sent; 0 if there is none. */
  public final synchronized long mayHaveRunSince() {
    return attempts.stream()
        .filter(Attempt::mayHaveRun)
        .mapToLong(attempt -> attempt.sentAt)
        .min()
        .orElse(0);
  }

  /** Whether some attempt was sent and is not known not to have run; the caller holds the lock. */
  protected final boolean anyMayHaveRun() {
    return attempts.stream().anyMatch(Attempt::mayHaveRun);
  }

  /** Sets the final answer; the first one wins. Returns false if the call already has one. Thread safe. */
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

  /** Called just before an attempt is sent, with the lock held. */
  protected void beforeSend() {}

  /**
   * Called when the final answer is set, with the lock held, so that what is recorded here precedes everything that
   * follows the end of the call.
   */
  protected void recordFinalAnswer(FinalAnswer end) {}

  /** Called once the final answer is set, without the lock, on the thread that set it. Must not block. */
  protected abstract void onFinalAnswer(FinalAnswer end);

  /**
   * Called by the core when it keeps nothing of the call any more: the call has its final answer, and no attempt is in
   * progress.
   */
  protected void onReleased() {}

  /** Called for the result of each attempt that succeeded, also after the call ended in another way. */
  protected void onServedResult(byte[] body) {}

  /** The final answer; null while there is none. */
  public final synchronized FinalAnswer answer() {
    return answer;
  }

  /** Records when the core first processed the call. */
  final void considered(long now) {
    consideredAt = now;
  }

  /** When the core first processed the call; 0 before. */
  public final long consideredAt() {
    return consideredAt;
  }

  /** When the call got its final answer; 0 before. */
  public final synchronized long endedAt() {
    return endedAt;
  }

  /** The worker and the outcome of each attempt, for the log. */
  public final synchronized List<String> describeAttempts() {
    List<String> described = new ArrayList<>();
    for (Attempt a : attempts) {
      described.add(
          a.worker + "=" + (a.outcome != null ? a.outcome : a.sentAt > 0 ? "OUT" : "UNSENT"));
    }
    return described;
  }
}
