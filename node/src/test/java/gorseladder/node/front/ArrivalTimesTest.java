package gorseladder.node.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gorseladder.runtime.ArrivalTimes;
import gorseladder.stalls.StallWatch;
import org.junit.jupiter.api.Test;

class ArrivalTimesTest {
  private static final long ACCEPTED = 1_000_000;

  private final ArrivalTimes times = new ArrivalTimes(now -> now, ACCEPTED);

  private long read(int unread, long checkedAt, int count, long readAt) {
    times.beforeRead(unread, checkedAt);
    times.afterRead(count, readAt);
    return Arrival.of(times).at();
  }

  @Test
  void whatTheFirstReadFindsMayHaveComeSinceItsConnectionWasAccepted() {
    assertEquals(ACCEPTED, read(100, ACCEPTED + 400_000, 100, ACCEPTED + 400_010));
  }

  @Test
  void whatIsWaitedForCameWhenTheReadEnded() {
    assertEquals(ACCEPTED + 900_000, read(0, ACCEPTED + 10, 100, ACCEPTED + 900_000));
  }

  /**
   * Soak seed 973: the thread was busy with the first request for 301 ms, and what arrived meanwhile counted as new.
   */
  @Test
  void whatComesWhileTheThreadIsBusyCountsFromTheReadBefore() {
    long first = ACCEPTED + 50_000;
    assertEquals(first, read(0, ACCEPTED + 10, 100, first));
    long busyUntil = first + 301_000;
    assertEquals(first, read(100, busyUntil, 100, busyUntil + 5));
    assertEquals(busyUntil + 5 + StallWatch.SETTLE_MICROS, Arrival.of(times).clientSeenFrom());
  }

  @Test
  void whatFollowsWhatWasFoundUnreadCountsFromThatLook() {
    read(0, ACCEPTED, 100, ACCEPTED + 10);
    assertEquals(ACCEPTED + 10, read(300, ACCEPTED + 200_000, 200, ACCEPTED + 200_010));
    // The last 100 of the 300 bytes that had arrived by then.
    assertEquals(ACCEPTED + 10, read(500, ACCEPTED + 300_000, 100, ACCEPTED + 300_010));
    // Bytes beyond those arrived after that check.
    assertEquals(ACCEPTED + 200_000, read(400, ACCEPTED + 400_000, 400, ACCEPTED + 400_010));
    assertEquals(ACCEPTED + 400_000, read(10, ACCEPTED + 500_000, 10, ACCEPTED + 500_010));
  }

  @Test
  void aPauseOfTheProcessCountsToo() {
    ArrivalTimes paused = new ArrivalTimes(now -> now - 200_000, ACCEPTED);
    paused.beforeRead(0, ACCEPTED);
    paused.afterRead(100, ACCEPTED + 900_000);
    assertEquals(ACCEPTED + 700_000, Arrival.of(paused).at());
  }
}
