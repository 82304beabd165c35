package gorseladder.stalls;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StallWatchTest {
  private static final long START = 1_000_000;
  private static final long STOOD = 900_000;

  private final StallWatch watch = new StallWatch(START);

  @Test
  void steadyTicksAreNoPause() {
    for (long now = START; now < 2 * START; now += StallWatch.TICK_MICROS + 40_000) {
      assertEquals(0, watch.tick(now));
      assertEquals(now + 3_000, watch.earliestArrival(now + 3_000));
      assertEquals(0, watch.settledAt(now));
    }
  }

  /** Whoever asks first after a pause, the tick or a reader: what is read soon after counts as come when it began. */
  @Test
  void whatIsReadSoonAfterAPauseMayHaveComeWhenItBegan() {
    long woke = START + STOOD;
    assertEquals(START, watch.earliestArrival(woke));
    assertEquals(woke + StallWatch.SETTLE_MICROS, watch.settledAt(woke + 1_000));
    assertEquals(0, watch.tick(woke + 2_000));
    assertEquals(START, watch.earliestArrival(woke + StallWatch.SETTLE_MICROS - 1));
    long later = woke + StallWatch.SETTLE_MICROS;
    assertEquals(later, watch.earliestArrival(later));
    assertEquals(0, watch.tick(woke + 27_000));
    assertEquals(STOOD, watch.tick(woke + 27_000 + STOOD));
  }
}
