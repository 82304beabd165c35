package gorseladder.threads;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConnectionWaitTest {
  private static long waits(long time) {
    long waited = 0;
    for (long look = ConnectionWait.retryDelay(0, time);
        look > 0;
        look = ConnectionWait.retryDelay(waited, time - waited)) {
      waited += look;
    }
    return waited;
  }

  @Test
  void anAttemptWaitsForAPartOfItsTimeOnly() {
    assertEquals(250_000, waits(1_000_000));
    assertEquals(20_000, waits(100_000));
  }

  @Test
  void whatHasHardlyAnyTimeIsDecidedAnewAtOnce() {
    assertEquals(0, waits(20_000));
    assertEquals(0, waits(0));
    assertEquals(0, waits(-1));
  }

  @Test
  void fourAttemptsInARowLeaveTimeForTheLast() {
    long left = 1_000_000;
    for (int attempt = 0; attempt < 4; attempt++) {
      left -= waits(left);
    }
    assertTrue(left > 250_000, "left " + left);
  }
}
