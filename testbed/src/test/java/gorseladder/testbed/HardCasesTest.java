package gorseladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Phase;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerEntry;
import gorseladder.store.LedgerEntry.Stage;
import gorseladder.testbed.script.DayScript;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests over sockets the cases in which an effect could happen twice or an answer be lost. */
class HardCasesTest {
  private static final WebhookClients.Kind SAFE = WebhookClients.kinds(
          TestFleet.LATENCY_TARGET_MICROS,
          TestFleet.DEADLINE_MICROS,
          TestFleet.REPEAT_WINDOW_MICROS)
      .get(0);
  private static final WebhookClients.Kind KEYED = WebhookClients.kinds(
          TestFleet.LATENCY_TARGET_MICROS,
          TestFleet.DEADLINE_MICROS,
          TestFleet.REPEAT_WINDOW_MICROS)
      .get(1);
  private static final WebhookClients.Kind UNSAFE = WebhookClients.kinds(
          TestFleet.LATENCY_TARGET_MICROS,
          TestFleet.DEADLINE_MICROS,
          TestFleet.REPEAT_WINDOW_MICROS)
      .get(2);

  /** A stall of the disk that is longer than any client waits. */
  private static final long STALL_MILLIS = 5_000;

  /** More than the idle threads that an edge keeps for attempts. */
  private static final int CONCURRENT_CALLS = 40;

  private static final byte[] REQUEST_TO_UNKNOWN_PATH =
      "GET /nowhere HTTP/1.1\r\nHost: edge\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  @TempDir
  Path dir;

  private final LagMeter lag = new LagMeter();
  private TestFleet fleet;
  private WebhookClients clients;

  private void start(String script) throws Exception {
    fleet = new TestFleet(DayScript.parse(script + " edges = 1;"), dir, false, line -> {});
    clients = fleet.clients();
  }

  @AfterEach
  void close() {
    if (fleet != null) {
      List<RuleChecker.Violation> violations = RuleChecker.report(
              fleet.tap(),
              fleet.rules(),
              TestFleet.REPEAT_WINDOW_MICROS,
              at -> Play.BASE_SLACK_MICROS + lag.callLagAt(at))
          .violations();
      lag.close();
      fleet.close();
      assertEquals(List.of(), violations);
    }
  }

  private Tap.Try send(String id, WebhookClients.Kind kind, long stampShift) {
    long stamp = System.currentTimeMillis() / 1000 + stampShift;
    return clients.attempt(id, 0, kind, body(kind), stamp, kind.deadline());
  }

  private static byte[] body(WebhookClients.Kind kind) {
    return ("{\"type\":\"" + kind.type() + "\",\"data\":{\"function\":\"svc/x\"}}")
        .getBytes(StandardCharsets.UTF_8);
  }

  private long runs(String id) {
    synchronized (fleet.tap()) {
      return fleet.tap().arrivals.stream()
          .filter(a -> a.message.endsWith(" " + id) && a.ran)
          .count();
    }
  }

  private long arrivals(String id) {
    synchronized (fleet.tap()) {
      return fleet.tap().arrivals.stream()
          .filter(a -> a.message.endsWith(" " + id))
          .count();
    }
  }

  @Test
  void anIssuanceWhoseRunnerStopsAnsweringFailsAndNeverRunsTwice() throws Exception {
    start("runners = 3;");
    fleet.runners().forEach(r -> r.faults().hang = true);
    Tap.Try first = send("msg_hang", UNSAFE, 0);
    assertEquals(List.of(504), first.statuses);
    assertFalse(first.retryAfter, "a failed call must not be offered for retry");
    fleet.runners().forEach(r -> r.faults().hang = false);
    Tap.Try second = send("msg_hang", UNSAFE, 1);
    assertTrue(
        second.statuses.equals(List.of(502)) && second.reason.equals("failed_unknown_effect"),
        second.reason);
    assertEquals(1, arrivals("msg_hang"));
  }

