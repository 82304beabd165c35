package gorseladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.script.DayScript;
import gorseladder.wire.webhook.Secret;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that an edge releases the memory of a message exactly once, however its request ends, and enforces the limit.
 */
class MessageMemoryTest {
  private static final int REQUESTS = 10_000;
  private static final int CLIENTS = 16;
  private static final int LONG_BODY_BYTES = 200_000;
  private static final long RELEASE_TIMEOUT_MILLIS = 5_000;
  private static final long SEED = 50;

  private static final List<WebhookClients.Kind> KINDS = WebhookClients.kinds(
      TestFleet.LATENCY_TARGET_MICROS, TestFleet.DEADLINE_MICROS, TestFleet.REPEAT_WINDOW_MICROS);

  @TempDir
  Path dir;

  private TestFleet fleet;

  /** How a request ends. */
  private enum Outcome {
    SERVED,
    BAD_SIGNATURE,
    UNKNOWN_PATH,
    BAD_CHUNK,
    TOO_LARGE,
    RESET_IN_HEADER,
    RESET_IN_BODY,
    CLOSED_IN_BODY,
    CLOSED_BEFORE_ANSWER
  }

  private void start(String moreSettings) throws Exception {
    fleet = new TestFleet(
        DayScript.parse("edges = 1; runners = 2; work = 1ms; load = 5ms;"),
        dir,
        false,
        line -> {},
        List.of(),
        moreSettings);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
  }

