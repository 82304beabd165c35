package gorseladder.permits;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;

/**
 * Decides whether something may be sent, repeated, closed or started now. All paths ask here at the moment of the
 * action: the router when it decides, connections just before bytes are written, fronts and connections before they
 * close, fronts before they accept a call.
 *
 * <p>A single place ensures that no path forgets a condition that another path checks. The check is repeated at the
 * action because a decision may be outdated after a wait for a connection, a queue, a thread or the ledger. Does harm
 * only if it denies what is still right; every denial is counted and logged by the name of its verdict.
 *
 * <p>Pure functions; thread safe. Times are microseconds of a monotonic clock.
 */
public final class Permits {
  /** The wait of queued calls may be up to the time that a new call has left, divided by this. */
  private static final long QUEUE_DIVISOR = 4;

  private Permits() {}

  /**
   * The state just before an attempt is written.
   *
   * @param callEnded true if the call has its final answer or its client has left
   * @param expiresAt when the time of the attempt ends
   * @param draining true if the worker is draining or gone
   * @param restartedSince true if the worker started after the attempt was decided
   * @param clientSeenFrom when everything that clients did during the last pause of this process has been read; 0 if
   *     there was no pause
   * @param earlier the verdict on the call's earlier attempts
   * @param client what is known of the client
   */
  public record Sending(
      boolean callEnded,
      long expiresAt,
      boolean draining,
      boolean restartedSince,
      long clientSeenFrom,
      Verdict earlier,
      ClientView client) {
    /** The state of an attempt whose client is present. */
    public Sending(
        boolean callEnded,
        long expiresAt,
        boolean draining,
        boolean restartedSince,
        long clientSeenFrom,
        Verdict earlier) {
      this(
          callEnded,
          expiresAt,
          draining,
          restartedSince,
          clientSeenFrom,
          earlier,
          ClientView.PRESENT);
    }
  }

  /** Whether the attempt may be written now; the caller must write it immediately. */
  public static Verdict maySend(Sending attempt, long now) {
    if (attempt.callEnded()) {
      return Verdict.CALL_ENDED;
    }
    if (attempt.client() == ClientView.GONE) {
      return Verdict.CLIENT_GONE;
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
    boolean unseen = now < attempt.clientSeenFrom() || attempt.client() == ClientView.UNSEEN;
    return unseen ? Verdict.CLIENT_UNSEEN : Verdict.ALLOWED;
  }

  /**
   * Whether a call may run again after one attempt that was sent; to be asked for each of its attempts.
   *
   * @param mayHaveRun false if the attempt is known not to have run
   * @param since time since the attempt was sent
   * @param window how long workers detect repeats of a keyed call; a later repeat may run twice
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
   * Whether a call may be refused after one attempt; to be asked for each of its attempts. A refusal tells the client
   * that trying again is harmless.
   *
   * @param mayHaveRun false if the attempt is known not to have run
   */
  public static Verdict mayRefuseAfter(Effect effect, Group group, boolean mayHaveRun) {
    boolean harmless =
        effect == Effect.SAFE || !mayHaveRun || effect == Effect.KEYED && group == Group.ALL;
    return harmless ? Verdict.ALLOWED : Verdict.MAY_HAVE_RUN;
  }

  /** Whether a load order may be sent to a worker now. */
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
   * The state of a client connection that is to be closed.
   *
   * @param open number of requests without an answer
   * @param unread true if bytes wait to be read or are being parsed
   * @param unwritten true if an answer waits to be written or is being written
   */
  public record Closing(int open, boolean unread, boolean unwritten) {}

  /**
   * Whether this process may close a client connection now.
   *
   * <p>Prevents the loss of a request that was read, or waits to be read, when its connection is closed. The client
   * repeats bytes that were in transit, but this verdict holds only for a moment, so the close must follow immediately.
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

  /** Whether an intact connection to a worker may be closed: only while it carries no request. */
  public static Verdict mayCloseLink(int inFlight) {
    return inFlight == 0 ? Verdict.ALLOWED : Verdict.IN_USE;
  }

  /**
   * Whether a call that was read may be accepted.
   *
   * @param held number of calls held, including this one
   * @param bodyBytes bytes of the bodies held, including this one
   */
  public static Verdict mayTake(int held, int maxHeld, long bodyBytes, long maxBodyBytes) {
    return held > maxHeld || bodyBytes > maxBodyBytes ? Verdict.NO_ROOM : Verdict.ALLOWED;
  }

  /**
   * Whether a call may queue for its decision.
   *
   * <p>If the process has too little processor time for its calls, every queued call delays all others until none is in
   * time. A call refused at once costs little, and trying again is harmless. Does harm just after a pause, when the
   * queue is processed within moments.
   *
   * @param longestWait how long the oldest queued call has waited; 0 if none is queued
   * @param timeLeft how long the call's client will still wait
   */
  public static Verdict mayQueue(long longestWait, long timeLeft) {
    return longestWait * QUEUE_DIVISOR >= timeLeft ? Verdict.BEHIND : Verdict.ALLOWED;
  }
}