  @Test
  void anIssuanceResetInTheMiddleOfItsAnswerIsNotRepeated() throws Exception {
    start("runners = 3;");
    fleet.runners().forEach(r -> r.faults().reset = true);
    Tap.Try first = send("msg_reset", UNSAFE, 0);
    assertEquals(List.of(502), first.statuses);
    assertEquals("failed_reset", first.reason);
    assertFalse(first.retryAfter);
    fleet.runners().forEach(r -> r.faults().reset = false);
    assertEquals(List.of(502), send("msg_reset", UNSAFE, 1).statuses);
    assertEquals(1, runs("msg_reset"));
  }

  /**
   * A safe call is retried where a reused connection closes as it is sent; an unsafe call never reuses a connection.
   */
  @Test
  void aKeptConnectionThatClosesAsACallLeavesCostsNoIssuance() throws Exception {
    start("runners = 3;");
    for (int i = 0; i < 8; i++) {
      assertEquals(List.of(200), send("msg_warm" + i, SAFE, 0).statuses);
    }
    fleet.runners().forEach(r -> r.faults().closeReused = true);
    assertEquals(List.of(200), send("msg_issue", UNSAFE, 0).statuses);
    assertEquals(1, runs("msg_issue"));
    assertEquals(List.of(200), send("msg_read", SAFE, 0).statuses);
  }

  @Test
  void replaysRepeatsAndConflicts() throws Exception {
    start("runners = 2;");
    assertEquals(List.of(200), send("msg_a", UNSAFE, 0).statuses);
    long stamp = System.currentTimeMillis() / 1000 + 5;
    assertEquals(
        "served_again",
        clients.attempt("msg_a", 0, UNSAFE, body(UNSAFE), stamp, UNSAFE.deadline()).reason);
    assertEquals(
        List.of(409),
        clients.attempt("msg_a", 0, UNSAFE, body(UNSAFE), stamp, UNSAFE.deadline()).statuses);
    assertEquals(
        List.of(422),
        clients.attempt("msg_a", 0, UNSAFE, body(SAFE), stamp + 1, UNSAFE.deadline()).statuses);
    fleet.restartEdge(0, 0);
    assertEquals(
        List.of(409),
        clients.attempt("msg_a", 0, UNSAFE, body(UNSAFE), stamp, UNSAFE.deadline()).statuses);
    assertEquals(
        "served_again",
        clients.attempt("msg_a", 0, UNSAFE, body(UNSAFE), stamp + 2, UNSAFE.deadline()).reason);
    assertEquals(1, runs("msg_a"));
  }

  @Test
  void aRetryWhileTheFirstIsOutJoinsIt() throws Exception {
    start("runners = 2; work = 500ms;");
    CompletableFuture<Tap.Try> first =
        CompletableFuture.supplyAsync(() -> send("msg_join", UNSAFE, 0));
    Thread.sleep(200);
    Tap.Try second = send("msg_join", UNSAFE, 1);
    assertEquals(List.of(200), second.statuses);
    assertEquals(List.of(200), first.get().statuses);
    assertEquals(1, arrivals("msg_join"));
  }

  /** A safe call is recorded at its end only; until then the process itself knows its message and its signature. */
  @Test
  void aSafeCallThatIsOutIsJoinedAndItsSignatureIsNotTakenTwice() throws Exception {
    start("runners = 2; work = 250ms;");
    long stamp = System.currentTimeMillis() / 1000 + 5;
    CompletableFuture<Tap.Try> first =
        CompletableFuture.supplyAsync(() -> attempt("msg_safe", SAFE, stamp));
    Thread.sleep(100);
    assertEquals(List.of(409), attempt("msg_safe", SAFE, stamp).statuses);
    assertEquals("served", send("msg_safe", SAFE, 1).reason);
    assertEquals(List.of(200), first.get().statuses);
    assertEquals(1, arrivals("msg_safe"));
    assertEquals(List.of(409), attempt("msg_safe", SAFE, stamp).statuses);
    fleet.restartEdge(0, 0);
    assertEquals(List.of(409), attempt("msg_safe", SAFE, stamp).statuses);
    assertEquals("served_again", attempt("msg_safe", SAFE, stamp + 1).reason);
  }

