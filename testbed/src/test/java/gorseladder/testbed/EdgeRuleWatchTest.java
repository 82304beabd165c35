package gorseladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.WebhookClients.Kind;
import gorseladder.testbed.script.DayScript;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What an edge finds out about itself. In service nobody stands beside an edge and compares its answers with its
 * clients' times: a late answer, or an attempt after the end of its call, was seen in days of the test fleet only, and
 * an edge in service said nothing of either. It has the second look at the rules that the dispatcher has. Forced here
 * by a process that stands still for longer than its client waits.
 */
class EdgeRuleWatchTest {
  private static final Kind SAFE = WebhookClients.kinds(
          TestFleet.LATENCY_TARGET_MICROS,
          TestFleet.DEADLINE_MICROS,
          TestFleet.REPEAT_WINDOW_MICROS)
      .get(0);
  /** By so much longer than the client waits and than an answer may be late without being lost. */
  private static final long PAUSE_MILLIS = TestFleet.DEADLINE_MICROS / 1_000 + 1_500;

  @TempDir
  Path dir;

  @Test
  void anAnswerLongAfterItsTimeIsTold() throws Exception {
    try (TestFleet fleet =
        new TestFleet(DayScript.parse("runners = 2; edges = 1;"), dir, true, line -> {})) {
      WebhookClients clients = fleet.clients();
      assertEquals("served", send(clients, "msg_before").reason);
      EdgePauseTest.signal(fleet, "STOP");
      CompletableFuture<Tap.Try> late =
          CompletableFuture.supplyAsync(() -> send(clients, "msg_late"));
      Thread.sleep(PAUSE_MILLIS);
      EdgePauseTest.signal(fleet, "CONT");
      assertTrue(late.get().answeredAt > late.get().sentAt + late.get().clientTimeout, "not late");
      fleet.stopEdge(0);
    }
    // Where logging is not configured, as in tests of this module, it goes to standard output.
    String said =
        Files.readString(dir.resolve("edge-0.err")) + Files.readString(dir.resolve("edge-0.log"));
    assertTrue(said.contains("rule broken: final_answer request="), said);
    assertTrue(said.contains("msg_late answered "), said);
    assertFalse(said.contains("msg_before answered "), said);
  }

  private static Tap.Try send(WebhookClients clients, String id) {
    long stamp = System.currentTimeMillis() / 1_000;
    return clients.attempt(id, 0, SAFE, clients.payload(SAFE, "svc/x"), stamp, SAFE.deadline());
  }
}
