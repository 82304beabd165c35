package gorseladder.testbed;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * The simulated archive from which all runners load copies. It slows down when many fetch at once and refuses fetches
 * over a limit. Thread-safe.
 */
public final class Archive {
  private final int fullSpeedFetches;
  private final int maxFetches;
  private final AtomicInteger fetching = new AtomicInteger();
  private final AtomicInteger begun = new AtomicInteger();
  private volatile double slowdown = 1;

  /**
   * Creates an archive.
   *
   * @param fullSpeedFetches concurrent fetches that it serves at full speed
   * @param maxFetches concurrent fetches beyond which it refuses
   */
  public Archive(int fullSpeedFetches, int maxFetches) {
    this.fullSpeedFetches = fullSpeedFetches;
    this.maxFetches = maxFetches;
  }

  void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Takes as long as a fetch of the given duration at full speed; returns false at once if it is refused. */
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

  /** Returns the number of fetches that were started. */
  public int fetchCount() {
    return begun.get();
  }
}
