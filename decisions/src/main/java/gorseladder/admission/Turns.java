package gorseladder.admission;

import java.util.ArrayDeque;

/**
 * Decides who reads next where only so many may read at once: the newest first, and now and then the oldest.
 *
 * <p>Guards against an edge whose threads all read and refuse while the few that carry calls wait for a processor: with
 * a bound on those that read, what was taken goes on. Newest first, since under overload the oldest has waited in vain
 * already, and those that came in the meantime would wait in vain too (as adaptive last-in-first-out queues do).
 * Without overload nobody waits here. It could harm a sender whose request is the oldest at each burst: every
 * {@link #OLDEST}th turn is the oldest's.
 *
 * <p>Free of clocks, threads and input; not thread safe.
 *
 * @param <T> who waits
 */
public final class Turns<T> {
  /** Every so many turns the oldest goes. */
  private static final int OLDEST = 8;

  private final int most;
  private final ArrayDeque<T> waiting = new ArrayDeque<>();
  private int inside;
  private int given;

  /** Nobody reads; so many may at once, 1 or more. */
  public Turns(int most) {
    if (most < 1) {
      throw new IllegalArgumentException("no turn can ever be given: " + most);
    }
    this.most = most;
  }

  /** True where it may read now; else it waits until {@link #finish} names it. */
  public boolean tryStart(T who) {
    if (inside < most) {
      inside++;
      return true;
    }
    waiting.addLast(who);
    return false;
  }

  /** One that read is done; returns who goes now in its place, null where nobody waits. */
  public T finish() {
    if (waiting.isEmpty()) {
      inside--;
      return null;
    }
    return ++given % OLDEST == 0 ? waiting.pollFirst() : waiting.pollLast();
  }

  /** Those that wait. */
  public int waiting() {
    return waiting.size();
  }
}
