package gorseladder.soak;

import gorseladder.runtime.Clock;
import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;

/**
 * Notices when the soak's own process got no processor for a while: what its clients and runners wrote down as times is late by
 * as much. Each such span is kept, so that the oracle can tell a late dispatcher from a late soak. Any thread.
 */
final class OwnStalls implements Closeable {
  private static final long TICK_MILLIS = 5;
  private static final long STALL = 15_000;
  /** Threads that were held up together come back one after the other. */
  private static final long AFTER = 30_000;

  private final List<Evidence.Span> spans = new ArrayList<>();
  private volatile boolean stopped;
  private long longest;

  OwnStalls() {
    Thread thread = new Thread(this::run, "own-stalls");
    thread.setDaemon(true);
    thread.setPriority(Thread.NORM_PRIORITY);
    thread.start();
  }

  private void run() {
    long before = Clock.micros();
    while (!stopped) {
      try {
        Thread.sleep(TICK_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
      long now = Clock.micros();
      if (now - before > TICK_MILLIS * 1_000 + STALL) {
        synchronized (spans) {
          spans.add(new Evidence.Span(before, now));
          longest = Math.max(longest, now - before);
        }
      }
      before = now;
    }
  }

  /** By how much times in a span may be late at the most. */
  long late(long from, long to) {
    synchronized (spans) {
      return spans.stream()
          .filter(span -> span.from() <= to && span.to() + AFTER >= from)
          .mapToLong(span -> span.to() - span.from())
          .sum();
    }
  }

  /** The longest stall so far, in microseconds. */
  long longest() {
    synchronized (spans) {
      return longest;
    }
  }

  @Override
  public void close() {
    stopped = true;
  }
}
