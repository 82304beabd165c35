package gorseladder.testbed;

import gorseladder.runtime.Clock;
import gorseladder.runtime.Threads;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * Records when and for how long the machine makes threads wait for a processor, measured as the oversleep of short
 * sleeps. A call passes through about ten threads, so a checker of times must not blame an edge for a delay that the
 * machine added around that moment. Queries are thread-safe.
 */
public final class LagMeter implements AutoCloseable {
  private static final long SLEEP_MILLIS = 2;
  private static final int HANDOVERS_PER_CALL = 10;
  /** Every sleep may oversleep by this much; shorter delays are not recorded. */
  private static final long NORMAL_OVERSLEEP_MICROS = 500;
  /** A query covers the delays measured within this time before and after its moment. */
  private static final long WINDOW_MICROS = 250_000;

  private final ConcurrentSkipListMap<Long, Long> lags = new ConcurrentSkipListMap<>();
  private volatile boolean closed;

  /** Starts the measuring thread. */
  public LagMeter() {
    Threads.start("lag", 64 << 10, this::run);
  }

  private void run() {
    while (!closed) {
      long began = Clock.micros();
      try {
        Thread.sleep(SLEEP_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
      long lag = Clock.micros() - began - SLEEP_MILLIS * 1000;
      if (lag > NORMAL_OVERSLEEP_MICROS) {
        lags.put(began, lag);
      }
    }
  }

  /**
   * Returns the microseconds that the machine may have added to a call around the given time ({@link
   * Clock#micros()}).
   */
  public long callLagAt(long at) {
    long maxLag = NORMAL_OVERSLEEP_MICROS;
    // A long stall that began before the window counts if it ended within it.
    for (Map.Entry<Long, Long> e = lags.floorEntry(at + WINDOW_MICROS);
        e != null && e.getKey() + e.getValue() >= at - WINDOW_MICROS;
        e = lags.lowerEntry(e.getKey())) {
      maxLag = Math.max(maxLag, e.getValue());
    }
    return HANDOVERS_PER_CALL * maxLag;
  }

  @Override
  public void close() {
    closed = true;
  }
}
