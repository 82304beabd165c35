package gorseladder.threads;

import java.util.List;

/**
 * Decides which connection gives up its thread to a client that waits for one, if the system has no new threads.
 *
 * <p>Idle connections can hold every thread: those of many silent clients, and those to runners, which are kept for the
 * next call and take the threads of clients that left. Requests then waited for seconds with nobody to read them. The
 * cost: a closed connection may have to be opened again, and a client may send a request at the very moment its
 * connection is closed. So only connections that have been idle for some time are chosen, and for a shorter time if a
 * client has waited long, and first those on which no call was served yet: otherwise a crowd that sends half requests
 * takes the connections of usual clients, which then wait behind the crowd.
 *
 * <p>Pure functions; any thread. Times are microseconds.
 */
public final class ThreadSharing {
  /** Minimum idle time of a connection that gives up its thread. */
  private static final long MIN_IDLE_MICROS = 100_000;

  /** Minimum idle time if a client has waited for {@link #LONG_WAIT_MICROS} or more. */
  private static final long MIN_IDLE_AFTER_LONG_WAIT_MICROS = 10_000;

  private static final long LONG_WAIT_MICROS = 200_000;

  private ThreadSharing() {}

  /**
   * A connection that holds a thread, with no request in flight or only unfinished ones.
   *
   * @param idle how long nothing has been in flight on it, or since when its requests are unfinished
   * @param spare whether another connection to the same runner is open, so that closing this one costs nothing
   * @param hasServed whether a call was served on it
   */
  public record Holder(long idle, boolean spare, boolean hasServed) {
    /** A connection on which no call was served. */
    public Holder(long idle, boolean spare) {
      this(idle, spare, false);
    }
  }

  /**
   * The index of the connection that gives up its thread, or -1 for none.
   *
   * @param holders connections to choose from, in any order
   * @param waited how long the client has waited for a thread
   */
  public static int pick(List<Holder> holders, long waited) {
    long minIdle = waited < LONG_WAIT_MICROS ? MIN_IDLE_MICROS : MIN_IDLE_AFTER_LONG_WAIT_MICROS;
    int best = -1;
    for (int i = 0; i < holders.size(); i++) {
      Holder holder = holders.get(i);
      boolean eligible = holder.spare() || holder.idle() >= minIdle;
      if (eligible && (best < 0 || precedes(holder, holders.get(best)))) {
        best = i;
      }
    }
    return best;
  }

  private static boolean precedes(Holder one, Holder other) {
    if (one.spare() != other.spare()) {
      return one.spare();
    }
    return one.hasServed() == other.hasServed() ? one.idle() > other.idle() : other.hasServed();
  }
}
