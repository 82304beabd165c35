package gorseladder.core;

import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.RequestClass;
import java.util.ArrayList;
import java.util.List;

/**
 * A call that was taken, from then to its one final answer. The core, the attempts and the front meet here and nowhere
 * else, under this object's lock, so that the end of a call and the leaving of its bytes cannot cross: once it has its
 * answer no further attempt may leave, and what had left by then counts as may have run.
 *
 * <p>What else a front keeps of its calls (a ledger's records, a connection to answer on) is a kind of its own. Times are
 * {@link gorseladder.runtime.Clock#micros()}. Any thread.
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

  private final long id;
  private final Facts facts;
  private final List<Attempt> attempts = new ArrayList<>(2);
  private FinalAnswer answer;
  private long endedAt;

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

  /** Adds an attempt; returns its number from 0. */
  public final synchronized int begin(String worker, long now) {
    attempts.add(new Attempt(worker, now));
    return attempts.size() - 1;
  }

  /** The attempt of that number. */
  public final synchronized Attempt attempt(int number) {
    return attempts.get(number);
  }

  /** True once the call has its final answer. */
  public final synchronized boolean over() {
    return answer != null;
  }

  /** The last step before the write: true where the attempt may leave, and from then on counts as may have run. */
  public final synchronized boolean leave(int number) {
    if (answer == null) {
      attempts.get(number).left = true;
      leaving();
    }
    return answer == null;
  }

  /** Notes how an attempt ended. */
  public final synchronized void ended(int number, Outcome outcome) {
    attempts.get(number).outcome = outcome;
  }

  /** Outcomes so far, null for an attempt that is out and has left. */
  public final synchronized List<Outcome> outcomes() {
    List<Outcome> all = new ArrayList<>();
    for (Attempt a : attempts) {
      all.add(a.outcome == null && !a.left ? Outcome.MOOT : a.outcome);
    }
    return all;
  }

  /** True where some attempt left and nothing says that it did not run; the caller holds the lock. */
  protected final boolean someMayHaveRun() {
    return attempts.stream().anyMatch(a -> a.left && (a.outcome == null || !a.outcome.neverRan));
  }

  /** Gives the call its final answer; false where it has one. The first wins, whoever calls. */
  public final boolean finish(FinalAnswer end, long now) {
    synchronized (this) {
      if (answer != null) {
        return false;
      }
      answer = end;
      endedAt = now;
      record(end);
      notifyAll();
    }
    answered(end);
    return true;
  }

  /** An attempt is about to leave; the lock is held. */
  protected void leaving() {}

  /** The call has its final answer; the lock is held, so that what is written here stands before anything that follows. */
  protected void record(FinalAnswer end) {}

  /** The call has its final answer; once, without the lock, on the thread that gave it. Must not block. */
  protected abstract void answered(FinalAnswer end);

  /** A served answer came after the call had ended otherwise. */
  protected void servedLate(byte[] body) {}

  /** The final answer, or null. */
  public final synchronized FinalAnswer answer() {
    return answer;
  }

  /** When it ended; 0 before. */
  public final synchronized long endedAt() {
    return endedAt;
  }

  /** Workers tried and how each attempt ended, for the log. */
  public final synchronized List<String> story() {
    List<String> story = new ArrayList<>();
    for (Attempt a : attempts) {
      story.add(a.worker + "=" + (a.outcome != null ? a.outcome : a.left ? "OUT" : "UNSENT"));
    }
    return story;
  }
}
