package gorseladder.attempts;

import gorseladder.RouterApi.Effect;
import java.util.List;

/**
 * Decides whether an attempt may use a kept connection.
 *
 * <p>A server may close a kept connection at the very moment the next request leaves on it (RFC 9112 section 9.5); the
 * sender then cannot tell whether the request was read. A safe call is simply tried again, an unsafe one is lost as
 * "may have run". So an unsafe call takes a kept connection only while it has been idle for less than a told time, far
 * shorter than a server's idle limit; a fresh connection costs a round trip. It could harm where connections are dear
 * and the told time is 0.
 *
 * <p>Pure functions; any thread. Times are microseconds.
 */
public final class ConnectionChoice {
  /** Kept connections of a worker beyond which those of calls that must not run twice are closed. */
  private static final int ENOUGH = 8;

  /**
   * Connections to one worker at the most, where calls share them: a few, so that the end of one takes few calls along.
   */
  private static final int MOST_SHARED = 8;
  /** Part of the told idle limit after which a connection is closed from here, so that the two sides do not cross. */
  private static final double IDLE_PART = 0.9;
  /** Idle time, in microseconds, up to which a connection is trusted with a call that must not run twice. */
  private static final long JUST_NOW = 50_000;

  /** Silence of a connection, in microseconds, that a call given up there must have met for it to count. */
  private static final long SILENCE = 400_000;

  private ConnectionChoice() {}

  /**
   * True where a kept connection may carry the attempt.
   *
   * @param effect what a repeat of the call does
   * @param idle how long the connection has carried nothing, at least 0
   * @param mostIdle told limit for every call; a connection idle longer is closed
   * @param mostIdleUnsafe told limit for calls that must not run twice; 0 for always a fresh connection
   */
  public static boolean mayReuse(Effect effect, long idle, long mostIdle, long mostIdleUnsafe) {
    return idle < mostIdle && (effect != Effect.UNSAFE || idle < mostIdleUnsafe);
  }

  /**
   * True where the connection of an attempt that ended is worth keeping.
   *
   * <p>Guards against connections that pile up: calls that must not run twice open a fresh one each and mostly take
   * none of those kept, so each left one more until its idle time was over; at 2,000 calls a second that was 20,000
   * open files. Those of other calls are taken again, so there are never more of them than calls at once. It could harm
   * safe calls that come in bursts between many unsafe ones: they open their own.
   *
   * @param effect what a repeat of the call does
   * @param kept connections kept to that worker now
   */
  public static boolean mayKeep(Effect effect, int kept) {
    return effect != Effect.UNSAFE || kept < ENOUGH;
  }

  /**
   * True where a connection may carry new calls after one on it was given up unanswered.
   *
   * <p>Guards against a connection that stays open and is of no further use: what is sent on it is never answered, and
   * nothing else says so. It covers a peer that vanished too. It could harm a worker that is only slow by one handshake
   * for each call given up there; a call withdrawn soon after it was sent says nothing.
   *
   * @param sentAt when the call given up was sent
   * @param heardAt when anything came on the connection last
   * @param now when it is given up
   */
  public static boolean remainsUsable(long sentAt, long heardAt, long now) {
    return heardAt > sentAt || now - sentAt < SILENCE;
  }

  /** How long a connection may carry nothing, where the other side closes it after so long. */
  public static long localIdleLimit(long told) {
    return (long) (told * IDLE_PART);
  }

  /** What is known of a connection: calls on it, and for how long it has neither carried nor answered anything. */
  public record Candidate(int callsInFlight, long idle) {}

  /**
   * Which of the connections that may carry a call does, where calls share connections; -1 for a further one.
   *
   * <p>A safe call takes one that carries least, of those the one used last, so that the others fall idle and close. A
   * call that must not run twice takes the one that was used last, if that was just now or it carries calls: peers
   * close and reset connections when they are idle or new, and what is written then may have run. Guards against losing
   * such calls for good; it covers any peer that is quick to close. It could harm where one spoilt answer ends a
   * connection: more calls are on it.
   *
   * @param candidates connections that are open or being opened, in any order
   * @param standing all connections to the worker
   */
  public static int pick(Effect effect, List<Candidate> candidates, int standing) {
    int best = -1;
    for (int i = 0; i < candidates.size(); i++) {
      Candidate c = candidates.get(i);
      Candidate than = best < 0 ? null : candidates.get(best);
      boolean better = than == null
          || (effect == Effect.UNSAFE || c.callsInFlight() == than.callsInFlight()
              ? c.idle() < than.idle()
              : c.callsInFlight() < than.callsInFlight());
      best = better ? i : best;
    }
    if (best < 0) {
      return -1;
    }
    Candidate chosen = candidates.get(best);
    boolean another = effect == Effect.UNSAFE
        ? chosen.callsInFlight() == 0 && chosen.idle() > JUST_NOW
        : chosen.callsInFlight() > 0;
    return another && standing < MOST_SHARED ? -1 : best;
  }
}
