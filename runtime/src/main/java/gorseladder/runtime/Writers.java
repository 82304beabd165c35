package gorseladder.runtime;

import java.util.ArrayDeque;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Threads that write what gathered in outboxes. A few look after all; where they are held up by peers that do not read,
 * more are started, up to a bound, at the next {@link #relieve}.
 *
 * <p>Waking a thread for every message costs more than the write. So one thread, the core's, holds its tasks back while
 * it has more to do and lets them go together with {@link #release}.
 *
 * <p>Any thread; {@link #release} is the holder's own.
 */
public final class Writers implements Executor, AutoCloseable {
  private static final int INITIAL_THREADS = 3;
  /** Tasks held back at the most; by then a thread is well used. */
  private static final int MAX_HELD_TASKS = 16;
  /** A task that waited for so long says that the threads are held up. */
  private static final long BLOCKED_AFTER_MICROS = 50_000;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition notEmpty = lock.newCondition();
  private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
  private final ArrayDeque<Runnable> held = new ArrayDeque<>();
  private final ThreadFactory threads;
  private final int maxThreads;
  private int started;
  private int idle;
  private long lastTakenAt = Clock.micros();
  private boolean closed;
  private volatile Thread batchingThread;

  /** So many threads at the most. */
  public Writers(int maxThreads, int stackBytes) {
    this.maxThreads = maxThreads;
    this.threads = Threads.factory("writer", stackBytes);
    // From the start: at the first answer the system may have no thread.
    for (int i = 0; i < Math.min(INITIAL_THREADS, maxThreads); i++) {
      started++;
      startThread();
    }
  }

  /** Lets go what the calling thread's tasks held back, and holds its later ones back until the next call. */
  public void releaseHeld() {
    batchingThread = Thread.currentThread();
    if (!held.isEmpty()) {
      submit(held);
    }
  }

  @Override
  public void execute(Runnable task) {
    if (Thread.currentThread() == batchingThread) {
      held.addLast(task);
      if (held.size() >= MAX_HELD_TASKS) {
        submit(held);
      }
      return;
    }
    ArrayDeque<Runnable> single = new ArrayDeque<>(1);
    single.addLast(task);
    submit(single);
  }

  private void submit(ArrayDeque<Runnable> all) {
    boolean needsThread;
    lock.lock();
    try {
      while (!all.isEmpty()) {
        tasks.addLast(all.pollFirst());
      }
      needsThread = idle == 0 && started < INITIAL_THREADS && !closed;
      started += needsThread ? 1 : 0;
      notEmpty.signal();
    } finally {
      lock.unlock();
    }
    if (needsThread) {
      startThread();
    }
  }

  /**
   * Where tasks wait because the thread that was to do them is held up, wakes those that are free, or starts one more;
   * called now and then.
   */
  public void growIfBlocked() {
    boolean needsThread;
    lock.lock();
    try {
      boolean blocked =
          !tasks.isEmpty() && !closed && Clock.micros() - lastTakenAt > BLOCKED_AFTER_MICROS;
      needsThread = blocked && idle == 0 && started < maxThreads;
      started += needsThread ? 1 : 0;
      if (blocked) {
        notEmpty.signalAll();
      }
    } finally {
      lock.unlock();
    }
    if (needsThread) {
      startThread();
    }
  }

  /**
   * One thread more, counted already. Where the system has none, those that run go on, and the next look asks again.
   */
  private void startThread() {
    if (Threads.tryStart(threads.newThread(this::run))) {
      return;
    }
    lock.lock();
    try {
      started--;
    } finally {
      lock.unlock();
    }
  }

  private void run() {
    while (true) {
      Runnable task;
      lock.lock();
      try {
        idle++;
        while (tasks.isEmpty() && !closed) {
          notEmpty.awaitUninterruptibly();
        }
        idle--;
        task = tasks.pollFirst();
        lastTakenAt = Clock.micros();
      } finally {
        lock.unlock();
      }
      if (task == null) {
        return;
      }
      Threads.guarded("writer", task);
    }
  }

  /** Ends the threads once nothing waits. */
  @Override
  public void close() {
    lock.lock();
    try {
      closed = true;
      notEmpty.signalAll();
    } finally {
      lock.unlock();
    }
  }
}