  /** Runs with memory for all requests, and with so little that requests are closed all the time to free memory. */
  @ParameterizedTest
  @ValueSource(strings = {"", "limits { max_message_bytes: 1048576 }"})
  void allIsGivenBackAfterTenThousandMixedEnds(String settings) throws Exception {
    start(settings);
    ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
    List<Future<?>> done = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      done.add(clients.submit(() -> send(client)));
    }
    for (Future<?> future : done) {
      future.get();
    }
    clients.shutdown();
    assertAllReleased();
  }

  private void send(int client) {
    Random random = new Random(SEED + client);
    for (int i = 0; i < REQUESTS / CLIENTS; i++) {
      Outcome outcome = Outcome.values()[random.nextInt(Outcome.values().length)];
      try {
        send(outcome, "m" + client + "-" + i);
      } catch (IOException e) {
        // Refused before the request was complete, which must release its memory too.
      }
    }
  }

  private void send(Outcome outcome, String id) throws IOException {
    try (Socket socket = connect()) {
      switch (outcome) {
        case SERVED -> exchange(socket, call(id));
        case BAD_SIGNATURE ->
          exchange(
              socket, head("webhook-id: x\r\n", LONG_BODY_BYTES) + "x".repeat(LONG_BODY_BYTES));
        case UNKNOWN_PATH ->
          exchange(socket, "POST /nowhere HTTP/1.1\r\nHost: e\r\nContent-Length: 3\r\n\r\nabc");
        case BAD_CHUNK ->
          exchange(
              socket,
              "POST " + TestFleet.PATH + " HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n"
                  + "\r\n1000\r\n" + "x".repeat(0x1000) + "\r\nnot a size\r\n");
        case TOO_LARGE -> exchange(socket, head("", 1 << 30) + "x");
        case RESET_IN_HEADER ->
          reset(socket, "POST " + TestFleet.PATH + " HTTP/1.1\r\nHost: " + "x".repeat(3_000));
        case RESET_IN_BODY ->
          reset(socket, head("", LONG_BODY_BYTES) + "x".repeat(LONG_BODY_BYTES / 2));
        case CLOSED_IN_BODY -> write(socket, head("", LONG_BODY_BYTES) + "x".repeat(1_000));
        case CLOSED_BEFORE_ANSWER -> write(socket, call(id));
      }
    }
  }

  /** At the memory limit the oldest incomplete request gets 503 to free memory; a complete request is served. */
  @Test
  void theOldestUnfinishedRequestMakesRoomAndIsToldSo() throws Exception {
    start("limits { max_message_bytes: 1048576 }");
    try (Socket oldest = connect();
        Socket next = connect();
        Socket whole = connect()) {
      write(oldest, head("", 1_000_000) + "x".repeat(LONG_BODY_BYTES));
      awaitHeldBytes(LONG_BODY_BYTES);
      write(next, head("", 1_000_000) + "x".repeat(4 * LONG_BODY_BYTES));
      String served = exchange(whole, call("whole"));
      assertTrue(served.startsWith("HTTP/1.1 200"), served);
      String refused = exchange(oldest, "x");
      assertTrue(refused.startsWith("HTTP/1.1 503") && refused.contains("Retry-After"), refused);
    }
    assertAllReleased();
  }

  /**
   * A call whose answer exceeds the limit ran: only a safe one is retried, and its worker does not count as failing.
   */
  @ParameterizedTest
  @CsvSource({"2, 1, 504", "0, 4, 503"})
  void anAnswerPastTheBoundEndsItsAttempt(int kind, int attempts, int status) throws Exception {
    start("limits { max_message_bytes: 1048576 }");
    fleet.runners().forEach(runner -> {
      runner.faults().endlessAnswerBytes = 4 << 20;
      runner.faults().endlessFunction = "svc/endless";
    });
    assertEquals(List.of(200), attempt("before", KINDS.get(0), "svc/a").statuses);
    Tap.Try tooLong = attempt("past", KINDS.get(kind), "svc/endless");
    assertEquals(List.of(status), tooLong.statuses, tooLong.reason);
    assertTrue(
        tooLong.answeredAt - tooLong.sentAt < KINDS.get(kind).deadline(),
        "answered only at its deadline");
    assertEquals(attempts, arrivals("past"));
    assertEquals(List.of(200), attempt("after", KINDS.get(0), "svc/a").statuses);
    assertAllReleased();
  }

  private Tap.Try attempt(String message, WebhookClients.Kind kind, String function) {
    WebhookClients clients = fleet.clients();
    return clients.attempt(
        message,
        0,
        kind,
        clients.payload(kind, function),
        System.currentTimeMillis() / 1000,
        kind.deadline());
  }

  private long arrivals(String message) {
    synchronized (fleet.tap()) {
      return fleet.tap().arrivals.stream()
          .filter(arrival -> arrival.message.endsWith(" " + message))
          .count();
    }
  }

  private void awaitHeldBytes(long bytes) throws InterruptedException {
    long until = System.nanoTime() + RELEASE_TIMEOUT_MILLIS * 1_000_000;
    while (fleet.edgeInProcess(0).messageBytes() < bytes && System.nanoTime() < until) {
      Thread.sleep(5);
    }
  }

  private void assertAllReleased() throws InterruptedException {
    long until = System.nanoTime() + RELEASE_TIMEOUT_MILLIS * 1_000_000;
    while (fleet.edgeInProcess(0).messageBytes() != 0 && System.nanoTime() < until) {
      Thread.sleep(5);
    }
    assertEquals(0, fleet.edgeInProcess(0).messageBytes(), "bytes held after all requests ended");
  }

  private Socket connect() throws IOException {
    Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), fleet.edgeAddress(0).getPort());
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void write(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void reset(Socket socket, String bytes) throws IOException {
    write(socket, bytes);
    socket.setSoLinger(true, 0);
  }

  /** Sends bytes and returns the first part of the answer. */
  private static String exchange(Socket socket, String bytes) throws IOException {
    write(socket, bytes);
    byte[] answer = new byte[4_096];
    int count = socket.getInputStream().read(answer);
    return new String(answer, 0, Math.max(0, count), StandardCharsets.ISO_8859_1);
  }

  private static String head(String fields, int length) {
    return "POST " + TestFleet.PATH + " HTTP/1.1\r\nHost: e\r\n" + fields + "Content-Length: "
        + length + "\r\n\r\n";
  }

  private String call(String id) {
    String body = "{\"type\":\"hours.read\",\"data\":{\"function\":\"svc/a\"}}";
    long now = System.currentTimeMillis() / 1000;
    String signature =
        Secret.parse(fleet.secret()).sign(id, now, body.getBytes(StandardCharsets.UTF_8));
    return head(
            "webhook-id: " + id + "\r\nwebhook-timestamp: " + now + "\r\nwebhook-signature: "
                + signature + "\r\n",
            body.length())
        + body;
  }
}
