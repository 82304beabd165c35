package gorseladder.testbed;

import java.util.concurrent.atomic.AtomicInteger;

/** The archive that all runners fetch from: slower when crowded, refusing past a limit. Any thread. */
public final class Archive {
  private final int fullSpeedFetches;
  private final int maxFetches;
  private final AtomicInteger fetching = new AtomicInteger();
  private final AtomicInteger begun = new AtomicInteger();
  private volatile double slowdown = 1;

  /** Serves so many fetches at full speed and refuses past a most. */
  public Archive(int fullSpeedFetches, int maxFetches) {
    this.fullSpeedFetches = fullSpeedFetches;
    this.maxFetches = maxFetches;
  }

  void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Fetches; false where it was refused. */
  boolean fetch(long micros) throws InterruptedException {
    int concurrent = fetching.incrementAndGet();
    try {
      if (concurrent > maxFetches) {
        return false;
      }
      begun.incrementAndGet();
      Thread.sleep((long)
          (micros / 1000.0 * slowdown * Math.max(1, (double) concurrent / fullSpeedFetches)));
      return true;
    } finally {
      fetching.decrementAndGet();
    }
  }

  /** Fetches begun. */
  public int fetchCount() {
    return begun.get();
  }
}
