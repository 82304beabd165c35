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

  TurnQueue(int most) {
    turns = new Turns<>(most);
  }

  /** One thread's turns; only that thread uses it. */
  final class Turn {
    private final Thread thread = Thread.currentThread();
    private volatile boolean mine;
    private long waited;

    /** Waits for the turn, which comes in any case: whoever has one gives it. */
    void take() {
      synchronized (turns) {
        mine = turns.tryStart(this);
      }
      if (!mine) {
        long began = Clock.micros();
        while (!mine) {
          LockSupport.park(this);
        }
        waited += Clock.micros() - began;
      }
    }

    /** Gives the turn to the next; a thread that has none gives nothing. */
    void give() {
      if (mine) {
        mine = false;
        Turn next;
        synchronized (turns) {
          next = turns.finish();
        }
        if (next != null) {
          next.mine = true;
          LockSupport.unpark(next.thread);
        }
      }
    }

    /** Counts waits anew. */
    void forgetWaits() {
      waited = 0;
    }

    /** Microseconds waited since. */
    long waited() {
      return waited;
    }
  }
}
