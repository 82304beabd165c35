package gorseladder.testbed;

import gorseladder.runtime.Threads;

/**
 * Measures by how much this machine lets threads wait for a processor, as the oversleep of short sleeps. A call passes about
 * ten threads on its way, so a checker that judges times must not blame an edge for what the machine added.
 */
public final class LagMeter implements AutoCloseable {
  private static final long SLEEP_MILLIS = 2;
  private static final int HOPS = 10;

  private volatile long most;
  private volatile boolean closed;

  /** Begins to measure. */
  public LagMeter() {
    Threads.start("lag", 64 << 10, this::run);
  }

  private void run() {
    while (!closed) {
      long began = System.nanoTime();
      try {
        Thread.sleep(SLEEP_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
      most = Math.max(most, (System.nanoTime() - began) / 1000 - SLEEP_MILLIS * 1000);
    }
  }

  /** The longest wait so far, in microseconds. */
  public long most() {
    return most;
  }

  /** What the machine may have added to a call, in microseconds. */
  public long ofACall() {
    return most * HOPS;
  }

  @Override
  public void close() {
    closed = true;
  }
}
