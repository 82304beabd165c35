package gorseladder.testbed;

import java.util.concurrent.atomic.AtomicInteger;

/** The archive that all runners fetch from: slower when crowded, refusing past a limit. Any thread. */
public final class Archive {
  private final int atOnce;
  private final int most;
  private final AtomicInteger fetching = new AtomicInteger();
  private final AtomicInteger fetched = new AtomicInteger();
  private volatile double slower = 1;

  /** Serves so many fetches at full speed and refuses past a most. */
  public Archive(int atOnce, int most) {
    this.atOnce = atOnce;
    this.most = most;
  }

  void slower(double factor) {
    slower = factor;
  }

  /** Fetches; false where it was refused. */
  boolean fetch(long micros) throws InterruptedException {
    int crowd = fetching.incrementAndGet();
    try {
      if (crowd > most) {
        return false;
      }
      fetched.incrementAndGet();
      Thread.sleep((long) (micros / 1000.0 * slower * Math.max(1, (double) crowd / atOnce)));
      return true;
    } finally {
      fetching.decrementAndGet();
    }
  }

  /** Fetches begun. */
  public int fetched() {
    return fetched.get();
  }
}
