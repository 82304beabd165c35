package gorseladder.attempts;

import gorseladder.RouterApi.Effect;

/**
 * Decides whether an attempt may use a kept connection.
 *
 * <p>A server may close a kept connection at the very moment the next request leaves on it (RFC 9112 section 9.5); the
 * sender then cannot tell whether the request was read. A safe call is simply tried again, an unsafe one is lost as "may
 * have run". So an unsafe call takes a kept connection only while it has been idle for less than a told time, far shorter
 * than a server's idle limit; a fresh connection costs a round trip. It could harm where connections are dear and the
 * told time is 0.
 *
 * <p>Pure functions; any thread. Times are microseconds.
 */
public final class ConnectionChoice {
  /** Kept connections of a worker beyond which those of calls that must not run twice are closed. */
  private static final int ENOUGH = 8;

  /** Parts of the idle limit after which a connection is not trusted with a call that must not run twice. */
  private static final int UNSAFE_PART = 10;

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
   * <p>Guards against connections that pile up: calls that must not run twice open a fresh one each and mostly take none of those
   * kept, so each left one more until its idle time was over; at 2,000 calls a second that was 20,000 open files. Those of other
   * calls are taken again, so there are never more of them than calls at once. It could harm safe calls that come in bursts
   * between many unsafe ones: they open their own.
   *
   * @param effect what a repeat of the call does
   * @param kept connections kept to that worker now
   */
  public static boolean mayKeep(Effect effect, int kept) {
    return effect != Effect.UNSAFE || kept < ENOUGH;
  }

  /**
   * True where a further connection is opened rather than one shared that carries calls already.
   *
   * <p>Guards against one spoilt answer or one reset that takes every call on its connection along. It costs handshakes, and
   * descriptors up to the bound; it could harm where a runner takes very few connections.
   *
   * @param carrying calls on the least used connection that may be used
   * @param standing connections to the worker, those being opened included
   * @param most connections to one worker at the most
   */
  public static boolean opensAnother(int carrying, int standing, int most) {
    return carrying > 0 && standing < most;
  }

  /**
   * True where a connection may carry new calls after one on it was given up unanswered.
   *
   * <p>Guards against a connection that stays open and is of no further use: what is sent on it is never answered, and nothing
   * else says so. It covers a peer that vanished too. It could harm a worker that is only slow by one handshake for each call
   * given up there; a call withdrawn soon after it was sent says nothing.
   *
   * @param sentAt when the call given up was sent
   * @param heardAt when anything came on the connection last
   * @param now when it is given up
   */
  public static boolean carriesOn(long sentAt, long heardAt, long now) {
    return heardAt > sentAt || now - sentAt < SILENCE;
  }

  /** How long a connection may be idle for a call that must not run twice, as a part of what the worker allows. */
  public static long mostIdleUnsafe(long mostIdle) {
    return mostIdle / UNSAFE_PART;
  }
}
