package gorseladder.runtime;

import gorseladder.structures.TimerWheel;
import java.util.ArrayDeque;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Runs short tasks at a time, from one thread: mostly closing sockets on which a blocking write has no timeout of its
 * own. Nearly all timers are cancelled, which the wheel makes cheap. Tasks must not block. Any thread.
 */
public class Watchdog implements AutoCloseable {
  private static final long TICK_MICROS = 1_000;
  /** The longest sleep, in microseconds. */
  private static final long MAX_SLEEP_MICROS = 1_000_000;

  private final ReentrantLock lock = new ReentrantLock();
  private final WakeUp changed = new WakeUp();
  private final TimerWheel<Runnable> wheel = new TimerWheel<>(TICK_MICROS, Clock.micros());
  private final Thread thread;
  /** When the thread wakes by itself; 0 while it is awake. */
  private long sleepsUntil;

  private boolean closed;
  /** The thread's own. */
  private boolean ended;

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
    // Where there is no memory for a moment the next turn goes on; what is due by then is still in
    // the list.
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

  /** Sleeps until the next timer is due, or one is set that is due before. */
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
