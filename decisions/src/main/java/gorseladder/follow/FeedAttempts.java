package gorseladder.follow;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides when a follower of a feed of changes asks for it anew, beside the connections it has, and which of these it
 * lets go.
 *
 * <p>A connection that says nothing may be dead, or slow. Guards against both at once: a feed that is silent for
 * {@link FollowPace#SILENCE_MICROS} is asked again on another connection while the old one may still answer, so that silence
 * is noticed in time and slowness only costs time; the first connection that tells something ends the others. After a
 * move a connection to the old address stays until the new address tells something, or until room is needed. The
 * patience with one connection is what {@link #MAX_CONNECTIONS} of them in turn allow, and doubles after {@link #DOUBLE_TIMEOUT_AFTER}
 * vain ones. It could harm a feed that is slow because it is crowded: it is asked up to {@link #MAX_CONNECTIONS} times at once.
 *
 * <p>Not thread safe. Times are microseconds on one clock that only goes forward.
 */
public final class FeedAttempts {
  /** Connections at a time. */
  public static final int MAX_CONNECTIONS = 3;
  /** Vain connections in a row after which each gets twice the time. */
  static final int DOUBLE_TIMEOUT_AFTER = 6;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private static final class Attempt {
    private final long number;
    private final int move;
    private final long begunAt;
    private long toldAt = NEVER;

    private Attempt(long number, int move, long begunAt) {
      this.number = number;
      this.move = move;
      this.begunAt = begunAt;
    }

    private boolean tells(long now) {
      return toldAt + FollowPace.SILENCE_MICROS > now;
    }
  }

  /** A connection that begins, and the one that makes room for it, 0 for none. */
  public record Started(long number, long evicted) {}

  private final FollowPace pace;
  private final List<Attempt> attempts = new ArrayList<>();
  private long lastNumber;
  private int move;
  private long pausedUntil;
  private int vain;

  /** No connection yet; chance follows the seed. */
  public FeedAttempts(long seed) {
    pace = new FollowPace(seed);
  }

  /**
   * When the next connection is to begin, which may be in the past; to be asked again after each of the other calls.
   */
  public long nextAt(long now) {
    long newest = NEVER;
    long toldAt = NEVER;
    for (Attempt attempt : attempts) {
      if (attempt.move == move) {
        newest = Math.max(newest, attempt.begunAt);
        toldAt = Math.max(toldAt, attempt.toldAt);
      }
    }
    if (newest == NEVER) {
      return pausedUntil;
    }
    long patience =
        vain > DOUBLE_TIMEOUT_AFTER ? 2 * FollowPace.SILENCE_MICROS : FollowPace.SILENCE_MICROS;
    return Math.max(newest + patience, toldAt + FollowPace.SILENCE_MICROS);
  }

  /** A connection begins now. */
  public Started begin(long now) {
    Attempt evicted = null;
    if (attempts.size() >= MAX_CONNECTIONS) {
      evicted = attempts.stream()
          .min((a, b) -> a.tells(now) == b.tells(now)
              ? Long.compare(a.begunAt, b.begunAt)
              : Boolean.compare(a.tells(now), b.tells(now)))
          .orElseThrow();
      attempts.remove(evicted);
    }
    attempts.add(new Attempt(++lastNumber, move, now));
    vain++;
    return new Started(lastNumber, evicted == null ? 0 : evicted.number);
  }

  /** True for a connection that has neither ended nor been let go. */
  public boolean isOpen(long number) {
    return attempts.stream().anyMatch(a -> a.number == number);
  }

  /**
   * A whole line came on a connection.
   *
   * @param seq the number it tells
   * @param last the last number known before; a line that tells less is no sign of life
   * @return connections to be let go now
   */
  public List<Long> lineReceived(long number, long seq, long last, long now) {
    List<Long> others = new ArrayList<>();
    for (Attempt attempt : List.copyOf(attempts)) {
      if (attempt.number == number && seq >= last) {
        attempt.toldAt = now;
        if (attempt.move == move) {
          vain = 0;
          attempts.removeIf(other -> other != attempt && others.add(other.number));
        }
      }
    }
    return others;
  }

  /** A connection has ended by itself, or it is of no further use; {@code news} where it told something new. */
  public void ended(long number, boolean news, long now) {
    if (attempts.removeIf(a -> a.number == number)) {
      pausedUntil = now + pace.pause(news);
    }
  }

  /** The feed is at another address now, and is asked there at once. */
  public void addressChanged() {
    move++;
    vain = 0;
    pausedUntil = 0;
  }
}
