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
 * Tests that an edge detects its own rule violations, as the dispatcher does. A late answer, or an attempt after the
 * end of its call, was visible in runs of the test fleet only; an edge in production, where nothing compares its
 * answers with its clients' timeouts, reported neither. The test forces a late answer by a pause of the process that is
 * longer than its client waits.
 */
class EdgeRuleWatchTest {
  private static final Kind SAFE = WebhookClients.kinds(
          TestFleet.LATENCY_TARGET_MICROS,
          TestFleet.DEADLINE_MICROS,
          TestFleet.REPEAT_WINDOW_MICROS)
      .get(0);
  /** Longer than the client waits and than an answer may be late without counting as lost. */
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
    // Without a logging configuration, as in the tests of this module, log lines go to standard
    // output.
    String output =
        Files.readString(dir.resolve("edge-0.err")) + Files.readString(dir.resolve("edge-0.log"));
    assertTrue(output.contains("rule broken: final_answer request="), output);
    assertTrue(output.contains("msg_late answered "), output);
    assertFalse(output.contains("msg_before answered "), output);
  }

  private static Tap.Try send(WebhookClients clients, String id) {
    long stamp = System.currentTimeMillis() / 1_000;
    return clients.attempt(id, 0, SAFE, clients.payload(SAFE, "svc/x"), stamp, SAFE.deadline());
  }
}
