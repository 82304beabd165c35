package gorseladder.follow;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides when a follower of a feed of changes opens another connection to it, and which of its connections it closes.
 *
 * <p>A connection without input may be dead or slow. A feed that is silent for {@link FollowPace#SILENCE_MICROS} is
 * therefore asked on another connection while the old one may still answer: a dead one is noticed in time, and a slow
 * one only costs time. The first connection that receives a line closes the others. After a change of the address, a
 * connection to the old address stays until the new address sends a line or until its place is needed. So each
 * connection has {@link #MAX_CONNECTIONS} times the silence to send a line, and twice as long after {@link
 * #DOUBLE_TIMEOUT_AFTER} connections without success. The drawback: a feed that is slow because of too many followers
 * gets up to {@link #MAX_CONNECTIONS} connections from each.
 *
 * <p>Not thread safe. Times are microseconds on a monotonic clock.
 */
public final class FeedAttempts {
  /** Maximum number of concurrent connections. */
  public static final int MAX_CONNECTIONS = 3;
  /** Number of consecutive connections without success after which each next one gets twice the time. */
  static final int DOUBLE_TIMEOUT_AFTER = 6;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private static final class Attempt {
    private final long number;
    private final int addressVersion;
    private final long startedAt;
    private long heardAt = NEVER;

    private Attempt(long number, int addressVersion, long startedAt) {
      this.number = number;
      this.addressVersion = addressVersion;
      this.startedAt = startedAt;
    }

    private boolean isAlive(long now) {
      return heardAt + FollowPace.SILENCE_MICROS > now;
    }
  }

  /** The numbers of a new connection and of the one closed to make room for it, 0 for none. */
  public record Started(long number, long evicted) {}

  private final FollowPace backoff;
  private final List<Attempt> attempts = new ArrayList<>();
  private long lastNumber;
  private int addressVersion;
  private long pausedUntil;
  private int unsuccessful;

  /**
   * Creates a follower without connections.
   *
   * @param seed seed of the random pauses
   */
  public FeedAttempts(long seed) {
    backoff = new FollowPace(seed);
  }

  /** When to open the next connection, which may be in the past. Every call of another method may change it. */
  public long nextAt(long now) {
    long newest = NEVER;
    long heardAt = NEVER;
    for (Attempt attempt : attempts) {
      if (attempt.addressVersion == addressVersion) {
        newest = Math.max(newest, attempt.startedAt);
        heardAt = Math.max(heardAt, attempt.heardAt);
      }
    }
    if (newest == NEVER) {
      return pausedUntil;
    }
    long patience = unsuccessful > DOUBLE_TIMEOUT_AFTER
        ? 2 * FollowPace.SILENCE_MICROS
        : FollowPace.SILENCE_MICROS;
    return Math.max(newest + patience, heardAt + FollowPace.SILENCE_MICROS);
  }

  /** Records that a connection is opened now. */
  public Started begin(long now) {
    Attempt evicted = null;
    if (attempts.size() >= MAX_CONNECTIONS) {
      evicted = attempts.stream()
          .min((a, b) -> a.isAlive(now) == b.isAlive(now)
              ? Long.compare(a.startedAt, b.startedAt)
              : Boolean.compare(a.isAlive(now), b.isAlive(now)))
          .orElseThrow();
      attempts.remove(evicted);
    }
    attempts.add(new Attempt(++lastNumber, addressVersion, now));
    unsuccessful++;
    return new Started(lastNumber, evicted == null ? 0 : evicted.number);
  }

  /** Returns whether a connection has neither ended nor been closed in favor of another one. */
  public boolean isOpen(long number) {
    return attempts.stream().anyMatch(a -> a.number == number);
  }

  /**
   * Records that a complete line arrived on a connection.
   *
   * @param seq sequence number of the line
   * @param last last sequence number known before; a line with a lower one is no sign of life
   * @return connections to close now
   */
  public List<Long> lineReceived(long number, long seq, long last, long now) {
    List<Long> others = new ArrayList<>();
    for (Attempt attempt : List.copyOf(attempts)) {
      if (attempt.number == number && seq >= last) {
        attempt.heardAt = now;
        if (attempt.addressVersion == addressVersion) {
          unsuccessful = 0;
          attempts.removeIf(other -> other != attempt && others.add(other.number));
        }
      }
    }
    return others;
  }

  /**
   * Records that a connection ended by itself or is of no further use.
   *
   * @param receivedNew whether it received a new change
   */
  public void ended(long number, boolean receivedNew, long now) {
    if (attempts.removeIf(a -> a.number == number)) {
      pausedUntil = now + backoff.pause(receivedNew);
    }
  }

  /** Records that the feed has a new address, which is asked at once. */
  public void addressChanged() {
    addressVersion++;
    unsuccessful = 0;
    pausedUntil = 0;
  }
}
