package gorseladder.follow;

import java.util.SplittableRandom;

/**
 * Decides how long to wait before reconnecting to a feed of changes after a connection to it ended: exponential backoff
 * with jitter.
 *
 * <p>The jitter keeps hundreds of followers from reconnecting at the same moment after an interruption that affected
 * all of them. The cost: a feed that is available again at once is asked up to one and a half times {@link
 * #MAX_PAUSE_MICROS} later.
 *
 * <p>Not thread safe. Times are microseconds.
 */
public final class FollowPace {
  /** A feed counts as silent after this time without a line; heartbeats come every second. */
  public static final long SILENCE_MICROS = 1_800_000;

  private static final long MIN_PAUSE_MICROS = 20_000;
  private static final long MAX_PAUSE_MICROS = 250_000;
  /** Part of a pause by which it may be shortened or lengthened at random. */
  private static final double JITTER_FRACTION = 0.5;

  private final SplittableRandom random;
  private long pause = MIN_PAUSE_MICROS;

  /**
   * Creates a backoff at its shortest pause.
   *
   * @param seed seed of the jitter
   */
  public FollowPace(long seed) {
    random = new SplittableRandom(seed);
  }

  /**
   * The time to wait before the next connection.
   *
   * @param receivedNew whether the connection that ended received a new change; otherwise the pause doubles
   */
  public long pause(boolean receivedNew) {
    pause = receivedNew ? MIN_PAUSE_MICROS : Math.min(MAX_PAUSE_MICROS, 2 * pause);
    return Math.round(pause * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random.nextDouble()));
  }
}
