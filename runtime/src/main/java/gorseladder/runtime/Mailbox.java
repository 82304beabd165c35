package gorseladder.runtime;

import java.util.ArrayDeque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;

/**
 * The input queue of a thread that owns state. Notices that must not be lost (ends of attempts, list updates) are
 * always accepted; offers of new work are accepted only while fewer than a maximum wait, so that callers of an
 * overloaded thread are rejected instead of queued without bound. Notices are taken before offers. Any thread may add;
 * one thread takes.
 *
 * @param <T> type of the messages
 */
public final class Mailbox<T> {
  private final ReentrantLock lock = new ReentrantLock();
  private final WakeUp notEmpty = new WakeUp();
  private final ArrayDeque<T> notices = new ArrayDeque<>();
  private final ArrayDeque<T> offers = new ArrayDeque<>();
  private final int maxOffers;

  /** Creates a mailbox that holds at most the given number of offers. */
  public Mailbox(int maxOffers) {
    this.maxOffers = maxOffers;
  }

  /** Adds a notice; always accepted. */
  public void put(T message) {
    lock.lock();
    try {
      notices.addLast(message);
    } finally {
      lock.unlock();
    }
    notEmpty.wake();
  }

  /** Offers work; returns false if the maximum number of offers waits. */
  public boolean offer(T message) {
    return offer(message, oldest -> true);
  }

  /**
   * Offers work; returns false if the maximum number of offers waits, or the work may not queue behind them.
   *
   * @param mayFollow called under the lock with the oldest waiting offer, if any; false rejects the work
   */
  public boolean offer(T message, Predicate<? super T> mayFollow) {
    lock.lock();
    try {
      boolean full = offers.size() >= maxOffers;
      if (full || !offers.isEmpty() && !mayFollow.test(offers.peekFirst())) {
        return false;
      }
      offers.addLast(message);
    } finally {
      lock.unlock();
    }
    notEmpty.wake();
    return true;
  }

  /** Takes the next message; returns null after waiting in vain for the given time, immediately if it is 0. */
  public T take(long nanos) throws InterruptedException {
    long until = nanos > 0 ? System.nanoTime() + nanos : 0;
    for (long left = nanos; ; left = until - System.nanoTime()) {
      lock.lockInterruptibly();
      try {
        T next = notices.isEmpty() ? offers.pollFirst() : notices.pollFirst();
        if (next != null || left <= 0) {
          return next;
        }
        notEmpty.prepareSleep();
      } finally {
        lock.unlock();
      }
      notEmpty.sleep(left);
    }
  }

  /** Number of waiting messages. */
  public int size() {
    lock.lock();
    try {
      return notices.size() + offers.size();
    } finally {
      lock.unlock();
    }
  }
}
