package gorseladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.config.SettingsFile;
import gorseladder.edge.Edge;
import gorseladder.edge.EdgeMain;
import gorseladder.testbed.script.DayScript;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests an edge as a process: signals, exit codes and allowed networks. */
class ProcessTest {
  private static final WebhookClients.Kind UNSAFE = WebhookClients.kinds(
          TestFleet.LATENCY_TARGET_MICROS,
          TestFleet.DEADLINE_MICROS,
          TestFleet.REPEAT_WINDOW_MICROS)
      .get(2);

  @TempDir
  Path dir;

  @Test
  void theFirstSignalAnswersWhatWasTakenAndTheSecondEndsAtOnce() throws Exception {
    try (TestFleet fleet = new TestFleet(
        DayScript.parse("edges = 2; runners = 2; work = 600ms;"), dir, true, line -> {})) {
      WebhookClients clients = fleet.clients();
      CompletableFuture<Tap.Try> call = CompletableFuture.supplyAsync(() -> clients.attempt(
          "msg_stop",
          0,
          UNSAFE,
          clients.payload(UNSAFE, "svc/a"),
          System.currentTimeMillis() / 1000,
          UNSAFE.deadline()));
      awaitArrival(fleet, 1);
      fleet.edgeProcess(0).toHandle().destroy();
      assertEquals(List.of(200), call.get(10, TimeUnit.SECONDS).statuses);
      assertTrue(fleet.edgeProcess(0).waitFor(10, TimeUnit.SECONDS));
      assertEquals(EdgeMain.OK, fleet.edgeProcess(0).exitValue());

      fleet.runners().forEach(r -> r.faults().hang = true);
      CompletableFuture.runAsync(() -> clients.attempt(
          "msg_end",
          1,
          UNSAFE,
          clients.payload(UNSAFE, "svc/a"),
          System.currentTimeMillis() / 1000,
          UNSAFE.deadline()));
      awaitArrival(fleet, 2);
      fleet.edgeProcess(1).toHandle().destroy();
      Thread.sleep(300);
      fleet.edgeProcess(1).toHandle().destroy();
      assertTrue(
          fleet.edgeProcess(1).waitFor(1_500, TimeUnit.MILLISECONDS), "it waited for its call");
      assertEquals(143, fleet.edgeProcess(1).exitValue());
      fleet.runners().forEach(r -> r.faults().hang = false);
    }
  }

  private static void awaitArrival(TestFleet fleet, int count) throws InterruptedException {
    for (int i = 0; i < 500; i++) {
      synchronized (fleet.tap()) {
        if (fleet.tap().arrivals.size() >= count) {
          return;
        }
      }
      Thread.sleep(10);
    }
  }

  @Test
  void aTakenAddressAndBadSettingsHaveTheirExitCodes() throws Exception {
    try (TestFleet fleet =
        new TestFleet(DayScript.parse("edges = 1; runners = 1;"), dir, false, line -> {})) {
      Path file = dir.resolve("second.txtpb");
      String good = Files.readString(fleet.settingsFile(0));
      Files.writeString(file, good.replace("data-0", "data-second"));
      java.io.ByteArrayOutputStream err = new java.io.ByteArrayOutputStream();
      assertEquals(
          EdgeMain.CANNOT_START, EdgeMain.run(file, System.out, new java.io.PrintStream(err)));
      Files.writeString(file, good.replace("whsec_", "whsk_"));
      assertEquals(
          EdgeMain.BAD_SETTINGS, EdgeMain.run(file, System.out, new java.io.PrintStream(err)));
      assertTrue(err.toString().contains("endpoint[0].secret[0]"), err.toString());
    }
  }

  @Test
  void clientsFromOtherNetworksAreTurnedAway() throws Exception {
    try (TestFleet fleet =
        new TestFleet(DayScript.parse("edges = 1; runners = 1;"), dir, false, line -> {})) {
      Path file = dir.resolve("far.txtpb");
      Files.writeString(
          file,
          Files.readString(fleet.settingsFile(0))
              .replace("data-0", "data-far")
              .replace(
                  "allow_network: \"127.0.0.0/8\"",
                  "allow_network: \"10.0.0.0/8\" allow_network: \"2001:db8::/32\"")
              .replaceFirst("listen: \"127.0.0.1:\\d+\"", "listen: \"127.0.0.1:0\"")
              .replaceAll("(?s)peers \\{.*?\\n\\}", ""));
      SettingsFile loaded = Edge.load(file);
      assertEquals(List.of(), loaded.faults());
      try (Edge edge = new Edge(loaded.settings());
          Socket socket = new Socket("127.0.0.1", edge.address().getPort())) {
        socket.setSoTimeout(5_000);
        String answer = new String(socket.getInputStream().readAllBytes());
        assertTrue(
            answer.startsWith("HTTP/1.1 403 ") && answer.contains("forbidden_network"), answer);
      }
    }
  }
}
