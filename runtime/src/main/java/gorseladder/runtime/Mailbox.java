package gorseladder.runtime;

import java.util.ArrayDeque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;

/**
 * The one way into a thread that owns state. News that must not be lost (ends of attempts, the list) is always taken;
 * what offers new work is taken only while fewer than the bound wait, so that a slow owner makes callers hear "busy"
 * and not a growing queue. News comes out before offers of work. Any thread may put; one thread takes.
 *
 * @param <T> the messages
 */
public final class Mailbox<T> {
  private final ReentrantLock lock = new ReentrantLock();
  private final WakeUp notEmpty = new WakeUp();
  private final ArrayDeque<T> notices = new ArrayDeque<>();
  private final ArrayDeque<T> offers = new ArrayDeque<>();
  private final int maxOffers;

  /** A mailbox that holds at most so many offers of new work. */
  public Mailbox(int maxOffers) {
    this.maxOffers = maxOffers;
  }

  /** Puts news; always taken. */
  public void put(T message) {
    lock.lock();
    try {
      notices.addLast(message);
    } finally {
      lock.unlock();
    }
    notEmpty.wake();
  }

  /** Offers work; false where the mailbox holds as much as it may. */
  public boolean offer(T message) {
    return offer(message, oldest -> true);
  }

  /**
   * Offers work; false where the mailbox holds as much as it may, or the work may not wait behind what is there.
   *
   * @param mayFollow asked, with the lock held, about the offer that has waited for longest; not where none waits
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

  /** The next message, or null once so many nanoseconds have passed without one; does not wait for 0. */
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

  /** Messages that wait. */
  public int size() {
    lock.lock();
    try {
      return notices.size() + offers.size();
    } finally {
      lock.unlock();
    }
  }
}
