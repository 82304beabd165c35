package gorseladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.script.DayScript;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Plays thousands of calls with faults on the test fleet; the rules are checked by what is seen on the sockets. */
class BadDaysTest {
  @TempDir
  Path dir;

  private Play.Verdict play(String script, boolean processes) throws Exception {
    DayScript day = DayScript.parse(script);
    try (TestFleet fleet = new TestFleet(day, dir, processes, line -> {})) {
      Play.Verdict verdict = new Play(day, fleet).run(null);
      assertTrue(verdict.good(), verdict.violations().toString() + verdict.overloadedRunners());
      return verdict;
    }
  }

  @Test
  void tenThousandCallsOnABadDayGetExactlyOneFinalAnswerEach() throws Exception {
    Play.Verdict verdict = play("""
        day = 36s; seed = 3; edges = 2; runners = 12; functions = 8; rate = 260; work = 15ms; load = 150ms;
        at 1s for 3s hang 2; at 3s for 3s slow 25% by 5; at 5s for 3s crash 2; at 6s for 2s fast_errors 2;
        at 8s for 4s drain 2; at 10s for 3s list_behind; at 11s for 2s reset 3; at 13s for 2s scan 5%;
        at 14s for 3s vanish 2; at 16s for 2s throttle 50%; at 18s for 2s stale 50%; at 19s for 3s ageing 1 by 2;
        at 20s for 2s retry_abuse; at 21s for 2s slow_handshake 25%; at 24s for 3s burst by 2;
        at 28s for 3s hang 1; at 30s for 3s neighbour 2 by 3; at 31s for 3s report_late 50%; at 32s for 2s hot_key 40%;
        """, false);
    assertTrue(verdict.totals().calls.get() > 9_000, "calls " + verdict.totals().calls);
    WebhookClients.Totals t = verdict.totals();
    assertEquals(
        t.calls.get(), t.served.get() + t.refused.get() + t.failed.get() + t.unreached.get());
  }

  @Test
  void edgesKilledAgainAndAgainAnswerTheirSendersRetries() throws Exception {
    play("""
        day = 9s; seed = 5; edges = 2; runners = 6; functions = 4; rate = 80; work = 40ms; unsafe = 60%;
        at 1500ms restart_edges 1; at 4s restart_edges 2; at 2s for 2s hang 1;
        """, true);
  }

  @Test
  void loadOrdersStayRationedOnSockets() throws Exception {
    play("""
        day = 10s; seed = 9; edges = 2; runners = 8; functions = 20; rate = 60; on_miss = 0;
        at 2s for 3s scan 30%; at 4s for 2s crash 2; at 6s for 3s drain 1;
        """, false);
  }

  /** Rules 3 to 5 hold for the orders of a faulty planner too, and calls are served. */
  @Test
  void aPlannerGoneWrongBreaksNoRule() throws Exception {
    DayScript day = DayScript.parse("""
        day = 10s; seed = 21; edges = 2; runners = 8; functions = 6; rate = 60; on_miss = 0;
        at 1s for 2s drain 2; at 4s for 2s crash 2; at 6s for 2s drain 2;
        """);
    List<String> functions =
        IntStream.range(0, 30).mapToObj(i -> "svc/plan-" + i).toList();
    try (StandInPlanner planner = new StandInPlanner(functions, 21);
        TestFleet fleet = new TestFleet(
            day,
            dir.resolve("planned"),
            false,
            l -> {},
            List.of(),
            "planner { address: \"" + planner.address() + "\" ask_ms: 150 }\n")) {
      Play.Verdict verdict = new Play(day, fleet).run(null);
      assertTrue(verdict.good(), verdict.violations().toString() + verdict.overloadedRunners());
      assertTrue(
          verdict.totals().served.get() > 0.9 * verdict.totals().calls.get(),
          verdict.totals().reasons.toString());
      long plannedOrders = fleet.tap().orders.stream()
          .filter(o -> o.function().startsWith("svc/plan-"))
          .count();
      assertTrue(
          planner.planCount() > 20 && plannedOrders >= 5,
          planner.planCount() + " plans, " + plannedOrders + " orders of them");
    }
  }

  @Test
  void secondTriesAtOnceAndWorkThatNoCancelStops() throws Exception {
    play("""
        day = 8s; seed = 13; edges = 2; runners = 6; functions = 4; rate = 80; duplicates = 1; cancelling = 0;
        at 1s for 3s hang 2; at 2s for 4s slow 2 by 8; at 5s for 2s reset 1;
        """, false);
  }

  @Test
  void scriptsNameTheirFaults() throws Exception {
    assertEquals("1:1: no setting is called 'dya'", message("dya = 3s;").substring(0, 31));
    assertTrue(message("day = 3;").contains("1:1: day needs a time"));
    assertTrue(
        message("rate = 3;\nat 1s burts by 2;").startsWith("2:1: no trouble is called 'burts'"));
    assertTrue(message("at 1s hang 200%;").contains("100%"));
    assertTrue(message("at 1s\nfor hang;").startsWith("2:"));
    assertEquals(
        List.of(2, 1),
        DayScript.parse("at 1s hang 15%; at 2s hang 1;").troubles().stream()
            .map(t -> t.affectedCount(12))
            .toList());
  }

  private static String message(String script) {
    try {
      DayScript.parse(script);
      return "";
    } catch (DayScript.BadScript e) {
      return e.getMessage();
    }
  }
}
