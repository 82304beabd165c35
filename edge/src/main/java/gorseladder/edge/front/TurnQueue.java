package gorseladder.edge.front;

import gorseladder.admission.Turns;
import gorseladder.runtime.Clock;
import java.util.concurrent.locks.LockSupport;

/**
 * Lets so many threads read and judge requests at once; {@link Turns} says who is next. A turn is never held while its
 * holder waits.
 */
final class TurnQueue {
  private final Turns<Turn> turns;

  TurnQueue(int maxTurns) {
    turns = new Turns<>(maxTurns);
  }

  /** One thread's turns; only that thread uses it. */
  final class Turn {
    private final Thread thread = Thread.currentThread();
    private volatile boolean granted;
    private long waited;

    /** Waits for the turn, which comes in any case: whoever has one gives it. */
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

    /** Gives the turn to the next; a thread that has none gives nothing. */
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

    /** Counts waits anew. */
    void resetWaited() {
      waited = 0;
    }

    /** Microseconds waited since. */
    long waited() {
      return waited;
    }
  }
}
