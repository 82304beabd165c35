package gorseladder.runtime;

import java.util.ArrayDeque;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Limits how many threads do a piece of work at the same time, such as reading and parsing what clients sent; an order
 * that the caller passes in decides who is next. A turn that is free costs no switch to another thread.
 *
 * <p>A turn must not be held over anything that waits. One that is held for too long all the same, since its thread has
 * no processor or waits for a lock, is passed on; its holder goes on without one.
 *
 * <p>Thread safe.
 */
public final class TurnQueue {
  private final Object lock = new Object();
  private final Predicate<? super Turn> tryStart;
  private final Supplier<Turn> finish;
  private final long maxHeldMicros;
  /** Guarded by {@link #lock}, like all fields below. */
  private final ArrayDeque<Turn> holders = new ArrayDeque<>();

  private long waits;
  private long maxWaitMicros;
  private long passedOn;

  /**
   * Creates a queue without turns. The functions are called under a lock and must not block.
   *
   * @param tryStart returns true if the thread may start; otherwise it waits until {@code finish} returns its turn
   * @param finish called when a turn ends; returns the turn that starts next, or null
   * @param maxHeldMicros time after which a turn is passed on although its holder has not ended it
   */
  public TurnQueue(Predicate<? super Turn> tryStart, Supplier<Turn> finish, long maxHeldMicros) {
    this.tryStart = tryStart;
    this.finish = finish;
    this.maxHeldMicros = maxHeldMicros;
  }

  /** Creates the turns of the calling thread. */
  public Turn newTurn() {
    return new Turn();
  }

  /** The turns of one thread, which is the only one that uses it. */
  public final class Turn {
    private final Thread thread = Thread.currentThread();
    /** Whether it has a turn. */
    private volatile boolean granted;
    /** Whether it waits; ends with the grant, also if the turn is passed on before its thread has run. */
    private volatile boolean waiting;

    private long startedAt;
    private long waited;
    private boolean yielding;

    private Turn() {}

    /** Whether others go first; read by the order. */
    public boolean isYielding() {
      return yielding;
    }

    /** Sets whether others go first, from the next turn on. */
    public void setYielding(boolean value) {
      yielding = value;
    }

    /** Waits for a turn. The wait ends, since every turn is released or passed on. */
    public void acquire() {
      synchronized (lock) {
        waiting = !tryStart.test(this);
        if (!waiting) {
          grant(this);
        }
      }
      if (waiting) {
        await();
      }
    }

    private void await() {
      long waitStart = Clock.micros();
      while (waiting) {
        LockSupport.parkNanos(this, maxHeldMicros * 1_000);
        if (waiting) {
          passOnStalled();
        }
      }
      long wait = Clock.micros() - waitStart;
      waited += wait;
      synchronized (lock) {
        waits++;
        maxWaitMicros = Math.max(maxWaitMicros, wait);
      }
    }

    /** Passes the turn to the next thread; without effect if this thread has none. */
    public void release() {
      if (!granted) {
        return;
      }
      Turn next = null;
      synchronized (lock) {
        if (holders.remove(this)) {
          next = startNext(this);
        }
      }
      wake(next);
    }

    /** Resets the time waited. */
    public void resetWaited() {
      waited = 0;
    }

    /** Returns the microseconds waited since the last reset. */
    public long waited() {
      return waited;
    }
  }

  /** The lock is held. */
  private void grant(Turn turn) {
    turn.startedAt = Clock.micros();
    turn.granted = true;
    turn.waiting = false;
    holders.addLast(turn);
  }

  /** Ends a turn that was removed from the holders and starts the next; the lock is held. */
  private Turn startNext(Turn ended) {
    ended.granted = false;
    Turn next = finish.get();
    if (next != null) {
      grant(next);
    }
    return next;
  }

  /** Passes on the oldest turn if it is held for too long. */
  private void passOnStalled() {
    Turn next = null;
    synchronized (lock) {
      Turn oldest = holders.peekFirst();
      if (oldest != null && Clock.micros() - oldest.startedAt >= maxHeldMicros) {
        holders.removeFirst();
        passedOn++;
        next = startNext(oldest);
      }
    }
    wake(next);
  }

  private static void wake(Turn next) {
    if (next != null) {
      LockSupport.unpark(next.thread);
    }
  }

  /** Returns how many threads waited for a turn, the longest wait, and how many turns were passed on, for the log. */
  public String summary() {
    synchronized (lock) {
      return waits + " waits for a turn, the longest " + maxWaitMicros / 1_000 + " ms, " + passedOn
          + " turns passed on";
    }
  }
}
