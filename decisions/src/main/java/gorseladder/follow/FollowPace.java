package gorseladder.follow;

import java.util.SplittableRandom;

/**
 * Decides how long to wait before a feed of changes is asked again after a connection to it ended.
 *
 * <p>Guards against hundreds of followers that ask again in step after a break that met all of them. It could harm
 * where a feed is back at once: it is asked up to {@link #MOST_PAUSE} and a half later.
 *
 * <p>Not thread safe. Times are microseconds.
 */
public final class FollowPace {
  /** A feed that told nothing for so long counts as silent: two of the beats that come every second, and some. */
  public static final long SILENCE_MICROS = 1_800_000;

  private static final long LEAST_PAUSE = 20_000;
  private static final long MOST_PAUSE = 250_000;
  /** Part of a pause by which chance may shorten or lengthen it. */
  private static final double SPREAD = 0.5;

  private final SplittableRandom random;
  private long pause = LEAST_PAUSE;

  /** A pace whose chance follows the seed. */
  public FollowPace(long seed) {
    random = new SplittableRandom(seed);
  }

  /** How long to wait before the feed is asked again, longer each time until something new came. */
  public long pause(boolean news) {
    pause = news ? LEAST_PAUSE : Math.min(MOST_PAUSE, 2 * pause);
    return Math.round(pause * (1 - SPREAD + 2 * SPREAD * random.nextDouble()));
  }
}
