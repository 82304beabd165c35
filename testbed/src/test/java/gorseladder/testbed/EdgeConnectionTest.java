package gorseladder.testbed;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.runtime.Clock;
import gorseladder.testbed.script.DayScript;
import gorseladder.wire.webhook.Secret;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a client's connection to an edge over a plain socket while all runners hang. Times are in microseconds. */
class EdgeConnectionTest {
  /** Latest start of an attempt after its client left, including the slack of every limit. */
  private static final long CLIENT_GONE_SLACK = 150_000;

  private static final long SECOND = 1_000_000;

  @TempDir
  Path dir;

  private final LagMeter lag = new LagMeter();
  private TestFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = new TestFleet(DayScript.parse("runners = 3; edges = 1;"), dir, false, line -> {});
    fleet.runners().forEach(runner -> runner.faults().hang = true);
  }

  @AfterEach
  void stop() {
    lag.close();
    fleet.close();
  }

  /** Guards against another attempt after the client has left, because the edge checked its connection too rarely. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void noAttemptBeginsMuchAfterItsClientLeft(boolean pipelines) throws Exception {
    long leftAt;
    try (Socket client = new Socket("127.0.0.1", fleet.edgeAddress(0).getPort())) {
      client.getOutputStream().write(signed("msg_leaves", ""));
      if (pipelines) {
        client.getOutputStream().write(signed("msg_behind", ""));
      }
      Thread.sleep(400);
      client.setSoLinger(true, 0);
      leftAt = Clock.micros();
    }
    Thread.sleep(200);
    String last = lastRunner();
    fleet.runners().stream()
        .filter(runner -> runner.id().equals(last))
        .forEach(StandInRunner::crash);
    Thread.sleep(600);
    synchronized (fleet.tap()) {
      fleet
          .tap()
          .arrivals
          .forEach(attempt -> assertTrue(
              attempt.at <= leftAt + CLIENT_GONE_SLACK + lag.callLagAt(attempt.at),
              () -> "began " + (attempt.at - leftAt) / 1_000 + " ms after its client left"));
    }
  }

  private String lastRunner() {
    synchronized (fleet.tap()) {
      return fleet.tap().arrivals.get(fleet.tap().arrivals.size() - 1).runner;
    }
  }

  /** Guards against a timeout that starts only when the previous request on the connection is answered. */
  @Test
  void aPipelinedRequestsTimeBeginsWhenItComes() throws Exception {
    try (Socket client = new Socket("127.0.0.1", fleet.edgeAddress(0).getPort())) {
      long sentAt = Clock.micros();
      client.getOutputStream().write(signed("msg_first", "Prefer: wait=1\r\n"));
      client.getOutputStream().write(signed("msg_behind", "Prefer: wait=2\r\n"));
      StringBuilder answers = new StringBuilder();
      byte[] buffer = new byte[4_096];
      while (answers.toString().split("HTTP/1.1 5").length < 3) {
        int count = client.getInputStream().read(buffer);
        assertTrue(count > 0, answers::toString);
        answers.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
      }
      long lateBy = Clock.micros() - sentAt - 2 * SECOND;
      assertTrue(
          lateBy < Play.BASE_SLACK_MICROS + lag.callLagAt(Clock.micros()),
          lateBy / 1_000 + " ms late");
    }
  }

  /** Returns a signed request with these additional header fields. */
  private byte[] signed(String id, String fields) {
    String body = "{\"type\":\"hours.read\",\"data\":{\"function\":\"svc/x\"}}";
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    long stamp = System.currentTimeMillis() / 1_000;
    String signature = Secret.parse(fleet.secret()).sign(id, stamp, bytes);
    String head = "POST " + TestFleet.PATH + " HTTP/1.1\r\nHost: edge\r\n"
        + "webhook-id: " + id + "\r\n"
        + "webhook-timestamp: " + stamp + "\r\n"
        + "webhook-signature: " + signature + "\r\n"
        + fields
        + "Content-Length: " + bytes.length + "\r\n\r\n";
    return (head + body).getBytes(StandardCharsets.UTF_8);
  }
}
