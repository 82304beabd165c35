package gorseladder.runtime;

import java.util.ArrayDeque;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A pool for tasks that block for long, such as reading a connection: each task has a thread of its own, and a finished
 * thread is kept for the next task.
 *
 * <p>If the system has no new thread for a while, the threads of finished tasks serve new ones. A few threads are
 * started in advance, and no idle thread ends while starts fail. Failed starts are spaced out, since each costs the
 * caller some milliseconds. The cost is that the stacks of threads started in a burst are kept for
 * {@link #KEEP_SECONDS}.
 *
 * <p>Thread safe.
 */
public final class ThreadCache implements AutoCloseable {
  private static final long KEEP_SECONDS = 30;
  private static final long KEEP_MICROS = KEEP_SECONDS * 1_000_000;
  /** Initial delay after a failed start; doubles up to the maximum. */
  private static final long MIN_RETRY_MICROS = 10_000;

  private static final long MAX_RETRY_MICROS = 200_000;

  private final String name;
  private final ThreadFactory threads;
  private final int minIdle;
  private final int maxThreads;
  private final ReentrantLock lock = new ReentrantLock();
  private final ArrayDeque<CachedThread> idle = new ArrayDeque<>();
  private volatile Runnable whenFree = () -> {};
  private long failedAt = Long.MIN_VALUE / 2;
  private long retryDelay = MIN_RETRY_MICROS;
  private long failedStarts;
  /** Threads that were started and have not ended. */
  private int live;

  private boolean closed;

  /** One thread of the pool; its fields are guarded by the lock. */
  private final class CachedThread {
    private final WakeUp wakeUp = new WakeUp();
    private Runnable task;
    private long idleUntil;

    private void run() {
      try {
        for (Runnable now = next(false); now != null; now = next(true)) {
          Threads.guarded(name, now);
        }
      } finally {
        threadEnded();
      }
    }

    /** Waits for the next task; returns null if this thread is to end. */
    private Runnable next(boolean again) {
      lock.lock();
      try {
        if (task == null && !closed) {
          idleUntil = Clock.micros() + KEEP_MICROS;
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
          if (task != null || closed || shouldEnd() || Thread.interrupted()) {
            return take();
          }
          wakeUp.prepareSleep();
        } finally {
          lock.unlock();
        }
        wakeUp.sleep(KEEP_MICROS * 1_000);
      }
    }

    /** Removes this thread from the idle ones and takes its task, null if it has none; the lock is held. */
    private Runnable take() {
      idle.remove(this);
      Runnable now = task;
      task = null;
      return now;
    }

    /** Whether this thread was idle for long and is not needed; the lock is held. */
    private boolean shouldEnd() {
      long now = Clock.micros();
      if (now < idleUntil) {
        return false;
      }
      idleUntil = now + KEEP_MICROS;
      return idle.size() > minIdle && now - failedAt > KEEP_MICROS;
    }
  }

  /**
   * Creates a pool whose threads have the given name.
   *
   * @param minIdle number of threads started in advance, as far as the system has them
   */
  public ThreadCache(String name, int minIdle, int stackBytes) {
    this(name, minIdle, Threads.factory(name, stackBytes));
  }

  /** Creates a pool with threads of the given factory. */
  public ThreadCache(String name, int minIdle, ThreadFactory threads) {
    this(name, minIdle, Integer.MAX_VALUE, threads);
  }

  /** Creates a pool of at most {@code maxThreads} threads; beyond it there is no thread, as if the system had none. */
  public ThreadCache(String name, int minIdle, int maxThreads, ThreadFactory threads) {
    this.name = name;
    this.minIdle = minIdle;
    this.maxThreads = maxThreads;
    this.threads = threads;
    for (int i = 0; i < minIdle; i++) {
      start(null);
    }
  }

  /** Sets the action that each thread runs when it becomes free, so that a waiting task can use it; must not block. */
  public void whenFree(Runnable action) {
    whenFree = action;
  }

  /** Runs a task on a thread of its own; returns false, without running it, if there is no thread at the moment. */
  public boolean execute(Runnable task) {
    return execute(task, 0);
  }

  /**
   * Like {@link #execute(Runnable)}, for a task that no client waits for yet: if no new thread can be started, it
   * leaves half of the threads started in advance to more urgent tasks.
   */
  public boolean executeIfSpare(Runnable task) {
    return execute(task, minIdle / 2);
  }

  private boolean execute(Runnable task, int reserved) {
    CachedThread free;
    lock.lock();
    try {
      free = closed || idle.size() <= reserved ? null : idle.pollLast();
      if (free != null) {
        free.task = task;
      } else if (closed || live >= maxThreads || Clock.micros() < failedAt + retryDelay) {
        return false;
      }
    } finally {
      lock.unlock();
    }
    if (free == null) {
      return start(task);
    }
    free.wakeUp.wake();
    return true;
  }

  private boolean start(Runnable task) {
    CachedThread cached = new CachedThread();
    cached.task = task;
    lock.lock();
    try {
      if (live >= maxThreads) {
        return false;
      }
      live++;
    } finally {
      lock.unlock();
    }
    boolean started = Threads.tryStart(threads.newThread(cached::run));
    lock.lock();
    try {
      live -= started ? 0 : 1;
      if (started) {
        retryDelay = MIN_RETRY_MICROS;
      } else {
        failedStarts++;
        retryDelay = failedAt + 2 * MAX_RETRY_MICROS < Clock.micros()
            ? MIN_RETRY_MICROS
            : Math.min(MAX_RETRY_MICROS, 2 * retryDelay);
        failedAt = Clock.micros();
      }
    } finally {
      lock.unlock();
    }
    return started;
  }

  private void threadEnded() {
    lock.lock();
    try {
      live--;
    } finally {
      lock.unlock();
    }
  }

  /**
   * The part of the threads that one kind of task may use, so that another kind finds some left. Thread safe.
   */
  public final class Share {
    private final int max;
    private final AtomicInteger running = new AtomicInteger();

    private Share(int max) {
      this.max = max;
    }

    /** Like {@link ThreadCache#execute(Runnable)}; returns false also if as many tasks run as may. */
    public boolean execute(Runnable task) {
      return execute(task, 0);
    }

    /** Like {@link ThreadCache#executeIfSpare(Runnable)}; returns false also if as many tasks run as may. */
    public boolean executeIfSpare(Runnable task) {
      return execute(task, minIdle / 2);
    }

    private boolean execute(Runnable task, int reserved) {
      if (running.incrementAndGet() <= max && ThreadCache.this.execute(() -> run(task), reserved)) {
        return true;
      }
      running.decrementAndGet();
      return false;
    }

    private void run(Runnable task) {
      try {
        task.run();
      } finally {
        running.decrementAndGet();
      }
    }

    /** Like {@link ThreadCache#whenFree(Runnable)}. */
    public void whenFree(Runnable action) {
      ThreadCache.this.whenFree(action);
    }

    /** Like {@link ThreadCache#close()}, for all tasks. */
    public void close() {
      ThreadCache.this.close();
    }
  }

  /** Creates a share of at most {@code max} tasks at a time. */
  public Share share(int max) {
    return new Share(max);
  }

  /** Number of threads that wait for a task. */
  public int idle() {
    lock.lock();
    try {
      return idle.size();
    } finally {
      lock.unlock();
    }
  }

  /** Number of failed starts of threads so far. */
  public long failedStarts() {
    lock.lock();
    try {
      return failedStarts;
    } finally {
      lock.unlock();
    }
  }

  /** Ends idle threads at once, and the others after their task. */
  @Override
  public void close() {
    lock.lock();
    try {
      closed = true;
      idle.forEach(cached -> cached.wakeUp.wake());
    } finally {
      lock.unlock();
    }
  }
}
