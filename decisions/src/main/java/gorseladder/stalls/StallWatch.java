package gorseladder.stalls;

/**
 * Tells when this process stood still: no processor, stopped by a signal, or a machine that slept. A tick comes at a
 * steady pace; one that comes late says that nothing here ran for a while, though the world went on.
 *
 * <p>Guards against times that are taken when something is read and not when it came: after a pause a request looks new
 * whose client has waited for long, and one whose client has left long ago looks open until its connection's end is
 * read too. So what is read within {@link #SETTLE_MICROS} after a pause counts as arrived when the pause began, and nothing
 * new leaves before that. It could harm where pauses follow each other closely: requests then get less time than their
 * clients would wait.
 *
 * <p>Not thread safe: callers serialise. Times are microseconds on one clock that only goes forward.
 */
public final class StallWatch {
  /** Between two ticks. */
  public static final long TICK_MICROS = 25_000;
  /** A tick that is late by this much says that the process stood still; far less than the slack on deadlines. */
  private static final long STALL = 50_000;
  /** After a pause, the time in which what came during it is read. */
  public static final long SETTLE_MICROS = 30_000;

  private long tickedAt;
  private long beganAt;
  private long endedAt;

  /** A watch whose first tick is now. */
  public StallWatch(long now) {
    tickedAt = now;
  }

  /** A tick; how long the process stood still before it, 0 where it did not. */
  public long tick(long now) {
    look(now);
    boolean late = endedAt == now;
    tickedAt = now;
    return late ? now - beganAt : 0;
  }

  private void look(long now) {
    if (now - tickedAt > TICK_MICROS + STALL) {
      beganAt = tickedAt;
      endedAt = now;
      tickedAt = now;
    }
  }

  /** The earliest time at which something may have come that is read now. */
  public long earliestArrival(long now) {
    look(now);
    return endedAt > 0 && now - endedAt < SETTLE_MICROS ? beganAt : now;
  }

  /** From when on what clients did during the last pause is known; 0 where there was none. */
  public long settledAt(long now) {
    look(now);
    return endedAt == 0 ? 0 : endedAt + SETTLE_MICROS;
  }
}
