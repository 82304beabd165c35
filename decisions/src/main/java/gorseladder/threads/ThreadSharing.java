package gorseladder.threads;

import java.util.List;

/**
 * Decides which connection gives its thread to a client that has asked and waits for one, where the system has no new
 * threads.
 *
 * <p>Guards against connections that hold every thread while nothing is out on them: a crowd of silent clients, and
 * connections to runners, which take the threads of clients that left and are kept for the next call. Requests waited
 * for seconds with nobody to read them. It could harm by a connection that is opened anew where the closed one would
 * have been used again, and where a client asks on a connection at the very moment it is closed; so only connections
 * that have been idle for a while are named, for a shorter one where somebody has waited for long.
 *
 * <p>Pure functions; any thread. Times are microseconds.
 */
public final class ThreadSharing {
  /** A connection that was idle for less keeps its thread. */
  private static final long IDLE_FOR = 100_000;
  /** The same where a client has waited for {@link #LONG_WAIT} or more. */
  private static final long IDLE_FOR_LONG_WAIT = 10_000;

  private static final long LONG_WAIT = 200_000;

  private ThreadSharing() {}

  /**
   * A connection that has a thread and on which nothing is out.
   *
   * @param idle for how long nothing was out on it
   * @param spare true where another connection to the same runner stands: closing it costs nothing
   */
  public record Holder(long idle, boolean spare) {}

  /**
   * Which connection gives its thread; -1 where none should.
   *
   * @param holders connections that could, in any order
   * @param waited for how long the client has waited that wants the thread
   */
  public static int pick(List<Holder> holders, long waited) {
    long least = waited < LONG_WAIT ? IDLE_FOR : IDLE_FOR_LONG_WAIT;
    int best = -1;
    for (int i = 0; i < holders.size(); i++) {
      Holder holder = holders.get(i);
      boolean may = holder.spare() || holder.idle() >= least;
      if (may && (best < 0 || before(holder, holders.get(best)))) {
        best = i;
      }
    }
    return best;
  }

  private static boolean before(Holder one, Holder other) {
    return one.spare() == other.spare() ? one.idle() > other.idle() : one.spare();
  }
}
