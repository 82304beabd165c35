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
}
