package gorseladder.threads;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConnectionWaitTest {
  private static long totalWait(long timeLeft) {
    long waited = 0;
    for (long delay = ConnectionWait.retryDelay(0, timeLeft);
        delay > 0;
        delay = ConnectionWait.retryDelay(waited, timeLeft - waited)) {
      waited += delay;
    }
    return waited;
  }

  @Test
  void anAttemptWaitsForAPartOfItsTimeOnly() {
    assertEquals(250_000, totalWait(1_000_000));
    assertEquals(20_000, totalWait(100_000));
  }

  @Test
  void whatHasHardlyAnyTimeIsDecidedAnewAtOnce() {
    assertEquals(0, totalWait(20_000));
    assertEquals(0, totalWait(0));
    assertEquals(0, totalWait(-1));
  }

  @Test
  void fourAttemptsInARowLeaveTimeForTheLast() {
    long remaining = 1_000_000;
    for (int attempt = 0; attempt < 4; attempt++) {
      remaining -= totalWait(remaining);
    }
    assertTrue(remaining > 250_000, "left " + remaining);
  }
}
