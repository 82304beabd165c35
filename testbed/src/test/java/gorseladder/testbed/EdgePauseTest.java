package gorseladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.WebhookClients.Kind;
import gorseladder.testbed.script.DayScript;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against late answers after a pause of the edge's process. Requests that arrived during the pause were read
 * after it and counted as new then, so that their answers were late by the length of the pause. Seen in test fleet runs
 * beside busy processes: answers at +1987 and +1997 ms of the edge's own time for clients that waited 2,000 ms, on
 * connections accepted 100 ms after they were established. The dispatcher detected its pauses, the edge did not.
 */
class EdgePauseTest {
  private static final Kind SAFE = WebhookClients.kinds(
          TestFleet.LATENCY_TARGET_MICROS,
          TestFleet.DEADLINE_MICROS,
          TestFleet.REPEAT_WINDOW_MICROS)
      .get(0);
  private static final long PAUSE_MILLIS = 1_200;

  @TempDir
  Path dir;

  private final LagMeter lag = new LagMeter();

  @Test
  void whatCameDuringAPauseIsAnsweredByTheTimeItsClientWaits() throws Exception {
    try (TestFleet fleet =
        new TestFleet(DayScript.parse("runners = 2; edges = 1;"), dir, true, line -> {})) {
      WebhookClients clients = fleet.clients();
      assertEquals("served", send(clients, "msg_before").reason);
      fleet.runners().forEach(runner -> runner.faults().hang = true);
      signal(fleet, "STOP");
      CompletableFuture<Tap.Try> kept = sendAsync(clients, "msg_kept_connection");
      CompletableFuture<Tap.Try> fresh = sendAsync(fleet.clients(), "msg_new_connection");
      Thread.sleep(PAUSE_MILLIS);
      signal(fleet, "CONT");
      assertInTime(kept.get());
      assertInTime(fresh.get());
    } finally {
      lag.close();
    }
  }

  /** Sends a signal to the process of the only edge. */
  static void signal(TestFleet fleet, String name) throws IOException, InterruptedException {
    String pid = Long.toString(fleet.edgeProcess(0).pid());
    assertEquals(0, new ProcessBuilder("kill", "-" + name, pid).start().waitFor());
  }

  private static CompletableFuture<Tap.Try> sendAsync(WebhookClients clients, String id) {
    return CompletableFuture.supplyAsync(() -> send(clients, id));
  }

  private static Tap.Try send(WebhookClients clients, String id) {
    long stamp = System.currentTimeMillis() / 1_000;
    return clients.attempt(id, 0, SAFE, clients.payload(SAFE, "svc/x"), stamp, SAFE.deadline());
  }

  private void assertInTime(Tap.Try attempt) {
    long late = attempt.answeredAt - attempt.sentAt - attempt.clientTimeout;
    assertTrue(
        late <= Play.BASE_SLACK_MICROS + lag.callLagAt(attempt.answeredAt),
        attempt.message + " " + attempt.reason + " came " + late / 1_000 + " ms too late");
  }
}
