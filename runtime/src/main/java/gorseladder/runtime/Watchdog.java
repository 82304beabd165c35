package gorseladder.runtime;

import gorseladder.structures.TimerWheel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Runs short tasks at a time, from one thread: mostly closing sockets on which a blocking write has no timeout of its own.
 * Nearly all timers are cancelled, which the wheel makes cheap. Tasks must not block. Any thread.
 */
public final class Watchdog implements AutoCloseable {
  private static final long TICK = 1_000;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final TimerWheel<Runnable> wheel = new TimerWheel<>(TICK, Clock.micros());
  private final Thread thread;
  private long sleepsUntil = Long.MAX_VALUE;
  private boolean closed;

  /** A timer that was set. */
  public final class Timer {
    private final TimerWheel.Node<Runnable> node;

    private Timer(TimerWheel.Node<Runnable> node) {
      this.node = node;
    }

    /** Takes the timer back; false where it ran or is about to. */
    public boolean cancel() {
      lock.lock();
      try {
        return wheel.cancel(node);
      } finally {
        lock.unlock();
      }
    }
  }

  /** Starts the thread. */
  public Watchdog(String name, int stackBytes) {
    thread = Threads.start(name, stackBytes, this::run);
  }

  /** Runs the task once after so many microseconds. */
  public Timer after(long micros, Runnable task) {
    lock.lock();
    try {
      long at = Clock.micros() + micros;
      Timer timer = new Timer(wheel.schedule(at, task));
      if (at < sleepsUntil) {
        changed.signal();
      }
      return timer;
    } finally {
      lock.unlock();
    }
  }

  private void run() {
    List<Runnable> due = new ArrayList<>();
    try {
      while (true) {
        lock.lockInterruptibly();
        try {
          if (closed) {
            return;
          }
          wheel.advance(Clock.micros(), due::add);
          if (due.isEmpty()) {
            sleepsUntil = wheel.nextDue();
            long wait = Math.min(sleepsUntil - Clock.micros(), 1_000_000);
            changed.awaitNanos(Math.max(wait, 0) * 1000 + 1);
            sleepsUntil = 0;
          }
        } finally {
          lock.unlock();
        }
        due.forEach(task -> Threads.guarded("watchdog", task));
        due.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    lock.lock();
    try {
      closed = true;
      changed.signal();
    } finally {
      lock.unlock();
    }
    thread.interrupt();
  }
}
