package gorseladder.runtime;

import java.util.ArrayDeque;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The one way into a thread that owns state. News that must not be lost (ends of attempts, the list) is always taken;
 * what offers new work is taken only while fewer than the bound wait, so that a slow owner makes callers hear "busy"
 * and not a growing queue. News comes out before offers of work. Any thread may put; one thread takes.
 *
 * @param <T> the messages
 */
public final class Mailbox<T> {
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition filled = lock.newCondition();
  private final ArrayDeque<T> news = new ArrayDeque<>();
  private final ArrayDeque<T> offers = new ArrayDeque<>();
  private final int mostOffers;

  /** A mailbox that holds at most so many offers of new work. */
  public Mailbox(int mostOffers) {
    this.mostOffers = mostOffers;
  }

  /** Puts news; always taken. */
  public void put(T message) {
    lock.lock();
    try {
      news.addLast(message);
      filled.signal();
    } finally {
      lock.unlock();
    }
  }

  /** Offers work; false where the mailbox holds as much as it may. */
  public boolean offer(T message) {
    lock.lock();
    try {
      if (offers.size() >= mostOffers) {
        return false;
      }
      offers.addLast(message);
      filled.signal();
      return true;
    } finally {
      lock.unlock();
    }
  }

  /** The next message, or null once so many nanoseconds have passed without one. */
  public T take(long nanos) throws InterruptedException {
    lock.lockInterruptibly();
    try {
      long left = nanos;
      while (news.isEmpty() && offers.isEmpty()) {
        if (left <= 0) {
          return null;
        }
        left = filled.awaitNanos(left);
      }
      return news.isEmpty() ? offers.pollFirst() : news.pollFirst();
    } finally {
      lock.unlock();
    }
  }

  /** Messages that wait. */
  public int size() {
    lock.lock();
    try {
      return news.size() + offers.size();
    } finally {
      lock.unlock();
    }
  }
}
