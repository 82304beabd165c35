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

/** The cases in which an effect could happen twice or an answer be lost, each caused on sockets. */
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

  /** A disk that stops for longer than any client waits. */
  private static final long STALL_MILLIS = 5_000;

  /** More than the threads that stand ready for attempts. */
  private static final int CALLS_AT_ONCE = 40;

  private static final byte[] ASKS_FOR_NOTHING =
      "GET /nowhere HTTP/1.1\r\nHost: edge\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  @TempDir
  Path dir;

  private final LagMeter lag = new LagMeter();
  private TestFleet fleet;
  private WebhookClients clients;

  private void fleet(String script) throws Exception {
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
    fleet("runners = 3;");
    fleet.runners().forEach(r -> r.faults().hang = true);
    Tap.Try first = send("msg_hang", UNSAFE, 0);
    assertEquals(List.of(504), first.statuses);
    assertFalse(first.retryAfter, "a failure promises nothing");
    fleet.runners().forEach(r -> r.faults().hang = false);
    Tap.Try second = send("msg_hang", UNSAFE, 1);
    assertTrue(
        second.statuses.equals(List.of(502)) && second.reason.equals("failed_unknown_effect"),
        second.reason);
    assertEquals(1, arrivals("msg_hang"));
  }

  @Test
  void anIssuanceResetInTheMiddleOfItsAnswerIsNotRepeated() throws Exception {
    fleet("runners = 3;");
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
   * A safe call is tried elsewhere when a kept connection closes under it; an issuance never takes a kept connection.
   */
  @Test
  void aKeptConnectionThatClosesAsACallLeavesCostsNoIssuance() throws Exception {
    fleet("runners = 3;");
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
    fleet("runners = 2;");
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
    fleet("runners = 2; work = 500ms;");
    CompletableFuture<Tap.Try> first =
        CompletableFuture.supplyAsync(() -> send("msg_join", UNSAFE, 0));
    Thread.sleep(200);
    Tap.Try second = send("msg_join", UNSAFE, 1);
    assertEquals(List.of(200), second.statuses);
    assertEquals(List.of(200), first.get().statuses);
    assertEquals(1, arrivals("msg_join"));
  }

  /** A safe call is on record with its end only; while it is out, this process knows its message and its signature. */
  @Test
  void aSafeCallThatIsOutIsJoinedAndItsSignatureIsNotTakenTwice() throws Exception {
    fleet("runners = 2; work = 250ms;");
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

  /**
   * What a kill leaves in the ledger, at each point: before the record of leaving, after it, after the answer's record.
   */
  @Test
  void eachPointOfAKillIsAnsweredSafelyByTheNextProcess() throws Exception {
    fleet("runners = 2;");
    fleet.stopEdge(0);
    long now = System.currentTimeMillis() * 1000;
    try (Ledger ledger = Ledger.open(dir.resolve("data-0").resolve("ledger"), false, 100)) {
      for (WebhookClients.Kind kind : List.of(SAFE, KEYED, UNSAFE)) {
        String name = kind.effect() == Effect.SAFE
            ? "safe"
            : kind.effect() == Effect.KEYED ? "keyed" : "unsafe";
        byte[] content = content(name, kind);
        LedgerEntry taken =
            new LedgerEntry(Stage.ACCEPTED, false, now, 0, now * 2, content, "", 0, null);
        ledger.put(TestFleet.PATH + " msg_taken_" + name, taken);
        ledger.put(TestFleet.PATH + " msg_left_" + name, taken.withStage(Stage.LEAVING, true, now));
        ledger.put(
            TestFleet.PATH + " msg_old_" + name,
            taken.withStage(Stage.LEAVING, true, now - TestFleet.REPEAT_WINDOW_MICROS));
        ledger.put(
            TestFleet.PATH + " msg_served_" + name,
            taken
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
    fleet("runners = 6;");
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
    fleet("runners = 1;");
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

  /** An answer near the end of its client's time must not wait for a disk that has stopped just then. */
  @Test
  void anAnswerWaitsForItsRecordNoLongerThanItsClientWaits() throws Exception {
    fleet("runners = 2; work = 1800ms;");
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
    fleet("runners = 2;");
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
   * Days beside a busy disk: a repeat has its record read from the ledger's file, and the disk takes long for it. All
   * other calls, and the core's thread, waited for that read, since the lock that each of them passes was held
   * meanwhile; answers came after their time. Shown by the times of reads with the lock held on such a day, up to 272
   * ms, and by an answer whose record was waited for 161 ms past the bound of that wait.
   */
  @Test
  void aRepeatWhoseRecordIsSlowToReadHoldsUpNoOtherCall() throws Exception {
    fleet("runners = 2;");
    assertEquals(List.of(200), send("msg_known", UNSAFE, 0).statuses);
    assertEquals(List.of(200), send("msg_other", UNSAFE, 0).statuses);
    fleet.disk().stallReadsFor(STALL_MILLIS);
    CompletableFuture<Tap.Try> repeat =
        CompletableFuture.supplyAsync(() -> send("msg_known", UNSAFE, 1));
    Thread.sleep(200);
    for (int i = 0; i < 3; i++) {
      Tap.Try beside = send("msg_beside" + i, i == 0 ? SAFE : UNSAFE, 0);
      assertEquals("served", beside.reason);
      assertInTime(beside);
    }
    assertFalse(repeat.isDone(), "its record was not read from the file");
    // Not refused as harmless: it is not known whether the first one ran.
    assertEquals("failed_unknown_effect", repeat.get().reason);
    assertInTime(repeat.get());
    fleet.disk().stallReadsFor(0);
    assertEquals("served_again", send("msg_known", UNSAFE, 2).reason);
  }

  /** An attempt that waits for its record ends with its call; it says nothing of its runner. */
  @Test
  void anAttemptThatCannotBeOnRecordInTimeLeavesNoRunnerSuspect() throws Exception {
    fleet("runners = 1; work = 400ms;");
    assertEquals(List.of(200), send("msg_before", UNSAFE, 0).statuses);
    // The stall comes between the record of the taking and the one of the leaving: calls in a row
    // find both.
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

  /** Incident-1 at an edge: clients that rest after a request hold every thread, and no new one can be started. */
  @Test
  void aCrowdOfRestingClientsWhileNoThreadCanBeStartedCostsNoAnswer() throws Exception {
    fleet("runners = 2;");
    assertEquals(List.of(200), send("msg_before", SAFE, 0).statuses);
    List<Socket> crowd = new ArrayList<>();
    fleet.clientThreads().setExhausted(true);
    try {
      for (int i = 0; i < 40; i++) {
        Socket socket = new Socket();
        socket.connect(fleet.edgeAddress(0), 1_000);
        socket.getOutputStream().write(ASKS_FOR_NOTHING);
        crowd.add(socket);
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
      for (Socket socket : crowd) {
        socket.close();
      }
    }
  }

  /**
   * Issue 38, at an edge: more calls than there are threads for attempts, and none can be started. Those without one
   * were refused unsent at once; now they wait for the threads that attempts give back.
   */
  @Test
  void anAttemptThatHasNoThreadWaitsForOne() throws Exception {
    fleet("runners = 8; work = 150ms; cores = 8; lanes = 8;");
    assertEquals(List.of(200), send("msg_before", SAFE, 0).statuses);
    fleet.attemptThreads().setExhausted(true);
    List<CompletableFuture<Tap.Try>> tries = new ArrayList<>();
    ExecutorService callers = Executors.newFixedThreadPool(CALLS_AT_ONCE);
    for (int i = 0; i < CALLS_AT_ONCE; i++) {
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

  private void assertInTime(Tap.Try t) {
    long late = t.answeredAt - t.sentAt - t.clientTimeout;
    assertTrue(
        late <= Play.BASE_SLACK_MICROS + lag.callLagAt(t.answeredAt),
        t.message + " " + t.reason + " came " + late / 1000 + " ms too late");
  }

  @Test
  void runnersThatOnlyLoadByOrderAreServedWithinTheRation() throws Exception {
    fleet("runners = 4; on_miss = 0; list_late = 10ms;");
    for (int i = 0; i < 10; i++) {
      assertEquals(List.of(200), send("msg_order" + i, i % 2 == 0 ? SAFE : UNSAFE, 0).statuses);
    }
    synchronized (fleet.tap()) {
      assertTrue(!fleet.tap().orders.isEmpty());
    }
  }
}
