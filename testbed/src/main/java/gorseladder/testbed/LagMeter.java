package gorseladder.testbed;

import gorseladder.runtime.Clock;
import gorseladder.runtime.Threads;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * Measures by how much this machine lets threads wait for a processor, as the oversleep of short sleeps, and when. A
 * call passes about ten threads on its way, so a checker that judges times must not blame an edge for what the machine
 * added around that moment. Any thread may ask.
 */
public final class LagMeter implements AutoCloseable {
  private static final long SLEEP_MILLIS = 2;
  private static final int HOPS = 10;
  /** Oversleeps below this are what every sleep has. */
  private static final long USUAL = 500;
  /** A moment is judged with what was measured within this time of it, either way. */
  private static final long AROUND = 250_000;

  private final ConcurrentSkipListMap<Long, Long> lags = new ConcurrentSkipListMap<>();
  private volatile boolean closed;

  /** Begins to measure. */
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
      if (lag > USUAL) {
        lags.put(began, lag);
      }
    }
  }

  /** What the machine may have added to a call around that moment ({@link Clock#micros()}), in microseconds. */
  public long callLagAt(long at) {
    long most = USUAL;
    // A long stall is found by its end.
    for (Map.Entry<Long, Long> e = lags.floorEntry(at + AROUND);
        e != null && e.getKey() + e.getValue() >= at - AROUND;
        e = lags.lowerEntry(e.getKey())) {
      most = Math.max(most, e.getValue());
    }
    return HOPS * most;
  }

  @Override
  public void close() {
    closed = true;
  }
}
