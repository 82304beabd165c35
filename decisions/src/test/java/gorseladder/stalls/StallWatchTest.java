package gorseladder.stalls;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StallWatchTest {
  private static final long START = 1_000_000;
  private static final long PAUSE = 900_000;

  private final StallWatch watch = new StallWatch(START);

  @Test
  void steadyTicksAreNoPause() {
    for (long now = START; now < 2 * START; now += StallWatch.TICK_MICROS + 40_000) {
      assertEquals(0, watch.tick(now));
      assertEquals(now + 3_000, watch.earliestArrival(now + 3_000));
      assertEquals(0, watch.settledAt(now));
    }
  }

  /** The next tick or read detects a pause; what is read soon after it counts as arrived when it began. */
  @Test
  void whatIsReadSoonAfterAPauseMayHaveComeWhenItBegan() {
    long resumedAt = START + PAUSE;
    assertEquals(START, watch.earliestArrival(resumedAt));
    assertEquals(resumedAt + StallWatch.SETTLE_MICROS, watch.settledAt(resumedAt + 1_000));
    assertEquals(0, watch.tick(resumedAt + 2_000));
    assertEquals(START, watch.earliestArrival(resumedAt + StallWatch.SETTLE_MICROS - 1));
    long later = resumedAt + StallWatch.SETTLE_MICROS;
    assertEquals(later, watch.earliestArrival(later));
    assertEquals(0, watch.tick(resumedAt + 27_000));
    assertEquals(PAUSE, watch.tick(resumedAt + 27_000 + PAUSE));
  }
}
