package gorseladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.store.history.History;
import gorseladder.store.history.HistoryRow;
import gorseladder.testbed.script.DayScript;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests webhooks on their whole path: through an edge to a stand-in runner and back. */
class WholePathTest {
  @TempDir
  Path dir;

  /** The sums of the history match the calls sent, also with a restart of the edge in between. */
  @Test
  void theHistoryAddsUpToWhatWasTaken() throws Exception {
    WebhookClients.Kind kind = WebhookClients.kinds(
            TestFleet.LATENCY_TARGET_MICROS,
            TestFleet.DEADLINE_MICROS,
            TestFleet.REPEAT_WINDOW_MICROS)
        .get(0);
    try (TestFleet fleet = new TestFleet(
        DayScript.parse("edges = 1; runners = 2; work = 2ms; load = 5ms;"), dir, false, l -> {})) {
      WebhookClients clients = fleet.clients();
      for (int i = 0; i < 30; i++) {
        clients.attempt(
            "msg_" + i,
            0,
            kind,
            clients.payload(kind, "svc/f" + i % 3),
            System.currentTimeMillis() / 1000,
            kind.deadline());
        if (i == 15) {
          fleet.restartEdge(0, 0);
        }
      }
      fleet.stopEdge(0);
    }
    try (History history =
        History.open(dir.resolve("data-0").resolve("history"), History.Bounds.DEFAULT)) {
      List<HistoryRow> rows = history.read(0, Integer.MAX_VALUE).rows();
      assertEquals(30, rows.stream().mapToLong(HistoryRow::calls).sum());
      assertEquals(
          30, rows.stream().mapToLong(r -> r.found() + r.began() + r.awaited()).sum());
      assertEquals(
          10,
          rows.stream()
              .filter(r -> r.function().equals("svc/f1"))
              .mapToLong(HistoryRow::calls)
              .sum());
      assertTrue(rows.stream().mapToLong(HistoryRow::began).sum() >= 3);
    }
  }

  @Test
  void aCalmDayServesEveryCall() throws Exception {
    DayScript script =
        DayScript.parse("day = 2s; edges = 2; runners = 4; functions = 4; rate = 60;");
    try (TestFleet fleet = new TestFleet(script, dir, false, line -> {})) {
      Play.Verdict verdict = new Play(script, fleet).run(null);
      assertTrue(verdict.good(), verdict.violations().toString());
      assertEquals(
          verdict.totals().calls.get(),
          verdict.totals().served.get(),
          verdict.totals().reasons.toString());
    }
  }
}
