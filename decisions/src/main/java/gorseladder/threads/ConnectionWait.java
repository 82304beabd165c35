package gorseladder.threads;

/**
 * Decides how long an attempt waits for a resource that its connection needs and this machine lacks at present: a
 * thread, a descriptor or an address.
 *
 * <p>Prevents calls from being refused unsent within milliseconds, attempt after attempt, while idle connections hold
 * the resource and release it a moment later. Another worker with an open connection might serve the call at once, so
 * an attempt waits only for a part of its time and is then given up, so that the call is routed again.
 *
 * <p>Pure functions; any thread. Times are microseconds.
 */
public final class ConnectionWait {
  /** About the time until the thread of a closed connection is free. */
  private static final long RETRY_INTERVAL_MICROS = 10_000;

  /** Maximum wait as a part of the remaining time of the attempt. */
  private static final double MAX_WAIT_FRACTION = 1.0 / 3;

  private ConnectionWait() {}

  /**
   * The time until the next try; -1 if the attempt is to be given up, so that another worker may get its call.
   *
   * @param waited how long the attempt has waited
   * @param remaining how much time the attempt has left
   */
  public static long retryDelay(long waited, long remaining) {
    return waited + RETRY_INTERVAL_MICROS <= remaining * MAX_WAIT_FRACTION
        ? RETRY_INTERVAL_MICROS
        : -1;
  }
}
