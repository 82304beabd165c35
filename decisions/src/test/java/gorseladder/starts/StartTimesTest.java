package gorseladder.starts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.starts.StartTimes.ClockReading;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StartTimesTest {
  private static final long SECOND = 1_000_000;
  private static final long HOUR = 3_600 * SECOND;
  private static final long EPOCH = 1_800_000_000L * SECOND;

  private final StartTimes starts = new StartTimes();

  /** The clocks after a number of seconds, with the wall clock stepped by {@code step}. */
  private static ClockReading at(long seconds, long step) {
    return new ClockReading(HOUR + seconds * SECOND, EPOCH + seconds * SECOND + step);
  }

  private static long stamp(long seconds, long step) {
    return at(seconds, step).wall() / 1_000;
  }

  private long age(long stampMillis, ClockReading now, long absentAt) {
    return now.monotonic() - starts.startedAt("w", stampMillis, now, absentAt);
  }

  @Test
  void withoutAStepTheStampTellsTheAge() {
    assertEquals(3 * SECOND, age(stamp(5, 0), at(8, 0), at(7, 0).monotonic()));
    assertEquals(0, starts.startedAt("old", 0, at(8, 0), StartTimes.ALWAYS_LISTED));
    assertEquals(0, new StartTimes().startedAt("o", -1, at(8, 0), StartTimes.ALWAYS_LISTED));
  }

  /** A step of both wall clocks, or only of the one of this process, before or after the worker starts. */
  @ParameterizedTest
  @ValueSource(longs = {HOUR, -HOUR, 5 * SECOND, -5 * SECOND})
  void aStepMakesNoWorkerOlder(long step) {
    starts.observe(at(0, 0));
    assertEquals(SECOND, age(stamp(9, step), at(10, step), at(9, step).monotonic()));
    assertEquals(2 * SECOND, age(stamp(8, 0), at(10, step), at(9, 0).monotonic()));
  }

  /**
   * With only the clock of the other machine stepped, a worker cannot be older than its absence from the list allows.
   */
  @ParameterizedTest
  @ValueSource(longs = {HOUR, -HOUR})
  void aStampOfAnotherClockMakesNoWorkerOlderThanTheListAllows(long step) {
    assertEquals(0, age(stamp(9, step), at(10, 0), at(9, 0).monotonic()));
  }

  /** If the last list without the worker is old, the worker may be almost as old. */
  @Test
  void aWorkerToldLateKeepsItsAge() {
    assertEquals(25 * SECOND, age(stamp(5, 0), at(30, 0), at(4, 0).monotonic()));
    assertEquals(
        HOUR / 2,
        new ClockReading(2 * HOUR, EPOCH).monotonic()
            - starts.startedAt(
                "first",
                (EPOCH - HOUR / 2) / 1_000,
                new ClockReading(2 * HOUR, EPOCH),
                StartTimes.ALWAYS_LISTED));
  }

  /** A stamp keeps its start over a clock step and a short absence; a new stamp is a new start. */
  @Test
  void aStartStaysAndANewStampIsANewOne() {
    long first = starts.startedAt("w", stamp(5, 0), at(6, 0), at(4, 0).monotonic());
    assertEquals(first, starts.startedAt("w", stamp(5, 0), at(9, HOUR), at(8, 0).monotonic()));
    starts.forget("w"::equals);
    assertEquals(first, starts.startedAt("w", stamp(5, 0), at(20, 0), at(19, 0).monotonic()));
    assertTrue(starts.startedAt("w", stamp(21, 0), at(21, 0), at(20, 0).monotonic()) > first);
  }
}