  private Tap.Try attempt(String message, WebhookClients.Kind kind, long stamp) {
    try {
      return clients.attempt(message, 0, kind, body(kind), stamp, kind.deadline());
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Covers what a kill leaves in the ledger: before the record of sending, after it, and after that of the answer. */
  @Test
  void eachPointOfAKillIsAnsweredSafelyByTheNextProcess() throws Exception {
    start("runners = 2;");
    fleet.stopEdge(0);
    long now = System.currentTimeMillis() * 1000;
    try (Ledger ledger = Ledger.open(dir.resolve("data-0").resolve("ledger"), false, 100)) {
      for (WebhookClients.Kind kind : List.of(SAFE, KEYED, UNSAFE)) {
        String name = kind.effect() == Effect.SAFE
            ? "safe"
            : kind.effect() == Effect.KEYED ? "keyed" : "unsafe";
        byte[] content = content(name, kind);
        LedgerEntry accepted =
            new LedgerEntry(Stage.ACCEPTED, false, now, 0, now * 2, content, "", 0, null);
        ledger.put(TestFleet.PATH + " msg_taken_" + name, accepted);
        ledger.put(
            TestFleet.PATH + " msg_left_" + name, accepted.withStage(Stage.LEAVING, true, now));
        ledger.put(
            TestFleet.PATH + " msg_old_" + name,
            accepted.withStage(Stage.LEAVING, true, now - TestFleet.REPEAT_WINDOW_MICROS));
        ledger.put(
            TestFleet.PATH + " msg_served_" + name,
            accepted
                .withStage(Stage.LEAVING, true, now)
                .withOutcome(Stage.SERVED, true, "served", 200, "{}".getBytes()));
      }
    }
    fleet.restartEdge(0, 0);
    for (WebhookClients.Kind kind : List.of(SAFE, KEYED, UNSAFE)) {
      String name = kind.effect() == Effect.SAFE
          ? "safe"
          : kind.effect() == Effect.KEYED ? "keyed" : "unsafe";
      assertEquals("served", send("msg_taken_" + name, kind, 0).reason, name);
      assertEquals(
          kind == UNSAFE ? "failed_unknown_effect" : "served",
          send("msg_left_" + name, kind, 0).reason,
          name);
      assertEquals(
          kind == SAFE ? "served" : "failed_unknown_effect",
          send("msg_old_" + name, kind, 0).reason,
          name);
      assertEquals("served_again", send("msg_served_" + name, kind, 0).reason, name);
    }
    assertEquals(0, arrivals("msg_left_unsafe"));
  }

  private static byte[] content(String requestClass, WebhookClients.Kind kind) throws Exception {
    MessageDigest sha = MessageDigest.getInstance("SHA-256");
    sha.update((requestClass + "\0svc/x\0").getBytes(StandardCharsets.UTF_8));
    return Arrays.copyOf(sha.digest(body(kind)), 16);
  }

  @Test
  void twoStartsWithAnOldListStillServe() throws Exception {
    start("runners = 6;");
    assertEquals(List.of(200), send("msg_first", SAFE, 0).statuses);
    fleet.list().setBehind(true);
    for (int i = 0; i < 2; i++) {
      fleet.runners().get(i).crash();
      fleet.list().setPhase(fleet.runners().get(i), Phase.GONE, false, true);
      fleet.restartEdge(0, 0);
      for (int j = 0; j < 10; j++) {
        assertEquals(
            List.of(200), send("msg_old_" + i + "_" + j, j % 2 == 0 ? SAFE : UNSAFE, 0).statuses);
      }
    }
  }

  @Test
  void aDamagedLedgerIsAClearRefusalToStart() throws Exception {
    start("runners = 1;");
    fleet.stopEdge(0);
    Path folder = dir.resolve("data-0").resolve("ledger");
    Path file = folder.resolve("0000000000000001.segment");
    byte[] bytes = Files.readAllBytes(file);
    Files.write(file, new byte[bytes.length]);
    java.io.ByteArrayOutputStream err = new java.io.ByteArrayOutputStream();
    int code = gorseladder.edge.EdgeMain.run(
        fleet.settingsFile(0), System.out, new java.io.PrintStream(err));
    assertEquals(gorseladder.edge.EdgeMain.CANNOT_START, code);
    assertTrue(
        err.toString().contains(folder.toString()) && err.toString().contains("Way out"),
        err.toString());
    Files.write(file, bytes);
    fleet.restartEdge(0, 0);
    assertEquals(List.of(200), send("msg_again", SAFE, 0).statuses);
  }

  /** An answer close to its client's timeout must not wait for a stalled disk. */
  @Test
  void anAnswerWaitsForItsRecordNoLongerThanItsClientWaits() throws Exception {
    start("runners = 2; work = 1800ms;");
    assertEquals(List.of(200), send("msg_loads", UNSAFE, 0).statuses);
    CompletableFuture<Tap.Try> slow =
        CompletableFuture.supplyAsync(() -> send("msg_slow", UNSAFE, 0));
    awaitArrival("msg_slow");
    fleet.disk().stallFor(STALL_MILLIS);
    assertEquals(List.of(200), slow.get().statuses);
    assertInTime(slow.get());
  }

  @Test
  void aCallThatCannotBeOnRecordInTimeIsRefusedInTimeAndNeverSent() throws Exception {
    start("runners = 2;");
    assertEquals(List.of(200), send("msg_before", UNSAFE, 0).statuses);
    fleet.disk().stallFor(STALL_MILLIS);
    Tap.Try refused = send("msg_unrecorded", UNSAFE, 0);
    assertEquals("ledger_unavailable", refused.reason);
    assertInTime(refused);
    Thread.sleep(STALL_MILLIS - UNSAFE.deadline() / 1000);
    assertEquals(0, arrivals("msg_unrecorded"));
    assertEquals("served", send("msg_unrecorded", UNSAFE, 1).reason);
    assertEquals(1, arrivals("msg_unrecorded"));
  }

  /**
   * Guards against late answers while a repeat reads its record from the ledger's file on a slow disk. All other calls,
   * and the core's thread, waited for that read, because it held the lock that each of them takes. On a busy disk reads
   * held the lock for up to 272 ms, and one answer waited for its record 161 ms longer than that wait's limit.
   */
  @Test
  void aRepeatWhoseRecordIsSlowToReadHoldsUpNoOtherCall() throws Exception {
    start("runners = 2;");
    assertEquals(List.of(200), send("msg_known", UNSAFE, 0).statuses);
    assertEquals(List.of(200), send("msg_other", UNSAFE, 0).statuses);
    fleet.disk().stallReadsFor(STALL_MILLIS);
    CompletableFuture<Tap.Try> repeat =
        CompletableFuture.supplyAsync(() -> send("msg_known", UNSAFE, 1));
    Thread.sleep(200);
    for (int i = 0; i < 3; i++) {
      Tap.Try other = send("msg_beside" + i, i == 0 ? SAFE : UNSAFE, 0);
      assertEquals("served", other.reason);
      assertInTime(other);
    }
    assertFalse(repeat.isDone(), "the record was not read from the file");
    // Not refused as retriable, since it is unknown whether the first call ran.
    assertEquals("failed_unknown_effect", repeat.get().reason);
    assertInTime(repeat.get());
    fleet.disk().stallReadsFor(0);
    assertEquals("served_again", send("msg_known", UNSAFE, 2).reason);
  }

  /** An attempt that waits for its record ends with its call and does not count as a failure of its runner. */
  @Test
  void anAttemptThatCannotBeOnRecordInTimeLeavesNoRunnerSuspect() throws Exception {
    start("runners = 1; work = 400ms;");
    assertEquals(List.of(200), send("msg_before", UNSAFE, 0).statuses);
    // A stall can fall before the record of accepting or before that of sending: a series of calls
    // covers both.
    List<CompletableFuture<Tap.Try>> tries = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      String id = "msg_row" + i;
      tries.add(CompletableFuture.supplyAsync(() -> send(id, UNSAFE, 0)));
      if (i == 6) {
        fleet.disk().stallFor(STALL_MILLIS);
      }
    }
    for (CompletableFuture<Tap.Try> t : tries) {
      assertInTime(t.get());
    }
    Thread.sleep(STALL_MILLIS - UNSAFE.deadline() / 1000);
    assertEquals("served", send("msg_after", SAFE, 0).reason);
  }

  /** Incident-1 at an edge: idle clients with open connections hold every thread, and no new one can be started. */
  @Test
  void aCrowdOfRestingClientsWhileNoThreadCanBeStartedCostsNoAnswer() throws Exception {
    start("runners = 2;");
    assertEquals(List.of(200), send("msg_before", SAFE, 0).statuses);
    List<Socket> idleSockets = new ArrayList<>();
    fleet.clientThreads().setExhausted(true);
    try {
      for (int i = 0; i < 40; i++) {
        Socket socket = new Socket();
        socket.connect(fleet.edgeAddress(0), 1_000);
        socket.getOutputStream().write(REQUEST_TO_UNKNOWN_PATH);
        idleSockets.add(socket);
      }
      List<CompletableFuture<Tap.Try>> tries = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        String id = "msg_crowd" + i;
        tries.add(CompletableFuture.supplyAsync(() -> send(id, SAFE, 0)));
      }
      for (CompletableFuture<Tap.Try> t : tries) {
        assertEquals("served", t.get().reason);
        assertInTime(t.get());
      }
    } finally {
      fleet.clientThreads().setExhausted(false);
      for (Socket socket : idleSockets) {
        socket.close();
      }
    }
  }

