package gorseladder.admission;

import java.util.ArrayDeque;

/**
 * Limits how many connections are read and parsed at once and decides which waiting one is next: in the order of their
 * waits, first those of which at most one request has begun and not ended and whose bytes make sound requests, and now
 * and then one of the others.
 *
 * <p>Prevents clients that leave requests half sent, at full speed on hundreds of connections, from delaying the
 * requests of usual clients by seconds: with all threads running at once, each read waits for a processor behind all
 * others. A client that sends its requests whole has at most one that is not ended, so it waits behind one read of each
 * client like it, however many half requests others send. Does harm to a client that sends several long requests
 * interleaved: it waits behind the others, but gets its share.
 *
 * <p>Free of clocks, threads and input; not thread safe.
 *
 * @param <T> the type of the readers
 */
public final class ReadTurns<T> {
  /** Time for which a reader may keep its turn; a read and its parsing take well below a millisecond. */
  public static final long MAX_HELD_MICROS = 100_000;

  /** Unfinished requests of a connection up to which it does not yield to others. */
  private static final int MAX_UNFINISHED = 1;

  /** Bytes without a sound request up to which a connection does not yield; more than the longest request has. */
  private static final long MAX_UNSOUND_BYTES = 32_768;

  /** While both kinds wait, one turn in this many goes to a reader that yields. */
  private static final int YIELDING_INTERVAL = 4;

  private final int limit;
  private final ArrayDeque<T> waiting = new ArrayDeque<>();
  private final ArrayDeque<T> waitingYielding = new ArrayDeque<>();
  private int running;
  private int handedOn;

  /**
   * Creates a limiter without readers.
   *
   * @param limit maximum number of concurrent readers, 1 or more
   */
  public ReadTurns(int limit) {
    if (limit < 1) {
      throw new IllegalArgumentException("limit must be at least 1: " + limit);
    }
    this.limit = limit;
  }

  /**
   * The number of concurrent readers for a number of processors: one more, so that a reader that loses its processor
   * does not stop all others.
   */
  public static int limitFor(int processors) {
    return processors + 1;
  }

  /**
   * Whether a connection lets others go first.
   *
   * @param unfinishedRequests number of its requests that have begun and not ended
   * @param unsoundBytes bytes read from it since its last sound request
   */
  public static boolean yields(int unfinishedRequests, long unsoundBytes) {
    return unfinishedRequests > MAX_UNFINISHED || isUnsound(unsoundBytes);
  }

  /**
   * Whether a connection has sent more without a sound request than any client that will send one.
   *
   * @param unsoundBytes bytes read from it since its last sound request
   */
  public static boolean isUnsound(long unsoundBytes) {
    return unsoundBytes > MAX_UNSOUND_BYTES;
  }

  /** Returns true if the reader may run now; otherwise it waits until {@link #finish} returns it. */
  public boolean tryStart(T reader, boolean yielding) {
    if (running < limit) {
      running++;
      return true;
    }
    (yielding ? waitingYielding : waiting).addLast(reader);
    return false;
  }

  /** Records that a reader finished; returns the waiting reader that runs next, or null if none waits. */
  public T finish() {
    boolean yieldingNext = waiting.isEmpty() || ++handedOn % YIELDING_INTERVAL == 0;
    T next = yieldingNext ? waitingYielding.pollFirst() : null;
    next = next == null ? waiting.pollFirst() : next;
    running -= next == null ? 1 : 0;
    return next;
  }
}
