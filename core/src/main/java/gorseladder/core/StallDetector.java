package gorseladder.core;

import gorseladder.runtime.Clock;
import gorseladder.runtime.Watchdog;
import gorseladder.stalls.StallWatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Detects, by a timer, when this process stalled; {@link StallWatch} decides what follows. Thread safe. */
public final class StallDetector {
  private static final Logger LOG = LoggerFactory.getLogger(StallDetector.class);

  private final Watchdog watchdog;
  private final StallWatch watch = new StallWatch(Clock.micros());
  private long stalls;
  private volatile boolean stopped;

  /** Starts the timer. */
  public StallDetector(Watchdog watchdog) {
    this.watchdog = watchdog;
    scheduleTick();
  }

  private void scheduleTick() {
    watchdog.after(StallWatch.TICK_MICROS, () -> {
      if (!stopped) {
        tick();
        scheduleTick();
      }
    });
  }

  private void tick() {
    long stalledFor;
    synchronized (watch) {
      stalledFor = watch.tick(Clock.micros());
      stalls += stalledFor > 0 ? 1 : 0;
    }
    if (stalledFor > 0) {
      LOG.debug("the process stalled for {} ms", stalledFor / 1_000);
    }
  }

  /** The earliest time at which data that is read now may have arrived. */
  public long earliestArrival(long now) {
    synchronized (watch) {
      return watch.earliestArrival(now);
    }
  }

  /** From when on the process knows what its clients did during the last stall; 0 if there was none. */
  public long clientsKnownSince(long now) {
    synchronized (watch) {
      return watch.settledAt(now);
    }
  }

  /** Number of stalls so far. */
  public long stalls() {
    synchronized (watch) {
      return stalls;
    }
  }

  /** Stops the timer. */
  public void stop() {
    stopped = true;
  }
}
