package gorseladder.edge.front;

import gorseladder.admission.Turns;
import gorseladder.runtime.Clock;
import java.util.concurrent.locks.LockSupport;

/**
 * Limits how many threads read and check requests at the same time; {@link Turns} decides the order. A turn is never
 * held while its holder waits.
 */
final class TurnQueue {
  private final Turns<Turn> turns;

  TurnQueue(int maxTurns) {
    turns = new Turns<>(maxTurns);
  }

  /** The turns of one thread; used only by that thread. */
  final class Turn {
    private final Thread thread = Thread.currentThread();
    private volatile boolean granted;
    private long waited;

    /** Waits for a turn. The wait always ends, since every holder releases its turn. */
    void acquire() {
      synchronized (turns) {
        granted = turns.tryStart(this);
      }
      if (!granted) {
        long waitStart = Clock.micros();
        while (!granted) {
          LockSupport.park(this);
        }
        waited += Clock.micros() - waitStart;
      }
    }

    /** Passes the turn to the next thread; without effect if this thread has none. */
    void release() {
      if (granted) {
        granted = false;
        Turn next;
        synchronized (turns) {
          next = turns.finish();
        }
        if (next != null) {
          next.granted = true;
          LockSupport.unpark(next.thread);
        }
      }
    }

    /** Resets the time waited. */
    void resetWaited() {
      waited = 0;
    }

    /** Returns the microseconds waited since the last reset. */
    long waited() {
      return waited;
    }
  }
}