  /**
   * Issue 38 at an edge: more calls than there are threads for attempts, and no new thread can be started. Calls
   * without a thread were refused unsent at once; now they wait for a thread that another attempt releases.
   */
  @Test
  void anAttemptThatHasNoThreadWaitsForOne() throws Exception {
    start("runners = 8; work = 150ms; cores = 8; lanes = 8;");
    assertEquals(List.of(200), send("msg_before", SAFE, 0).statuses);
    fleet.attemptThreads().setExhausted(true);
    List<CompletableFuture<Tap.Try>> tries = new ArrayList<>();
    ExecutorService callers = Executors.newFixedThreadPool(CONCURRENT_CALLS);
    for (int i = 0; i < CONCURRENT_CALLS; i++) {
      String id = "msg_scarce" + i;
      tries.add(CompletableFuture.supplyAsync(() -> send(id, SAFE, 0), callers));
    }
    for (CompletableFuture<Tap.Try> t : tries) {
      assertEquals("served", t.get().reason);
    }
    callers.shutdown();
    fleet.attemptThreads().setExhausted(false);
  }

  private void awaitArrival(String id) throws InterruptedException {
    while (arrivals(id) == 0) {
      Thread.sleep(5);
    }
  }

  private void assertInTime(Tap.Try attempt) {
    long late = attempt.answeredAt - attempt.sentAt - attempt.clientTimeout;
    assertTrue(
        late <= Play.BASE_SLACK_MICROS + lag.callLagAt(attempt.answeredAt),
        attempt.message + " " + attempt.reason + " came " + late / 1000 + " ms too late");
  }

  @Test
  void runnersThatOnlyLoadByOrderAreServedWithinTheRation() throws Exception {
    start("runners = 4; on_miss = 0; list_late = 10ms;");
    for (int i = 0; i < 10; i++) {
      assertEquals(List.of(200), send("msg_order" + i, i % 2 == 0 ? SAFE : UNSAFE, 0).statuses);
    }
    synchronized (fleet.tap()) {
      assertTrue(!fleet.tap().orders.isEmpty());
    }
  }
}
