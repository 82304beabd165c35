package gorseladder.stops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.stops.StopSequence.Moments;
import gorseladder.stops.StopSequence.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StopSequenceTest {
  private static final long MILLI = 1_000;

  private static Step next(StopSequence stop, long millis, boolean owesAnswers) {
    return stop.next(millis * MILLI, false, () -> owesAnswers);
  }

  @Test
  void heldCallsAreRefusedOnceWhileThereIsTimeToWrite() {
    StopSequence stop = new StopSequence(Moments.within(0, 3_000 * MILLI));
    assertEquals(Step.WAIT, next(stop, 2_599, true));
    assertEquals(Step.REFUSE_HELD_CALLS, next(stop, 2_600, true));
    assertEquals(Step.WAIT, next(stop, 2_605, true));
    assertEquals(Step.WAIT, next(stop, 2_999, true));
    assertEquals(Step.EXIT, next(stop, 3_000, true));
  }

  @Test
  void nothingIsWaitedForOnceEveryoneHasTheirAnswer() {
    StopSequence stop = new StopSequence(Moments.within(0, 3_000 * MILLI));
    assertEquals(Step.WAIT, next(stop, 10, false), "connections are still open");
    assertEquals(Step.EXIT, stop.next(20 * MILLI, true, () -> false));
    assertEquals(Step.REFUSE_HELD_CALLS, next(stop, 2_700, true));
    assertEquals(Step.EXIT, next(stop, 2_705, false));
  }

  /** Guards against an exit without the last answers after a pause of the process past all of its times. */
  @Test
  void aPauseOfTheProcessTakesNoTimeFromWriting() {
    StopSequence stop = new StopSequence(Moments.within(0, 3_000 * MILLI));
    assertEquals(Step.REFUSE_HELD_CALLS, next(stop, 9_000, true));
    assertEquals(Step.WAIT, next(stop, 9_399, true));
    assertEquals(Step.EXIT, next(stop, 9_400, true));
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 1, 200, 3_000, 60_000})
  void theTimeForWritingComesOutOfTheStop(long millis) {
    Moments moments = Moments.within(5, millis * MILLI);
    assertEquals(5 + millis * MILLI, moments.latestExitAt());
    assertTrue(moments.refuseAt() >= 5 + millis * MILLI / 2);
    assertTrue(moments.refuseAt() >= 5 + (millis - 400) * MILLI);
  }
}
