package gorseladder.core;

import gorseladder.runtime.Clock;
import gorseladder.runtime.Watchdog;
import gorseladder.stalls.StallWatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Notices when this process stood still, by a timer; {@link StallWatch} says what follows. Any thread. */
public final class StallDetector {
  private static final Logger LOG = LoggerFactory.getLogger(StallDetector.class);

  private final Watchdog watchdog;
  private final StallWatch watch = new StallWatch(Clock.micros());
  private long stalls;
  private volatile boolean stopped;

  /** Begins to look. */
  public StallDetector(Watchdog watchdog) {
    this.watchdog = watchdog;
    tickLater();
  }

  private void tickLater() {
    watchdog.after(StallWatch.TICK, () -> {
      if (!stopped) {
        tick();
        tickLater();
      }
    });
  }

  private void tick() {
    long stood;
    synchronized (watch) {
      stood = watch.tick(Clock.micros());
      stalls += stood > 0 ? 1 : 0;
    }
    if (stood > 0) {
      LOG.debug("the process stood still for {} ms", stood / 1_000);
    }
  }

  /** The earliest time at which something may have come that is read now. */
  public long earliestArrival(long now) {
    synchronized (watch) {
      return watch.cameAt(now);
    }
  }

  /** From when on what clients did during the last pause is known; 0 where there was none. */
  public long clientsKnownSince(long now) {
    synchronized (watch) {
      return watch.settledAt(now);
    }
  }

  /** Pauses so far. */
  public long stalls() {
    synchronized (watch) {
      return stalls;
    }
  }

  /** Looks no more. */
  public void stop() {
    stopped = true;
  }
}
