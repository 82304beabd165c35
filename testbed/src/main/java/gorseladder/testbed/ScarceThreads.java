package gorseladder.testbed;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** Threads of a machine that has no new ones while it is told so. Any thread. */
public final class ScarceThreads implements ThreadFactory {
  private static final int STACK = 128 << 10;

  private final AtomicInteger next = new AtomicInteger();
  private volatile boolean exhausted;

  /** From now on none can be started, or they can again. */
  public void setExhausted(boolean noThreads) {
    exhausted = noThreads;
  }

  @Override
  public Thread newThread(Runnable task) {
    Thread thread = new Thread(null, task, "scarce-" + next.getAndIncrement(), STACK) {
      @Override
      public synchronized void start() {
        if (exhausted) {
          throw new OutOfMemoryError("no thread is to be had");
        }
        super.start();
      }
    };
    thread.setDaemon(true);
    return thread;
  }
}
