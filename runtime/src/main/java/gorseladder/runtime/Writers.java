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
  private static final int FEW = 3;
  /** Tasks held back at the most; by then a thread is well used. */
  private static final int MOST_HELD = 16;
  /** A task that waited for so long says that the threads are held up. */
  private static final long HELD_UP = 50_000;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition filled = lock.newCondition();
  private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
  private final ArrayDeque<Runnable> held = new ArrayDeque<>();
  private final ThreadFactory threads;
  private final int most;
  private int started;
  private int free;
  private long servedAt = Clock.micros();
  private boolean closed;
  private volatile Thread holder;

  /** So many threads at the most. */
  public Writers(int most, int stackBytes) {
    this.most = most;
    this.threads = Threads.factory("writer", stackBytes);
    // From the start: at the first answer the system may have no thread.
    for (int i = 0; i < Math.min(FEW, most); i++) {
      started++;
      startOne();
    }
  }

  /** Lets go what the calling thread's tasks held back, and holds its later ones back until the next call. */
  public void releaseHeld() {
    holder = Thread.currentThread();
    if (!held.isEmpty()) {
      submit(held);
    }
  }

  @Override
  public void execute(Runnable task) {
    if (Thread.currentThread() == holder) {
      held.addLast(task);
      if (held.size() >= MOST_HELD) {
        submit(held);
      }
      return;
    }
    ArrayDeque<Runnable> one = new ArrayDeque<>(1);
    one.addLast(task);
    submit(one);
  }

  private void submit(ArrayDeque<Runnable> all) {
    boolean more;
    lock.lock();
    try {
      while (!all.isEmpty()) {
        tasks.addLast(all.pollFirst());
      }
      more = free == 0 && started < FEW && !closed;
      started += more ? 1 : 0;
      filled.signal();
    } finally {
      lock.unlock();
    }
    if (more) {
      startOne();
    }
  }

  /**
   * Where tasks wait because the thread that was to do them is held up, wakes those that are free, or starts one more;
   * called now and then.
   */
  public void growIfBlocked() {
    boolean more;
    lock.lock();
    try {
      boolean heldUp = !tasks.isEmpty() && !closed && Clock.micros() - servedAt > HELD_UP;
      more = heldUp && free == 0 && started < most;
      started += more ? 1 : 0;
      if (heldUp) {
        filled.signalAll();
      }
    } finally {
      lock.unlock();
    }
    if (more) {
      startOne();
    }
  }

  /**
   * One thread more, counted already. Where the system has none, those that run go on, and the next look asks again.
   */
  private void startOne() {
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
        free++;
        while (tasks.isEmpty() && !closed) {
          filled.awaitUninterruptibly();
        }
        free--;
        task = tasks.pollFirst();
        servedAt = Clock.micros();
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
      filled.signalAll();
    } finally {
      lock.unlock();
    }
  }
}
