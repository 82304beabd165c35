package gorseladder.admission;

import java.util.ArrayDeque;

/**
 * Limits how many readers of requests run at once and decides which waiting reader runs next: mostly the newest, and
 * every {@link #OLDEST_FIRST_INTERVAL}th time the oldest.
 *
 * <p>Prevents all threads of an edge from reading and refusing requests while the few that carry accepted calls wait
 * for a processor. The newest goes first because under overload the oldest has already waited too long, and those that
 * came later would wait too long as well (as in adaptive last-in-first-out queues). Without overload nobody waits here.
 * Occasionally serving the oldest keeps a sender whose request is the oldest in each burst from starving.
 *
 * <p>Free of clocks, threads and input; not thread safe.
 *
 * @param <T> the type of the readers
 */
public final class Turns<T> {
  /** One in this many waiting readers that are started is the oldest. */
  private static final int OLDEST_FIRST_INTERVAL = 8;

  private final int limit;
  private final ArrayDeque<T> waiting = new ArrayDeque<>();
  private int running;
  private int handedOn;

  /**
   * Creates a limiter without readers.
   *
   * @param limit maximum number of concurrent readers, 1 or more
   */
  public Turns(int limit) {
    if (limit < 1) {
      throw new IllegalArgumentException("limit must be at least 1: " + limit);
    }
    this.limit = limit;
  }

  /** Returns true if the reader may run now; otherwise it waits until {@link #finish} returns it. */
  public boolean tryStart(T reader) {
    if (running < limit) {
      running++;
      return true;
    }
    waiting.addLast(reader);
    return false;
  }

  /** Records that a reader finished; returns the waiting reader that runs next, or null if none waits. */
  public T finish() {
    if (waiting.isEmpty()) {
      running--;
      return null;
    }
    return ++handedOn % OLDEST_FIRST_INTERVAL == 0 ? waiting.pollFirst() : waiting.pollLast();
  }

  /** Number of waiting readers. */
  public int waiting() {
    return waiting.size();
  }
}
