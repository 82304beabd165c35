package gorseladder.follow;

import java.util.SplittableRandom;

/**
 * Decides how patiently a feed of changes is followed: when it counts as silent, and how long to wait before it is asked again.
 *
 * <p>Guards against a connection that stays open and tells nothing more, also one on which bytes trickle that never make a line,
 * or that only repeats what is known; and against hundreds of followers that ask again in step after a break that met all of
 * them. It could harm where beats come less often than {@link #SILENCE}: the feed is then asked again and again.
 *
 * <p>Not thread safe. Times are microseconds.
 */
public final class FollowPace {
  /** Two of the beats that come every second, and some. */
  public static final long SILENCE = 1_800_000;
  /** What a connection may take to come up. */
  public static final long CONNECT = 500_000;

  private static final long LEAST_PAUSE = 20_000;
  private static final long MOST_PAUSE = 250_000;
  /** Part of a pause by which chance may shorten or lengthen it. */
  private static final double SPREAD = 0.5;

  private final SplittableRandom random;
  private long pause = LEAST_PAUSE;
  private long livedAt;

  /** A pace whose chance follows the seed. */
  public FollowPace(long seed) {
    random = new SplittableRandom(seed);
  }

  /** A connection came up, and was asked. */
  public void asked(long now) {
    livedAt = now;
  }

  /**
   * A whole line came.
   *
   * @param number the number it tells
   * @param last the last number known before; a line that tells less is no sign of life
   */
  public void line(long number, long last, long now) {
    livedAt = number >= last ? now : livedAt;
  }

  /** How long to wait for the next bytes; 0 or less where the feed counts as silent. */
  public long left(long now) {
    return livedAt + SILENCE - now;
  }

  /** How long to wait before the feed is asked again, longer each time until something new came. */
  public long pause(boolean news) {
    pause = news ? LEAST_PAUSE : Math.min(MOST_PAUSE, 2 * pause);
    return Math.round(pause * (1 - SPREAD + 2 * SPREAD * random.nextDouble()));
  }
}
