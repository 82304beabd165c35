package gorseladder.runtime;

import java.util.concurrent.locks.LockSupport;

/**
 * Lets one thread sleep until another thread wakes it or a timeout expires.
 *
 * <p>The awaited state is guarded by a lock. The sleeping thread checks the state and calls {@link #prepareSleep} in
 * one critical section, and {@link #sleep} after it; other threads change the state under the lock and call
 * {@link #wake} afterwards. The check sees every earlier change, and {@link #wake} sees the prepared sleep for every
 * later one, so no change is missed. A sleep may end early: the sleeping thread must check the state again.
 *
 * <p>Replaces the timed waits of {@link java.util.concurrent.locks.Condition}. If such a wait times out while another
 * thread signals it, it spins until that thread has moved it to the lock's queue, and uses a processor for seconds if
 * the signalling thread has none. Here no thread waits for a thread that wakes it. The cost is redundant wake-ups: each
 * change wakes a thread again that has not run yet, without a system call.
 */
final class WakeUp {
  /** Written by the sleeping thread only; null while it neither sleeps nor prepares to. */
  private volatile Thread sleeper;

  /** Announces that the calling thread is about to sleep; the lock is held. */
  void prepareSleep() {
    sleeper = Thread.currentThread();
  }

  /** Sleeps for at most the given time, less if woken or interrupted; the lock is not held. */
  void sleep(long nanos) {
    LockSupport.parkNanos(this, nanos);
    sleeper = null;
  }

  /** Ends the current or prepared sleep; called after the change, with or without the lock. Thread safe. */
  void wake() {
    Thread asleep = sleeper;
    if (asleep != null) {
      LockSupport.unpark(asleep);
    }
  }
}
