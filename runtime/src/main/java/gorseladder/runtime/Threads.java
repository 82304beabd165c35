package gorseladder.runtime;

import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Makes platform threads with small stacks: blocking code needs many threads, and each call needs little depth. */
public final class Threads {
  private static final Logger LOG = LoggerFactory.getLogger(Threads.class);

  private static final int START_TRIES = 200;
  private static final long START_PAUSE_MILLIS = 50;
  /** Starts that failed, of all threads. */
  private static final AtomicLong FAILED = new AtomicLong();

  private Threads() {}

  /** A factory of daemon threads named {@code name-0}, {@code name-1} and so on. */
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
   * Starts one thread that the program cannot do without: where the system has none it is tried again, for about ten
   * seconds.
   *
   * @throws OutOfMemoryError where it has none by then
   */
  public static Thread start(String name, int stackBytes, Runnable task) {
    ThreadFactory factory = factory(name, stackBytes);
    for (int tries = 1; tries < START_TRIES; tries++) {
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
   * Runs a task of a thread that has others to run after it: an error of this one is logged and ends nothing else.
   *
   * <p>Guards against threads that end for what is over in a moment: the system has no thread to start or no memory,
   * which Java tells as an Error, or it could not set up a class of its own. It could harm where such an error left
   * state half changed; what the task was about then ends by its time.
   */
  public static void guarded(String name, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      LOG.error("a task of {} failed", name, e);
    }
  }

  /**
   * Starts a thread that the program can do without for a moment; false where the system has none. Has a line for the
   * first failure, and then for each power of two.
   */
  public static boolean tryStart(Thread thread) {
    try {
      thread.start();
      return true;
    } catch (OutOfMemoryError e) {
      long failed = FAILED.incrementAndGet();
      if (Long.bitCount(failed) == 1) {
        LOG.warn("no thread for {}, {} in all: {}", thread.getName(), failed, e.getMessage());
      }
      return false;
    }
  }

  /** A pool that grows up to a bound and keeps idle threads for half a minute; past the bound tasks are rejected. */
  public static ThreadPoolExecutor pool(String name, int most, int stackBytes) {
    return new ThreadPoolExecutor(
        0, most, 30, TimeUnit.SECONDS, new SynchronousQueue<>(), factory(name, stackBytes));
  }
}
