package gorseladder.threads;

/**
 * Decides how long an attempt waits for what its connection needs of this machine and what the machine does not have at
 * present: a thread, a descriptor, an address.
 *
 * <p>Guards against calls that are refused unsent within milliseconds, attempt after attempt, while connections that
 * carry nothing hold what they need and give it up a moment later. It could harm a call that another worker, to which a
 * connection stands, would have served at once: so an attempt waits for a part of its time only and is then decided
 * anew.
 *
 * <p>Pure functions; any thread. Times are microseconds.
 */
public final class ConnectionWait {
  /** Between two looks; about what it takes until the thread of a connection that was closed is free. */
  private static final long LOOK = 10_000;
  /** An attempt waits for at most this part of the time that it has left. */
  private static final double PART = 1.0 / 3;

  private ConnectionWait() {}

  /**
   * After what time to look again; -1 where the attempt is to be given up, so that another worker may get its call.
   *
   * @param waited for how long it has waited
   * @param left how much time it has left
   */
  public static long retryDelay(long waited, long left) {
    return waited + LOOK <= left * PART ? LOOK : -1;
  }
}
