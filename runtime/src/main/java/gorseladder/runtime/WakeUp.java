package gorseladder.runtime;

import java.util.concurrent.locks.LockSupport;

/**
 * Lets one thread sleep until another has something for it, or its time is over.
 *
 * <p>What is waited for has a lock. The sleeper looks at it and calls {@link #announce} in one hold of that lock, and
 * {@link #sleep} after it; others change it under the lock and call {@link #wake} after the change. A change before the
 * look is seen by the look; one after it comes, by the order of the lock, after the announcement, which {@link #wake}
 * then sees. So no change is missed. A sleep may end early: the sleeper looks again.
 *
 * <p>Guards against the timed waits of a {@link java.util.concurrent.locks.Condition}. One whose time is over while
 * another thread signals it does not park until that thread has put it into the queue of the lock: it takes a processor
 * meanwhile, for seconds where the other one has none. Here nobody waits for a thread that wakes. It could harm by the
 * cost of a wake-up that is not needed: while the sleeper has not run yet each change wakes it again, which makes no
 * call of the system.
 */
final class WakeUp {
  /** Written by the sleeper only; null while it neither sleeps nor is about to. */
  private volatile Thread sleeper;

  /** The calling thread is about to sleep; under the lock. */
  void prepareSleep() {
    sleeper = Thread.currentThread();
  }

  /** Sleeps so many nanoseconds at the most, less where it is woken or interrupted; the lock is not held. */
  void sleep(long nanos) {
    LockSupport.parkNanos(this, nanos);
    sleeper = null;
  }

  /** Ends the sleep, or the one that was announced. Any thread; after the change, with the lock or without. */
  void wake() {
    Thread asleep = sleeper;
    if (asleep != null) {
      LockSupport.unpark(asleep);
    }
  }
}
