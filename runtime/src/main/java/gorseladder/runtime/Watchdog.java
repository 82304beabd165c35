package gorseladder.runtime;

import gorseladder.structures.TimerWheel;
import java.util.ArrayDeque;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A timer thread for short tasks, mostly closing sockets whose blocking writes have no timeout of their own. Nearly all
 * timers are cancelled, which a timer wheel makes cheap. Tasks must not block. Thread safe.
 */
public class Watchdog implements AutoCloseable {
  private static final long TICK_MICROS = 1_000;
  private static final long MAX_SLEEP_MICROS = 1_000_000;

  private final ReentrantLock lock = new ReentrantLock();
  private final WakeUp changed = new WakeUp();
  private final TimerWheel<Runnable> wheel = new TimerWheel<>(TICK_MICROS, Clock.micros());
  private final Thread thread;
  /** When the sleeping thread wakes by itself; 0 while it is awake. */
  private long sleepsUntil;

  private boolean closed;
  /** Used by the timer thread only. */
  private boolean ended;

  /** A scheduled task. */
  public final class Timer {
    private final TimerWheel.Node<Runnable> node;

    private Timer(TimerWheel.Node<Runnable> node) {
      this.node = node;
    }

    /** Cancels the task; returns false if it ran or is about to run. */
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

  /** Schedules a task to run once after the given time. */
  public Timer after(long micros, Runnable task) {
    Timer timer;
    boolean sooner;
    lock.lock();
    try {
      long at = Clock.micros() + micros;
      timer = new Timer(wheel.schedule(at, task));
      sooner = at < sleepsUntil;
    } finally {
      lock.unlock();
    }
    if (sooner) {
      changed.wake();
    }
    return timer;
  }

  private void run() {
    ArrayDeque<Runnable> due = new ArrayDeque<>();
    // After a transient lack of memory the next iteration continues; the due tasks are still in the
    // list.
    while (!ended) {
      Threads.guarded("watchdog", () -> runDue(due));
    }
  }

  private void runDue(ArrayDeque<Runnable> due) {
    lock.lock();
    try {
      sleepsUntil = 0;
      ended = closed;
      wheel.advance(Clock.micros(), due::addLast);
    } finally {
      lock.unlock();
    }
    while (!ended && !due.isEmpty()) {
      Runnable task = due.pollFirst();
      Threads.guarded("watchdog", task);
    }
    sleep();
  }

  /** Sleeps until the next timer is due, or a timer is set that is due earlier. */
  private void sleep() {
    long wait;
    lock.lock();
    try {
      long now = Clock.micros();
      sleepsUntil = Math.min(wheel.nextDue(), now + MAX_SLEEP_MICROS);
      wait = closed ? 0 : sleepsUntil - now;
      if (wait > 0) {
        changed.prepareSleep();
      }
    } finally {
      lock.unlock();
    }
    if (wait > 0) {
      changed.sleep(wait * 1_000 + 1);
    }
    ended |= Thread.interrupted();
  }

  @Override
  public void close() {
    lock.lock();
    try {
      closed = true;
    } finally {
      lock.unlock();
    }
    thread.interrupt();
  }
}
