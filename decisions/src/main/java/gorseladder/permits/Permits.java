package gorseladder.permits;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;

/**
 * The one place that says whether something may be sent, repeated, closed or started now. Every path asks here at the
 * moment at which it acts: the router when it decides, the links and the edge's connections just before bytes leave,
 * fronts and links before they close a connection, fronts before they take a call.
 *
 * <p>Guards against rules that each path keeps in its own way, so that one of them forgets a condition that another
 * has: what was right when it was decided may be wrong when it is done, after a wait for a connection, a queue, a
 * thread or the ledger. It could harm only by holding back what was still right; each verdict is counted and logged by
 * its name.
 *
 * <p>Pure functions; any thread. Times are microseconds on one clock that only goes forward.
 */
public final class Permits {
  /** Part of a call's time that calls before it may have waited. */
  private static final long QUEUE_PART = 4;

  private Permits() {}

  /**
   * What is known at the last moment before an attempt leaves.
   *
   * @param callEnded the call has its final answer, or its client left
   * @param expiresAt when the time of the attempt is over
   * @param draining the worker is draining or gone
   * @param restartedSince the worker started after the attempt was decided
   * @param clientSeenFrom from when on what clients did before a pause of this process is known; 0 for always
   * @param earlier what the earlier attempts allow
   */
  public record Sending(
      boolean callEnded,
      long expiresAt,
      boolean draining,
      boolean restartedSince,
      long clientSeenFrom,
      Verdict earlier) {}

  /** True where the attempt may leave now; bytes must follow at once. */
  public static Verdict maySend(Sending attempt, long now) {
    if (attempt.callEnded()) {
      return Verdict.CALL_ENDED;
    }
    if (now >= attempt.expiresAt()) {
      return Verdict.TIME_UP;
    }
    if (attempt.draining()) {
      return Verdict.DRAINING;
    }
    if (attempt.restartedSince()) {
      return Verdict.WORKER_RESTARTED;
    }
    if (!attempt.earlier().allowed()) {
      return attempt.earlier();
    }
    return now < attempt.clientSeenFrom() ? Verdict.CLIENT_UNSEEN : Verdict.ALLOWED;
  }

  /**
   * Whether a call may run again after one attempt that left; asked for each of its attempts.
   *
   * @param mayHaveRun false where the attempt is known not to have run
   * @param since for how long it has been out, or since it left
   * @param window for how long workers drop repeats of a keyed call; anything past it may run twice
   */
  public static Verdict mayRepeatAfter(Effect effect, boolean mayHaveRun, long since, long window) {
    if (effect == Effect.SAFE || !mayHaveRun) {
      return Verdict.ALLOWED;
    }
    if (effect == Effect.UNSAFE) {
      return Verdict.MAY_HAVE_RUN;
    }
    return since >= 0 && since < window ? Verdict.ALLOWED : Verdict.WINDOW_OVER;
  }

  /**
   * Whether a call may be refused, which tells its client that trying again is harmless, after one attempt; asked for
   * each.
   *
   * @param mayHaveRun false where the attempt is known not to have run
   */
  public static Verdict mayRefuseAfter(Effect effect, Group group, boolean mayHaveRun) {
    boolean harmless =
        effect == Effect.SAFE || !mayHaveRun || effect == Effect.KEYED && group == Group.ALL;
    return harmless ? Verdict.ALLOWED : Verdict.MAY_HAVE_RUN;
  }

  /** Whether an order to load may be started at a worker now. */
  public static Verdict mayOrder(boolean draining, boolean restartedSince, boolean inRation) {
    if (draining) {
      return Verdict.DRAINING;
    }
    if (restartedSince) {
      return Verdict.WORKER_RESTARTED;
    }
    return inRation ? Verdict.ALLOWED : Verdict.RATION_SPENT;
  }

  /**
   * What is known of a client's connection that is to be closed.
   *
   * @param open requests that have no answer
   * @param unread bytes wait to be read, or were read and are being looked at
   * @param unwritten an answer waits to be written or is being written
   */
  public record Closing(int open, boolean unread, boolean unwritten) {}

  /**
   * Whether a client's connection may be closed from here now.
   *
   * <p>Guards against a request that was read, or lies unread, when its connection is closed: it would be lost. Bytes
   * that are on the way are the client's to repeat, but only for a moment, so the end must leave at once.
   */
  public static Verdict mayClose(Closing connection) {
    if (connection.open() > 0) {
      return Verdict.IN_USE;
    }
    if (connection.unread()) {
      return Verdict.UNREAD;
    }
    return connection.unwritten() ? Verdict.UNWRITTEN : Verdict.ALLOWED;
  }

  /** Whether a connection to a worker may be closed though it works: not while anything is out on it. */
  public static Verdict mayCloseLink(int carrying) {
    return carrying == 0 ? Verdict.ALLOWED : Verdict.IN_USE;
  }

  /**
   * Whether a call that was read may be started.
   *
   * @param held calls held, this one included
   * @param bodyBytes bytes of bodies held, this one's included
   */
  public static Verdict mayTake(int held, int mostHeld, long bodyBytes, long mostBodyBytes) {
    return held > mostHeld || bodyBytes > mostBodyBytes ? Verdict.NO_ROOM : Verdict.ALLOWED;
  }

  /**
   * Whether a call may wait for its decision behind others.
   *
   * <p>Guards against a process that has less processor than its calls need: each one that is queued makes the answers
   * of all others later, until none is in time. Refused at once it costs little, and trying again is harmless. It could
   * harm just after a pause, where what waits is decided within a moment.
   *
   * @param longestWait how long the oldest of those that wait has waited; 0 where none does
   * @param timeLeft how long the call's client waits from now on
   */
  public static Verdict mayQueue(long longestWait, long timeLeft) {
    return longestWait * QUEUE_PART >= timeLeft ? Verdict.BEHIND : Verdict.ALLOWED;
  }
}
