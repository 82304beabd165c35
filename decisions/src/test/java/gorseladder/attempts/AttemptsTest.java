package gorseladder.attempts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Outcome;
import gorseladder.attempts.AttemptOutcomes.Ending;
import gorseladder.attempts.AttemptOutcomes.Progress;
import gorseladder.attempts.ConnectionChoice.Candidate;
import java.util.List;
import org.junit.jupiter.api.Test;

class AttemptsTest {
  /** Over all combinations, "never ran" is reported only before the first byte or if the runner stated it. */
  @Test
  void neverRanIsClaimedOnlyWithProof() {
    for (Progress progress : Progress.values()) {
      for (Ending ending : Ending.values()) {
        for (int status = 100; status < 600; status += 1) {
          for (boolean reported : new boolean[] {true, false}) {
            boolean sent = progress.compareTo(Progress.SENDING) >= 0;
            boolean answer = ending == Ending.RESPONSE || ending == Ending.MALFORMED;
            int finalStatus = status;
            if (!sent && answer) {
              assertThrows(
                  IllegalArgumentException.class,
                  () -> AttemptOutcomes.of(progress, ending, finalStatus, reported));
              continue;
            }
            Outcome outcome = AttemptOutcomes.of(progress, ending, status, reported);
            boolean proof =
                !sent || ending == Ending.RESPONSE && reported && (status < 200 || status >= 300);
            assertEquals(
                proof, outcome.neverRan, progress + " " + ending + " " + status + " " + reported);
          }
        }
      }
    }
  }

  /** One broken connection does not count as the death of the worker while others are open; the last one does. */
  @Test
  void aConnectionThatEndsAloneIsNotAWorkerThatDied() {
    Ending lost = AttemptOutcomes.endingOfConnection(Ending.BROKEN, true);
    assertEquals(Outcome.ERROR, AttemptOutcomes.of(Progress.SENDING, lost, 0, false));
    assertEquals(Outcome.CONNECT_FAILED, AttemptOutcomes.of(Progress.CONNECTED, lost, 0, false));
    assertEquals(
        Outcome.RESET,
        AttemptOutcomes.of(
            Progress.SENDING, AttemptOutcomes.endingOfConnection(Ending.BROKEN, false), 0, false));
    assertEquals(Ending.MALFORMED, AttemptOutcomes.endingOfConnection(Ending.MALFORMED, true));
  }

  /**
   * A call that must not run twice takes a connection used just now, since peers close and reset connections that are
   * idle or new.
   */
  @Test
  void unsafeCallsGoWhereAConnectionIsInUse() {
    List<Candidate> idle = List.of(new Candidate(0, 300_000), new Candidate(0, 90_000));
    assertEquals(1, ConnectionChoice.pick(Effect.SAFE, idle, 2), "the most recently used one");
    assertEquals(
        -1, ConnectionChoice.pick(Effect.UNSAFE, idle, 2), "the peer may be about to close either");
    assertEquals(
        1, ConnectionChoice.pick(Effect.UNSAFE, idle, 8), "no further connection may be opened");
    List<Candidate> busy = List.of(new Candidate(0, 60_000), new Candidate(3, 10_000));
    assertEquals(0, ConnectionChoice.pick(Effect.SAFE, busy, 2));
    assertEquals(1, ConnectionChoice.pick(Effect.UNSAFE, busy, 2));
    List<Candidate> shared = List.of(new Candidate(2, 0), new Candidate(1, 900_000));
    assertEquals(
        -1, ConnectionChoice.pick(Effect.SAFE, shared, 2), "not one that carries other calls");
    assertEquals(1, ConnectionChoice.pick(Effect.SAFE, shared, 8));
    assertEquals(-1, ConnectionChoice.pick(Effect.SAFE, List.of(), 0));
  }

  /** A connection is dead if a call went unanswered for long, not if a call was withdrawn soon after it was sent. */
  @Test
  void onlySilenceRetiresAConnection() {
    assertTrue(ConnectionChoice.remainsUsable(1_000_000, 500_000, 1_100_000));
    assertFalse(ConnectionChoice.remainsUsable(1_000_000, 500_000, 2_000_000));
    assertTrue(ConnectionChoice.remainsUsable(1_000_000, 1_000_001, 2_000_000));
  }

  @Test
  void responses() {
    assertEquals(Outcome.OK, AttemptOutcomes.of(Progress.RESPONDING, Ending.RESPONSE, 200, false));
    assertEquals(Outcome.MISS, AttemptOutcomes.of(Progress.RESPONDING, Ending.RESPONSE, 404, true));
    assertEquals(Outcome.FULL, AttemptOutcomes.of(Progress.RESPONDING, Ending.RESPONSE, 429, true));
    assertEquals(
        Outcome.ERROR, AttemptOutcomes.of(Progress.RESPONDING, Ending.RESPONSE, 429, false));
    assertEquals(
        Outcome.ERROR, AttemptOutcomes.of(Progress.RESPONDING, Ending.RESPONSE, 503, false));
  }

  /** If the connection of every unsafe call were kept, they would pile up until no file could be opened. */
  @Test
  void connectionsOfUnsafeCallsDoNotPileUp() {
    int kept = 0;
    for (int i = 0; i < 1_000; i++) {
      kept += ConnectionChoice.mayKeep(Effect.UNSAFE, kept) ? 1 : 0;
    }
    assertTrue(kept > 0 && kept < 20, "kept " + kept);
    assertTrue(ConnectionChoice.mayKeep(Effect.SAFE, 1_000));
  }

  @Test
  void unsafeCallsTakeOnlyFreshConnections() {
    assertTrue(ConnectionChoice.mayReuse(Effect.SAFE, 99, 100, 0));
    assertFalse(ConnectionChoice.mayReuse(Effect.SAFE, 100, 100, 0));
    assertFalse(ConnectionChoice.mayReuse(Effect.UNSAFE, 0, 100, 0));
    assertTrue(ConnectionChoice.mayReuse(Effect.UNSAFE, 9, 100, 10));
    assertFalse(ConnectionChoice.mayReuse(Effect.UNSAFE, 10, 100, 10));
  }
}
