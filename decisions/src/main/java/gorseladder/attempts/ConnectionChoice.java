package gorseladder.attempts;

import gorseladder.RouterApi.Effect;
import java.util.List;

/**
 * Decides whether and on which kept connection an attempt is sent.
 *
 * <p>A server may close a kept connection at the very moment the next request leaves on it (RFC 9112 section 9.5); the
 * sender then cannot tell whether the request was read. A safe call is simply tried again, an unsafe one ends as "may
 * have run". So an unsafe call takes a kept connection only while it has been idle for less than a configured time, far
 * shorter than the idle limit of a server; a new connection costs a round trip. With a limit of 0 every unsafe call
 * opens a connection.
 *
 * <p>Pure functions; any thread. Times are microseconds.
 */
public final class ConnectionChoice {
  /** Kept connections to a worker from which on those of calls that must not run twice are closed. */
  private static final int MAX_KEPT_FOR_UNSAFE = 8;

  /** Maximum connections to a worker where calls share them; several, so that losing one affects few calls. */
  private static final int MAX_SHARED_CONNECTIONS = 8;

  /** Connections are closed at this part of the peer's idle limit, so that both sides do not act at the same time. */
  private static final double IDLE_LIMIT_FRACTION = 0.9;

  /** Idle time up to which a connection is trusted with a call that must not run twice. */
  private static final long RECENT_USE_MICROS = 50_000;

  /** A call that is given up casts doubt on its connection only after this time without any input. */
  private static final long MIN_SILENCE_MICROS = 400_000;

  private ConnectionChoice() {}

  /**
   * Returns whether a kept connection may carry the attempt.
   *
   * @param effect what a repeat of the call does
   * @param idle how long the connection has carried nothing, at least 0
   * @param idleLimit limit for every call; a connection that is idle longer is closed
   * @param unsafeIdleLimit limit for calls that must not run twice; 0 for always a new connection
   */
  public static boolean mayReuse(Effect effect, long idle, long idleLimit, long unsafeIdleLimit) {
    return idle < idleLimit && (effect != Effect.UNSAFE || idle < unsafeIdleLimit);
  }

  /**
   * Returns whether the connection of an attempt that ended is kept.
   *
   * <p>Calls that must not run twice mostly open a connection each and rarely reuse one, so without a bound each left
   * one more until its idle time was over: 20,000 open files at 2,000 calls a second. Connections of other calls are
   * reused, so there are never more of them than concurrent calls. The drawback: safe calls in bursts between many
   * unsafe ones open their own connections.
   *
   * @param effect what a repeat of the call does
   * @param kept number of connections to that worker that are kept now
   */
  public static boolean mayKeep(Effect effect, int kept) {
    return effect != Effect.UNSAFE || kept < MAX_KEPT_FOR_UNSAFE;
  }

  /**
   * Returns whether a connection may carry new calls after one on it was given up without an answer.
   *
   * <p>Detects connections that stay open although nothing sent on them is answered, for example because the peer
   * vanished; nothing else reports them. A worker that is only slow costs one extra handshake for each call given up. A
   * call withdrawn soon after it was sent proves nothing.
   *
   * @param sentAt when the call given up was sent
   * @param heardAt when anything last arrived on the connection
   * @param now when the call is given up
   */
  public static boolean remainsUsable(long sentAt, long heardAt, long now) {
    return heardAt > sentAt || now - sentAt < MIN_SILENCE_MICROS;
  }

  /**
   * How long a connection may be idle before this side closes it.
   *
   * @param remoteIdleLimit the time after which the other side closes an idle connection
   */
  public static long localIdleLimit(long remoteIdleLimit) {
    return (long) (remoteIdleLimit * IDLE_LIMIT_FRACTION);
  }

  /**
   * A connection that may carry a call.
   *
   * @param callsInFlight calls that it carries now
   * @param idle how long it has neither carried nor answered anything
   */
  public record Candidate(int callsInFlight, long idle) {}

  /**
   * Chooses the connection for a call where calls share connections; returns its index, or -1 to open another one.
   *
   * <p>A safe call takes the connection with the fewest calls, and of those the most recently used, so that the others
   * become idle and close. A call that must not run twice takes the most recently used one, if that was used within
   * {@link #RECENT_USE_MICROS} or carries calls: peers tend to close and reset connections that are idle or new, and
   * what is written then may have run. The drawback: one corrupt answer ends a connection with more calls on it.
   *
   * @param candidates connections that are open or being opened, in any order
   * @param openConnections number of all connections to the worker
   */
  public static int pick(Effect effect, List<Candidate> candidates, int openConnections) {
    int best = -1;
    for (int i = 0; i < candidates.size(); i++) {
      Candidate c = candidates.get(i);
      Candidate current = best < 0 ? null : candidates.get(best);
      boolean better = current == null
          || (effect == Effect.UNSAFE || c.callsInFlight() == current.callsInFlight()
              ? c.idle() < current.idle()
              : c.callsInFlight() < current.callsInFlight());
      best = better ? i : best;
    }
    if (best < 0) {
      return -1;
    }
    Candidate chosen = candidates.get(best);
    boolean openAnother = effect == Effect.UNSAFE
        ? chosen.callsInFlight() == 0 && chosen.idle() > RECENT_USE_MICROS
        : chosen.callsInFlight() > 0;
    return openAnother && openConnections < MAX_SHARED_CONNECTIONS ? -1 : best;
  }
}
