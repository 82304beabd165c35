package gorseladder.runtime;

import java.util.ArrayDeque;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A pool of threads that write the contents of outboxes. A few threads serve all outboxes; if they are blocked by peers
 * that do not read, {@link #growIfBlocked} starts more, up to a maximum.
 *
 * <p>Waking a thread for every message costs more than the write. Therefore one thread, the core's, batches its tasks
 * while it is busy and submits them together with {@link #releaseHeld}.
 *
 * <p>Thread safe; {@link #releaseHeld} is for the batching thread only.
 */
public final class Writers implements Executor, AutoCloseable {
  private static final int INITIAL_THREADS = 3;
  /** Size of a batch that is submitted at once; it keeps a thread busy. */
  private static final int MAX_HELD_TASKS = 16;
  /** Time without a task being taken after which the threads count as blocked. */
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

  /** Creates a pool of at most the given number of threads. */
  public Writers(int maxThreads, int stackBytes) {
    this.maxThreads = maxThreads;
    this.threads = Threads.factory("writer", stackBytes);
    // Started in advance, since the system may have no thread when the first answer is written.
    for (int i = 0; i < Math.min(INITIAL_THREADS, maxThreads); i++) {
      started++;
      startThread();
    }
  }

  /** Submits the calling thread's batched tasks, and batches its later ones until the next invocation. */
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
   * If tasks wait because the threads are blocked, wakes the idle threads, or starts one more; called periodically.
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

  /** Starts a thread that is already counted; if the system has none, a later invocation tries again. */
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

  /** Ends the threads once no task waits. */
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
