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
}
