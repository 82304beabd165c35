package gorseladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.script.DayScript;
import gorseladder.wire.webhook.Secret;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the webhook front over plain sockets. */
class FrontTest {
  private static final Pattern STATUS = Pattern.compile("HTTP/1.1 (\\d{3}) ");

  @TempDir
  static Path dir;

  private static TestFleet fleet;

  @BeforeAll
  static void start() throws Exception {
    fleet = new TestFleet(
        DayScript.parse("edges = 1; runners = 2; work = 5ms; load = 10ms;"),
        dir,
        false,
        line -> {});
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  private static String signed(String id, String body, String fields) {
    long now = System.currentTimeMillis() / 1000;
    String signature =
        Secret.parse(fleet.secret()).sign(id, now, body.getBytes(StandardCharsets.UTF_8));
    return "POST " + TestFleet.PATH + " HTTP/1.1\r\nHost: e\r\nwebhook-id: " + id
        + "\r\nwebhook-timestamp: " + now + "\r\nwebhook-signature: " + signature + "\r\n" + fields;
  }

  private static String call(String id) {
    String body = "{\"type\":\"hours.read\",\"data\":{\"function\":\"svc/" + id + "\"}}";
    return signed(id, body, "Content-Length: " + body.length() + "\r\n\r\n") + body;
  }

  /** Sends bytes and reads until the edge closes the connection or sends nothing for a while. */
  private static String exchange(String request, boolean expectsClose) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", fleet.edgeAddress(0).getPort())) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      socket.setSoTimeout(expectsClose ? 5_000 : 700);
      StringBuilder all = new StringBuilder();
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[4096];
      try {
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
          all.append(new String(buffer, 0, n, StandardCharsets.UTF_8));
        }
        all.append("<closed>");
      } catch (java.net.SocketTimeoutException e) {
        all.append("<open>");
      }
      return all.toString();
    }
  }

  private static List<Integer> statuses(String answer) {
    List<Integer> all = new ArrayList<>();
    Matcher m = STATUS.matcher(answer);
    while (m.find()) {
      all.add(Integer.parseInt(m.group(1)));
    }
    return all;
  }

  @Test
  void pipelinedRequestsAreAnsweredInTheirOrder() throws IOException {
    String answer = exchange(call("p1") + call("p2") + call("p3"), false);
    assertEquals(List.of(200, 200, 200), statuses(answer));
    assertTrue(
        answer.indexOf(" p1") < answer.indexOf(" p2")
            && answer.indexOf(" p2") < answer.indexOf(" p3"),
        answer);
    assertTrue(answer.endsWith("<open>"));
  }

  @Test
  void chunkedContentAndExpectContinue() throws IOException {
    String body = "{\"type\":\"hours.read\",\"data\":{\"function\":\"svc/c\"}}";
    String chunks = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
    assertEquals(
        List.of(200),
        statuses(
            exchange(signed("c1", body, "Transfer-Encoding: chunked\r\n\r\n") + chunks, false)));
    try (Socket socket = new Socket("127.0.0.1", fleet.edgeAddress(0).getPort())) {
      String head = signed(
          "c2", body, "Expect: 100-continue\r\nContent-Length: " + body.length() + "\r\n\r\n");
      socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      byte[] interim = socket.getInputStream().readNBytes(25);
      assertEquals("HTTP/1.1 100 Continue\r\n\r\n", new String(interim, StandardCharsets.US_ASCII));
      socket.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
      assertTrue(new String(socket.getInputStream().readNBytes(15), StandardCharsets.US_ASCII)
          .contains("200"));
    }
  }

  /** A malformed or ambiguous request gets one answer, and the connection is closed. */
  @ParameterizedTest
  @CsvSource({
    "'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n',400",
    "'Content-Length: 5\r\nContent-Length: 5\r\n',400",
    "'Content-Length: +5\r\n',400",
    "'X: a\n',400",
    "'X: a\r\n b\r\n',400",
    "'Expect: 200\r\nContent-Length: 5\r\n',417",
    "'Transfer-Encoding: gzip\r\n',501",
    "'Content-Length: 99999999\r\n',413"
  })
  void unreadableRequestsAreAnsweredAndClosed(String headers, int status) throws IOException {
    String answer = exchange(
        "POST " + TestFleet.PATH + " HTTP/1.1\r\nHost: e\r\n" + headers + "\r\nhello"
            + call("never"),
        true);
    assertEquals(List.of(status), statuses(answer), answer);
    assertTrue(answer.contains("application/problem+json") && answer.endsWith("<closed>"), answer);
  }

  @Test
  void whatIsWrongIsNamedAndTheConnectionGoesOn() throws IOException {
    String wrongPath = call("w1").replace(TestFleet.PATH + " ", "/none ");
    String get = "GET " + TestFleet.PATH + " HTTP/1.1\r\nHost: e\r\n\r\n";
    String unsigned =
        "POST " + TestFleet.PATH + " HTTP/1.1\r\nHost: e\r\nContent-Length: 2\r\n\r\n{}";
    String tampered = call("w2").replace("hours.read", "hours.raed");
    String body = "{\"type\":\"no.such\",\"data\":{\"function\":\"f\"}}";
    String unknown = signed("w3", body, "Content-Length: " + body.length() + "\r\n\r\n") + body;
    String malformed = signed("w4", "{", "Content-Length: 1\r\n\r\n") + "{";
    String answer =
        exchange(wrongPath + get + unsigned + tampered + unknown + malformed + call("w5"), false);
    assertEquals(List.of(404, 405, 401, 401, 422, 400, 200), statuses(answer), answer);
    assertTrue(!answer.contains("Retry-After"));
  }

  @Test
  void aSlowSenderIsAnsweredAndClosedAndOthersAreServedMeanwhile() throws Exception {
    String request = call("slow");
    try (Socket socket = new Socket("127.0.0.1", fleet.edgeAddress(0).getPort())) {
      socket.setSoTimeout(10_000);
      for (int i = 0; i < 5; i++) {
        socket
            .getOutputStream()
            .write(request.substring(i, i + 1).getBytes(StandardCharsets.US_ASCII));
        Thread.sleep(100);
      }
      assertEquals(List.of(200), statuses(exchange(call("quick"), false)));
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertEquals(List.of(408), statuses(answer), answer);
    }
  }

  @Test
  void anOldVersionGetsItsAnswerAndAClose() throws IOException {
    assertTrue(exchange(call("old").replace("HTTP/1.1", "HTTP/1.0"), true).endsWith("<closed>"));
    assertEquals(List.of(505), statuses(exchange("GET / HTTP/2.0\r\n\r\n", true)));
  }

  @Test
  void aClientThatLeavesFreesItsCall() throws Exception {
    long before = fleet.edgeInProcess(0).counts().getOrDefault("gone", 0L);
    fleet.runners().forEach(r -> r.faults().hang = true);
    try (Socket socket = new Socket("127.0.0.1", fleet.edgeAddress(0).getPort())) {
      socket.getOutputStream().write(call("gone").getBytes(StandardCharsets.UTF_8));
      Thread.sleep(100);
    }
    for (int i = 0;
        i < 100 && fleet.edgeInProcess(0).counts().getOrDefault("gone", 0L) == before;
        i++) {
      Thread.sleep(20);
    }
    fleet.runners().forEach(r -> r.faults().hang = false);
    assertEquals(before + 1, fleet.edgeInProcess(0).counts().get("gone"));
    assertEquals(List.of(200), statuses(exchange(call("after"), false)));
  }

  @Test
  void preferWaitShortensTheClientsPatience() throws IOException {
    fleet.runners().forEach(r -> r.faults().hang = true);
    long sentNanos = System.nanoTime();
    String answer = exchange(
        call("wait").replace("Host: e", "Host: e\r\nPrefer: wait=1\r\nConnection: close"), true);
    fleet.runners().forEach(r -> r.faults().hang = false);
    long millis = (System.nanoTime() - sentNanos) / 1_000_000;
    assertTrue(millis >= 900 && millis < 2_900, millis + " ms");
    assertEquals(List.of(503), statuses(answer), "a safe call may be refused");
  }

  @Test
  void theFirstFaultOfASettingsFileIsNotTheOnlyOneNamed() throws IOException {
    Path bad = dir.resolve("bad.txtpb");
    Files.writeString(
        bad, Files.readString(fleet.settingsFile(0)).replace("aim_ms: 1000", "aim_ms: 0"));
    assertEquals(3, gorseladder.edge.Edge.load(bad).faults().size());
  }
}
