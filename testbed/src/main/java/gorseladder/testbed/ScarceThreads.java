package gorseladder.testbed;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** A thread factory that can simulate a machine without free threads. Thread-safe. */
public final class ScarceThreads implements ThreadFactory {
  private static final int STACK = 128 << 10;

  private final AtomicInteger next = new AtomicInteger();
  private volatile boolean exhausted;

  /** While true, no thread can be started. */
  public void setExhausted(boolean noThreads) {
    exhausted = noThreads;
  }

  @Override
  public Thread newThread(Runnable task) {
    Thread thread = new Thread(null, task, "scarce-" + next.getAndIncrement(), STACK) {
      @Override
      public synchronized void start() {
        if (exhausted) {
          throw new OutOfMemoryError("no thread is available");
        }
        super.start();
      }
    };
    thread.setDaemon(true);
    return thread;
  }
}
