package gorseladder.answers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.Outcome;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class AnswersTest {
  @Test
  void failuresNeverInviteARetry() {
    for (Reason r : Reason.values()) {
      boolean harmless = r.kind == Reason.Kind.REFUSED
          || r == Reason.BUSY
          || r == Reason.OVERLOADED
          || r == Reason.STOPPING
          || r == Reason.LEDGER_UNAVAILABLE;
      assertEquals(harmless, r.invitesRetry(), r.name());
      assertFalse(r.invitesRetry() && r.status != 429 && r.status != 503, r.name());
      assertFalse(r.kind == Reason.Kind.FAILED && r.status != 502 && r.status != 504, r.name());
    }
  }

  @Test
  void endingsAreNamedByWhatStoodInTheWay() {
    assertEquals(Reason.REFUSED_UNSENT, FinalReasons.ofRefusal(List.of()));
    assertEquals(Reason.REFUSED_FULL, FinalReasons.ofRefusal(List.of(Outcome.MISS, Outcome.FULL)));
    assertEquals(Reason.REFUSED_COLD, FinalReasons.ofRefusal(List.of(Outcome.MISS)));
    assertEquals(Reason.REFUSED_HARMLESS, FinalReasons.ofRefusal(List.of(Outcome.RESET)));
    assertEquals(
        Reason.REFUSED_HARMLESS, FinalReasons.ofRefusal(Arrays.asList(Outcome.FULL, null)));
    assertEquals(Reason.FAILED_TIMEOUT, FinalReasons.ofFailure(Arrays.asList((Outcome) null)));
    assertEquals(Reason.FAILED_RESET, FinalReasons.ofFailure(List.of(Outcome.RESET, Outcome.FULL)));
    assertEquals(Reason.FAILED_ERROR, FinalReasons.ofFailure(List.of(Outcome.MISS, Outcome.ERROR)));
    assertEquals(Reason.FAILED_OVERDUE, FinalReasons.ofFailure(List.of()));
  }

  @Test
  void adviceGrowsWithRefusalsAndStaysInBounds() {
    RetryAdvice advice = new RetryAdvice(10_000_000, 3);
    assertEquals(1, advice.seconds());
    int sum = 0;
    for (int i = 0; i < 500; i++) {
      advice.record(true);
      int seconds = advice.seconds();
      assertTrue(seconds >= 1 && seconds <= 10);
      sum += i >= 400 ? seconds : 0;
    }
    assertTrue(sum > 500, "long waits while all is refused");
    for (int i = 0; i < 500; i++) {
      advice.record(false);
    }
    assertEquals(1, advice.seconds());
  }
}
