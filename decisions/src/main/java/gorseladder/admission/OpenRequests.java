package gorseladder.admission;

import java.util.ArrayDeque;

/**
 * Decides whether a client may begin another request on its connection.
 *
 * <p>The protocol allows a number of requests that are open at a time. A request that its client withdraws took the
 * place of another one, at the dispatcher and maybe at a runner, so it counts for a moment longer. Otherwise one client
 * that begins and withdraws requests at full speed takes the places of all others. Does harm to a client that withdraws
 * as many requests as it may have open and begins new ones at once: for a moment they are refused.
 *
 * <p>Free of clocks, threads and input; not thread safe. Times are microseconds of a monotonic clock.
 */
public final class OpenRequests {
  /** Requests that a connection may have open at a time. */
  public static final int MAX_OPEN = 32;

  private static final int MAX_WITHDRAWN = 32;
  /** How long a withdrawn request counts. */
  public static final long WITHDRAWN_COUNTS_MICROS = 100_000;

  private final ArrayDeque<Long> withdrawnAt = new ArrayDeque<>();

  /** Applies that the client withdrew a request that was taken as a call. */
  public void withdrawn(long now) {
    withdrawnAt.addLast(now);
  }

  /**
   * Whether a request may begin.
   *
   * @param open requests of the connection without an answer
   */
  public boolean mayBegin(int open, long now) {
    while (!withdrawnAt.isEmpty() && now - withdrawnAt.peekFirst() >= WITHDRAWN_COUNTS_MICROS) {
      withdrawnAt.removeFirst();
    }
    return open < MAX_OPEN && withdrawnAt.size() < MAX_WITHDRAWN;
  }
}
