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
  /** Every combination: never ran is claimed only before the first byte, or on the runner's word. */
  @Test
  void neverRanIsClaimedOnlyWithProof() {
    for (Progress progress : Progress.values()) {
      for (Ending ending : Ending.values()) {
        for (int status = 100; status < 600; status += 1) {
          for (boolean says : new boolean[] {true, false}) {
            boolean left = progress.compareTo(Progress.SENDING) >= 0;
            boolean answer = ending == Ending.RESPONSE || ending == Ending.MALFORMED;
            int code = status;
            if (!left && answer) {
              assertThrows(
                  IllegalArgumentException.class,
                  () -> AttemptOutcomes.of(progress, ending, code, says));
              continue;
            }
            Outcome outcome = AttemptOutcomes.of(progress, ending, status, says);
            boolean proof =
                !left || ending == Ending.RESPONSE && says && (status < 200 || status >= 300);
            assertEquals(
                proof, outcome.neverRan, progress + " " + ending + " " + status + " " + says);
          }
        }
      }
    }
  }

  /** One connection that breaks is no death: the worker's copies are still believed; its last one is. */
  @Test
  void aConnectionThatEndsAloneIsNotAWorkerThatDied() {
    Ending alone = AttemptOutcomes.endingOfConnection(Ending.BROKEN, true);
    assertEquals(Outcome.ERROR, AttemptOutcomes.of(Progress.SENDING, alone, 0, false));
    assertEquals(Outcome.CONNECT_FAILED, AttemptOutcomes.of(Progress.CONNECTED, alone, 0, false));
    assertEquals(
        Outcome.RESET,
        AttemptOutcomes.of(
            Progress.SENDING, AttemptOutcomes.endingOfConnection(Ending.BROKEN, false), 0, false));
    assertEquals(Ending.MALFORMED, AttemptOutcomes.endingOfConnection(Ending.MALFORMED, true));
  }

  /**
   * Peers close and reset what is idle or new: a call that must not run twice goes where something was heard just now.
   */
  @Test
  void unsafeCallsGoWhereAConnectionIsInUse() {
    List<Candidate> idle = List.of(new Candidate(0, 300_000), new Candidate(0, 90_000));
    assertEquals(1, ConnectionChoice.pick(Effect.SAFE, idle, 2), "the one used last");
    assertEquals(-1, ConnectionChoice.pick(Effect.UNSAFE, idle, 2), "both may be about to close");
    assertEquals(1, ConnectionChoice.pick(Effect.UNSAFE, idle, 8), "as many as there may be");
    List<Candidate> busy = List.of(new Candidate(0, 60_000), new Candidate(3, 10_000));
    assertEquals(0, ConnectionChoice.pick(Effect.SAFE, busy, 2));
    assertEquals(1, ConnectionChoice.pick(Effect.UNSAFE, busy, 2));
    List<Candidate> shared = List.of(new Candidate(2, 0), new Candidate(1, 900_000));
    assertEquals(-1, ConnectionChoice.pick(Effect.SAFE, shared, 2), "not one that others are on");
    assertEquals(1, ConnectionChoice.pick(Effect.SAFE, shared, 8));
    assertEquals(-1, ConnectionChoice.pick(Effect.SAFE, List.of(), 0));
  }

  /** A call withdrawn soon after it was sent is no sign that its connection is dead; one long unanswered is. */
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

  /** Each unsafe call opens a connection of its own; kept all, they piled up until no file could be opened. */
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
