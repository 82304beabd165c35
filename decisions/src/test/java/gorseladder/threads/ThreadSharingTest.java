package gorseladder.threads;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gorseladder.threads.ThreadSharing.Holder;
import java.util.List;
import org.junit.jupiter.api.Test;

class ThreadSharingTest {
  private static final long SHORT_WAIT = 20_000;
  private static final long LONG_WAIT = 250_000;

  @Test
  void whatIsNotNeededGoesFirstThenWhatWasIdleLongest() {
    Holder recentlyUsed = new Holder(5_000, false);
    Holder idle = new Holder(150_000, false);
    Holder longestIdle = new Holder(900_000, false);
    Holder spare = new Holder(1_000, true);
    assertEquals(2, ThreadSharing.pick(List.of(recentlyUsed, idle, longestIdle), SHORT_WAIT));
    assertEquals(1, ThreadSharing.pick(List.of(longestIdle, spare), SHORT_WAIT));
  }

  @Test
  void whatWasUsedJustNowKeepsItsThreadUnlessSomebodyHasWaitedForLong() {
    List<Holder> recentlyUsed = List.of(new Holder(5_000, false), new Holder(40_000, false));
    assertEquals(-1, ThreadSharing.pick(recentlyUsed, SHORT_WAIT));
    assertEquals(1, ThreadSharing.pick(recentlyUsed, LONG_WAIT));
    assertEquals(-1, ThreadSharing.pick(List.of(new Holder(5_000, false)), LONG_WAIT));
    assertEquals(-1, ThreadSharing.pick(List.of(), LONG_WAIT));
  }
}
