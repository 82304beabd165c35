package gorseladder.runtime;

import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Creates platform threads with small stacks: blocking code needs many threads with shallow call stacks. */
public final class Threads {
  private static final Logger LOG = LoggerFactory.getLogger(Threads.class);

  private static final int MAX_START_TRIES = 200;
  private static final long START_PAUSE_MILLIS = 50;
  /** Failed starts of all threads. */
  private static final AtomicLong FAILED_STARTS = new AtomicLong();

  private Threads() {}

  /** Creates a factory of daemon threads named {@code name-0}, {@code name-1} and so on. */
  public static ThreadFactory factory(String name, int stackBytes) {
    AtomicLong next = new AtomicLong();
    return task -> {
      Thread thread = new Thread(null, task, name + "-" + next.getAndIncrement(), stackBytes);
      thread.setDaemon(true);
      thread.setUncaughtExceptionHandler(
          (t, e) -> LOG.error("thread {} ended by an error", t.getName(), e));
      return thread;
    };
  }

  /**
   * Starts a thread that the program cannot run without; a failed start is retried for about ten seconds.
   *
   * @throws OutOfMemoryError if the system still has no thread by then
   */
  public static Thread start(String name, int stackBytes, Runnable task) {
    ThreadFactory factory = factory(name, stackBytes);
    for (int tries = 1; tries < MAX_START_TRIES; tries++) {
      Thread thread = factory.newThread(task);
      if (tryStart(thread)) {
        return thread;
      }
      try {
        Thread.sleep(START_PAUSE_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    Thread last = factory.newThread(task);
    last.start();
    return last;
  }

  /**
   * Runs one of several tasks of a thread: an exception or error of the task is logged and does not end the thread.
   *
   * <p>A thread must not end because of a transient problem: a lack of threads or memory, which Java reports as an
   * Error, or a JDK class that failed to initialize. Such an error may leave state half changed; the request concerned
   * then ends by its timeout.
   */
  public static void guarded(String name, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      LOG.error("a task of {} failed", name, e);
    }
  }

  /**
   * Starts a thread that the program can do without for a while; returns false if the system has none. Logs the first
   * failed start and then each one whose count is a power of two.
   */
  public static boolean tryStart(Thread thread) {
    try {
      thread.start();
      return true;
    } catch (OutOfMemoryError e) {
      long failed = FAILED_STARTS.incrementAndGet();
      if (Long.bitCount(failed) == 1) {
        LOG.warn("no thread for {}, {} in all: {}", thread.getName(), failed, e.getMessage());
      }
      return false;
    }
  }

  /** Creates a pool that keeps idle threads for 30 seconds and rejects tasks if all of its threads are busy. */
  public static ThreadPoolExecutor pool(String name, int maxThreads, int stackBytes) {
    return new ThreadPoolExecutor(
        0, maxThreads, 30, TimeUnit.SECONDS, new SynchronousQueue<>(), factory(name, stackBytes));
  }
}
