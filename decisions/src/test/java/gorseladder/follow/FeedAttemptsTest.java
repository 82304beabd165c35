package gorseladder.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class FeedAttemptsTest {
  private static final long SILENCE = FollowPace.SILENCE_MICROS;

  private final FeedAttempts attempts = new FeedAttempts(1);

  /** A line with the last known sequence number or a higher one is a sign of life; one with a lower number is not. */
  @Test
  void aFeedIsSilentWhenNoLineTellsAnythingNew() {
    long first = attempts.begin(1_000).number();
    assertEquals(1_000 + SILENCE, attempts.nextAt(1_000));
    assertEquals(List.of(), attempts.lineReceived(first, 7, 7, 500_000));
    assertEquals(500_000 + SILENCE, attempts.nextAt(900_000));
    attempts.lineReceived(first, 6, 7, 1_500_000);
    assertEquals(500_000 + SILENCE, attempts.nextAt(1_500_000));
    attempts.lineReceived(first, 8, 7, 1_600_000);
    assertEquals(1_600_000 + SILENCE, attempts.nextAt(1_600_000));
  }

  /** An answer after 2.6 s must still be accepted, although another connection was opened in the meantime. */
  @Test
  void aSlowFeedIsAskedBesideAndNotInsteadUntilOneTells() {
    long first = attempts.begin(0).number();
    long second = attempts.begin(attempts.nextAt(0)).number();
    assertTrue(attempts.isOpen(first));
    assertEquals(List.of(second), attempts.lineReceived(first, 7, 7, 2_600_000));
    assertFalse(attempts.isOpen(second));
  }

  @Test
  void roomIsMadeByTheOldestThatTellsNothing() {
    long alive = attempts.begin(0).number();
    long second = attempts.begin(SILENCE).number();
    attempts.begin(2 * SILENCE);
    attempts.addressChanged();
    attempts.lineReceived(alive, 7, 7, 3 * SILENCE - 1);
    assertEquals(second, attempts.begin(3 * SILENCE).evicted());
    assertTrue(attempts.isOpen(alive));
  }

  @Test
  void aMoveAsksAtOnceAndKeepsTheOldFeedUntilTheNewOneTells() {
    long oldAddress = attempts.begin(0).number();
    attempts.lineReceived(oldAddress, 7, 7, 100);
    attempts.addressChanged();
    assertTrue(attempts.nextAt(200) <= 200);
    long newAddress = attempts.begin(200).number();
    attempts.lineReceived(oldAddress, 8, 7, 300);
    assertTrue(attempts.isOpen(newAddress));
    assertEquals(List.of(oldAddress), attempts.lineReceived(newAddress, 8, 8, 400));
  }

  @Test
  void afterAnEndItPausesAndAfterManyVainOnesItIsMorePatient() {
    long number = attempts.begin(0).number();
    attempts.ended(number, false, 1_000);
    long next = attempts.nextAt(1_000);
    assertTrue(next > 1_000 && next < 400_000, "paused until " + next);
    long now = next;
    for (int i = 0; i <= FeedAttempts.DOUBLE_TIMEOUT_AFTER; i++) {
      attempts.begin(now);
      now = attempts.nextAt(now);
    }
    attempts.begin(now);
    assertEquals(now + 2 * SILENCE, attempts.nextAt(now));
  }
}
