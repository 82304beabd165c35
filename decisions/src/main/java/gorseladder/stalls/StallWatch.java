package gorseladder.stalls;

/**
 * Detects pauses of this process: no processor time, a stop signal or a suspended machine. Ticks come at a fixed
 * interval; a late one shows that nothing ran here while the outside world went on.
 *
 * <p>Events are timed when they are read, not when they arrive. After a pause a request therefore looks new although
 * its client has waited for long, and one whose client has left looks open until its connection's end is read too. So
 * what is read within {@link #SETTLE_MICROS} after a pause counts as arrived when the pause began, and nothing new is
 * sent before that. Does harm if pauses follow each other closely: requests then get less time than their clients
 * would wait.
 *
 * <p>Not thread safe: callers synchronize. Times are microseconds of a monotonic clock.
 */
public final class StallWatch {
  /** Interval between two ticks. */
  public static final long TICK_MICROS = 25_000;
  /** A tick that is later than this indicates a pause; far less than the tolerance on deadlines. */
  private static final long MAX_TICK_DELAY_MICROS = 50_000;
  /** Time after a pause in which everything that arrived during it is read. */
  public static final long SETTLE_MICROS = 30_000;

  private long lastTickAt;
  private long pauseBeganAt;
  private long pauseEndedAt;

  /** Starts with a tick at the given time. */
  public StallWatch(long now) {
    lastTickAt = now;
  }

  /** Records a tick; returns the duration of the pause before it, 0 if there was none. */
  public long tick(long now) {
    detectPause(now);
    boolean late = pauseEndedAt == now;
    lastTickAt = now;
    return late ? now - pauseBeganAt : 0;
  }

  private void detectPause(long now) {
    if (now - lastTickAt > TICK_MICROS + MAX_TICK_DELAY_MICROS) {
      pauseBeganAt = lastTickAt;
      pauseEndedAt = now;
      lastTickAt = now;
    }
  }

  /** The earliest time at which something that is read now may have arrived. */
  public long earliestArrival(long now) {
    detectPause(now);
    return pauseEndedAt > 0 && now - pauseEndedAt < SETTLE_MICROS ? pauseBeganAt : now;
  }

  /** When everything that clients did during the last pause has been read; 0 if there was no pause. */
  public long settledAt(long now) {
    detectPause(now);
    return pauseEndedAt == 0 ? 0 : pauseEndedAt + SETTLE_MICROS;
  }
}
