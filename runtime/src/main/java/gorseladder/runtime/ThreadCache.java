package gorseladder.runtime;

import java.util.ArrayDeque;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Threads for tasks that block for long, as reading a connection does: a task has a thread of its own, and a thread
 * that is done is kept for the next one.
 *
 * <p>Guards against a system that has no new thread for a while: what ends then gives its thread to what begins,
 * instead of taking it along. A few stand ready from the start, and none is let go while starting one fails. Vain
 * starts are spaced out, since each costs the caller some milliseconds. It could harm by holding stacks of threads that
 * a burst needed, for {@link #KEEP_SECONDS}.
 *
 * <p>Any thread.
 */
public final class ThreadCache implements AutoCloseable {
  private static final long KEEP_SECONDS = 30;
  private static final long KEEP = KEEP_SECONDS * 1_000_000;
  /** Between two vain starts, in microseconds; doubles up to the bound. */
  private static final long LEAST_PAUSE = 10_000;

  private static final long MOST_PAUSE = 200_000;

  private final String name;
  private final ThreadFactory threads;
  private final int least;
  private final ReentrantLock lock = new ReentrantLock();
  private final ArrayDeque<Worker> idle = new ArrayDeque<>();
  private volatile Runnable whenFree = () -> {};
  private long failedAt = Long.MIN_VALUE / 2;
  private long pause = LEAST_PAUSE;
  private long failedStarts;
  private boolean closed;

  /** One thread; its fields are the lock's. */
  private final class Worker {
    private final WakeUp given = new WakeUp();
    private Runnable task;
    private long idleUntil;

    private void run() {
      for (Runnable now = next(false); now != null; now = next(true)) {
        Threads.guarded(name, now);
      }
    }

    /** Waits for the next task; null where this thread is to end. */
    private Runnable next(boolean again) {
      lock.lock();
      try {
        if (task == null && !closed) {
          idleUntil = Clock.micros() + KEEP;
          idle.addLast(this);
        }
      } finally {
        lock.unlock();
      }
      if (again) {
        whenFree.run();
      }
      while (true) {
        lock.lock();
        try {
          if (task != null || closed || letGo() || Thread.interrupted()) {
            return take();
          }
          given.announce();
        } finally {
          lock.unlock();
        }
        given.sleep(KEEP * 1_000);
      }
    }

    /** Is idle no more; its task, once, null where it has none. The lock is held. */
    private Runnable take() {
      idle.remove(this);
      Runnable now = task;
      task = null;
      return now;
    }

    /** True where it was idle for long and is not needed; the lock is held. */
    private boolean letGo() {
      long now = Clock.micros();
      if (now < idleUntil) {
        return false;
      }
      idleUntil = now + KEEP;
      return idle.size() > least && now - failedAt > KEEP;
    }
  }

  /**
   * Threads of that name.
   *
   * @param least so many stand ready from the start, as far as the system has them
   */
  public ThreadCache(String name, int least, int stackBytes) {
    this(name, least, Threads.factory(name, stackBytes));
  }

  /** The same with threads of that factory. */
  public ThreadCache(String name, int least, ThreadFactory threads) {
    this.name = name;
    this.least = least;
    this.threads = threads;
    for (int i = 0; i < least; i++) {
      start(null);
    }
  }

  /** Is run by a thread that has just become free, and must not block; names the one that has tasks waiting. */
  public void whenFree(Runnable told) {
    whenFree = told;
  }

  /** Has a thread run the task at once; false where none can be had at present, and then it is not taken. */
  public boolean execute(Runnable task) {
    return execute(task, 0);
  }

  /**
   * The same for a task that nobody waits for yet: where no new thread can be had it leaves half of those that stand
   * ready to tasks that are wanted now.
   */
  public boolean executeIfSpare(Runnable task) {
    return execute(task, least / 2);
  }

  private boolean execute(Runnable task, int left) {
    Worker free;
    lock.lock();
    try {
      free = closed || idle.size() <= left ? null : idle.pollLast();
      if (free != null) {
        free.task = task;
      } else if (closed || Clock.micros() < failedAt + pause) {
        return false;
      }
    } finally {
      lock.unlock();
    }
    if (free == null) {
      return start(task);
    }
    free.given.wake();
    return true;
  }

  private boolean start(Runnable task) {
    Worker worker = new Worker();
    worker.task = task;
    boolean started = Threads.tryStart(threads.newThread(worker::run));
    lock.lock();
    try {
      if (started) {
        pause = LEAST_PAUSE;
      } else {
        failedStarts++;
        pause = failedAt + 2 * MOST_PAUSE < Clock.micros()
            ? LEAST_PAUSE
            : Math.min(MOST_PAUSE, 2 * pause);
        failedAt = Clock.micros();
      }
    } finally {
      lock.unlock();
    }
    return started;
  }

  /** Threads that wait for a task. */
  public int idle() {
    lock.lock();
    try {
      return idle.size();
    } finally {
      lock.unlock();
    }
  }

  /** Starts of threads that failed so far. */
  public long failedStarts() {
    lock.lock();
    try {
      return failedStarts;
    } finally {
      lock.unlock();
    }
  }

  /** Lets idle threads go; those that have a task end after it. */
  @Override
  public void close() {
    lock.lock();
    try {
      closed = true;
      idle.forEach(worker -> worker.given.wake());
    } finally {
      lock.unlock();
    }
  }
}
