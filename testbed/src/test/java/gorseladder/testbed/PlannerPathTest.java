package gorseladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.config.Address;
import gorseladder.config.proto.PlannerSettings;
import gorseladder.planner.PlannerServer;
import gorseladder.runtime.Clock;
import gorseladder.store.history.History;
import gorseladder.store.history.HistoryRow;
import gorseladder.testbed.script.DayScript;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests planner, edges and stand-in runners over sockets. Only the test advances the planner's clock, so a slow machine
 * does not change the result.
 */
class PlannerPathTest {
  private static final String FUNCTION = "svc/surge";
  private static final int DAYS = 10;

  @TempDir
  Path dir;

  private final AtomicLong wall = new AtomicLong();

  private PlannerServer planner(InetSocketAddress at) throws Exception {
    return new PlannerServer(
        PlannerSettings.newBuilder()
            .setListen(Address.print(at))
            .setDataDirectory(dir.resolve("planner").toString())
            .setSlotMinutes(1)
            .setKeepAliveMs(2_000)
            .setOrderPrice(0)
            .build(),
        wall::get);
  }

  private static void await(String description, BooleanSupplier condition)
      throws InterruptedException {
    long end = Clock.micros() + 30_000_000;
    while (!condition.getAsBoolean()) {
      assertTrue(Clock.micros() < end, "waited for: " + description);
      Thread.sleep(20);
    }
  }

  /**
   * Writes the history of an edge: calls of the function in this minute of each day, and rows without calls for the 30
   * minutes before and after it.
   */
  private void writeHistory(int edge, long minute) throws Exception {
    List<HistoryRow> rows = new ArrayList<>();
    for (int d = DAYS; d >= 1; d--) {
      for (int m = -30; m <= 30; m++) {
        rows.add(new HistoryRow(
            minute - d * 1440L + m,
            1,
            FUNCTION,
            "safe",
            "bygg-sektion",
            m == 0 ? 60 : 0,
            0,
            0,
            0,
            0,
            0,
            0,
            0));
      }
    }
    try (History history =
        History.open(dir.resolve("data-" + edge).resolve("history"), History.Bounds.DEFAULT)) {
      history.append(rows);
    }
  }

  @Test
  void aForeseenCallFindsACopyAndThePlannersDeathChangesNothingElse() throws Exception {
    InetSocketAddress at = Ports.free();
    // The minute of the forecast calls begins 25 s after the planner's start.
    long minute = Clock.wallMicros() / 60_000_000 + 1;
    wall.set(minute * 60_000_000 - 25_000_000);
    writeHistory(0, minute);
    DayScript script = DayScript.parse("edges = 2; runners = 4; work = 5ms; load = 60ms;");
    String moreSettings = "planner { address: \"" + Address.print(at) + "\" ask_ms: 100 }\n";
    try (TestFleet fleet = new TestFleet(script, dir, false, l -> {}, List.of(), moreSettings)) {
      PlannerServer planner = planner(at);
      WebhookClients clients = fleet.clients();
      WebhookClients.Kind kind = WebhookClients.kinds(
              TestFleet.LATENCY_TARGET_MICROS,
              TestFleet.DEADLINE_MICROS,
              TestFleet.REPEAT_WINDOW_MICROS)
          .get(0);
      call(clients, kind, "first", 0);
      call(clients, kind, "second", 0);
      await(
          "the rows of the history",
          () -> (long) planner.planner().state().get("rows") >= DAYS * 61);
      await("both edges", () -> planner.planner().state().get("edges").equals(List.of(0, 1)));
      // A copy that an edge considers warm is not ordered again, and the plan may choose the worker
      // of the first calls.
      long expired = Clock.micros() + TestFleet.KEEP_ALIVE_MICROS + 1_000_000;
      await("the expiry of the first copies", () -> Clock.micros() > expired);
      int before = orders(fleet);
      wall.addAndGet(17_500_000);
      await("a load ahead", () -> orders(fleet) > before);
      wall.addAndGet(8_000_000);
      call(clients, kind, "foreseen", 1);
      // After the planner's end in the middle of a plan the edges continue to serve with their last
      // state.
      planner.close();
      for (int i = 0; i < 40; i++) {
        call(clients, kind, "alone-" + i, i % 2);
      }
      assertEquals(
          43,
          fleet.tap().tries.stream()
              .filter(t -> t.statuses.equals(List.of(200)))
              .count());
      long rows;
      try (PlannerServer restarted = planner(at)) {
        await(
            "both edges again",
            () -> restarted.planner().state().get("edges").equals(List.of(0, 1)));
        assertEquals(2L, restarted.planner().state().get("epoch"));
        rows = (long) restarted.planner().state().get("rows");
      }
      assertTrue(
          rows >= DAYS * 61 && rows < DAYS * 61 + 20, "rows were read twice or lost: " + rows);
    }
  }

  private static int orders(TestFleet fleet) {
    synchronized (fleet.tap()) {
      return (int)
          fleet.tap().orders.stream().filter(o -> o.function().equals(FUNCTION)).count();
    }
  }

  private static void call(
      WebhookClients clients, WebhookClients.Kind kind, String message, int edge) throws Exception {
    clients.attempt(
        message,
        edge,
        kind,
        clients.payload(kind, FUNCTION),
        System.currentTimeMillis() / 1000,
        kind.deadline());
  }
}
