package gorseladder.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.TextFormat;
import gorseladder.emulator.proto.Emulation;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EmulatedFleetTest {
  private static final String BASE = """
      days: 12 teach_days: 8 day_s: 9600 slots: 96
      fleet { runners: 6 memory_mb: 8192 }
      edges { count: 3 }
      call_class { name: "safe" aim_ms: 1200 deadline_ms: 3000 }
      call_class { name: "unsafe" effect: UNSAFE aim_ms: 1200 deadline_ms: 3000 }
      population { name: "office" functions: 12 shape: OFFICE calls_per_s: 0.8 }
      population { name: "term" functions: 10 shape: OFFICE calls_per_s: 0.15 zipf: 0.5 }
      surge { population: "term" day: 3 hour: 9 hours: 3 times: 30 date: "term's end" }
      surge { population: "term" day: 10 hour: 9 hours: 3 times: 30 date: "term's end" }
      """;

  private static Outcomes run(String more) {
    Emulation.Builder b = Emulation.newBuilder();
    try {
      TextFormat.merge(BASE + more, b);
    } catch (TextFormat.ParseException e) {
      throw new IllegalArgumentException(e);
    }
    return EmulatedFleet.run(b.build(), part -> {});
  }

  @Test
  void oneSeedGivesOneCourseAndTheCallsDoNotDependOnPlans() {
    Outcomes first = run("ahead { mode: FORECAST }");
    Outcomes second = run("ahead { mode: FORECAST }");
    Outcomes none = run("");
    assertEquals(first.events(), second.events());
    assertEquals(first.meanMillis(), second.meanMillis());
    assertEquals(first.calls(), none.calls());
    assertEquals(0, none.aheadOrders());
    assertTrue(first.calls() > 5_000);
  }

  @Test
  void aKnownSurgeMeetsCopiesAndABadForecastDoesNoHarm() {
    Outcomes none = run("");
    Outcomes good = run("ahead { mode: FORECAST }");
    assertTrue(
        none.surgeCalls() > 100 && none.surgeColdShare() > 0.08,
        none.surgeColdShare() + " of " + none.surgeCalls());
    assertTrue(
        good.surgeColdShare() < none.surgeColdShare() / 3,
        good.surgeColdShare() + " for " + none.surgeColdShare());
    assertTrue(good.meanMillis() < none.meanMillis());
    for (String bad :
        new String[] {"times: 10", "times: 0.1", "shuffled: true", "shifted_slots: 24"}) {
      Outcomes o = run("ahead { mode: FORECAST " + bad + " }");
      assertTrue(
          o.service() > none.service() - 0.01, bad + ": " + o.service() + " for " + none.service());
      assertEquals(Map.of(), o.broken());
    }
  }

  @Test
  void aSurgeADayEarlyOrOneThatDoesNotComeDoesNoHarm() {
    for (String odd : new String[] {"told_day: 11", "comes: false"}) {
      String surge =
          "surge { population: \"office\" day: 10 hour: 15 hours: 1 times: 10 date: \"odd\" " + odd
              + " }"
              + " surge { population: \"office\" day: 4 hour: 15 hours: 1 times: 10 date: \"odd\" }";
      assertTrue(
          run(surge + "ahead { mode: FORECAST }").service() > run(surge).service() - 0.01, odd);
    }
  }

  /** Where everything is warm anyway next to nothing is ordered. */
  @Test
  void aWarmFleetIsLeftAlone() {
    String steady = "population { name: \"steady\" functions: 8 zipf: 0 calls_per_s: 8 }";
    Outcomes o = run(steady + "ahead { mode: FORECAST }");
    long ofSteady = o.balances().entrySet().stream()
        .filter(e -> e.getKey().startsWith("steady"))
        .mapToLong(e -> e.getValue().loads())
        .sum();
    long calls = o.byFunction().entrySet().stream()
        .filter(e -> e.getKey().startsWith("steady"))
        .mapToLong(e -> e.getValue()[0])
        .sum();
    assertTrue(
        calls > 200_000 && ofSteady < calls / 500, ofSteady + " loads for " + calls + " calls");
  }

  /** Rules 1, 3 and 5 with plans, drains, deaths and a ration, on fleets that load on order only and on miss. */
  @Test
  void rulesHoldWithPlansOn() {
    String troubles = "trouble { kind: DRAINS runners: 2 day: 9 hour: 10 back_after_s: 30 }"
        + " trouble { kind: DRAINS runners: 1 day: 10 hour: 9 back_after_s: 60 }"
        + " trouble { kind: DIES runners: 2 day: 10 hour: 11 }"
        + " edges { loads_free: 2 load_share: 0.3 load_window_ms: 5000 list_lag_ms: 300 ";
    for (String site : new String[] {"loads_on_miss: true }", "loads_on_miss: false }"}) {
      Outcomes o = run(troubles + site + "ahead { mode: FORECAST }");
      assertEquals(Map.of(), o.broken());
      assertTrue(
          o.judged().get("rule 5, orders under a ration") > 500, o.judged().toString());
      assertTrue(o.aheadOrders() > 100, "plans took part: " + o.aheadOrders());
      assertTrue(o.judged().get("rule 1, final answers") >= o.calls());
    }
  }

  @Test
  void aPlannerThatWasAwayReadsWhatItMissed() {
    Outcomes always = run("ahead { mode: FORECAST }");
    Outcomes away = run("ahead { mode: FORECAST away_from_day: 8 away_days: 2 }");
    assertTrue(
        away.aheadOrders() < always.aheadOrders() * 0.9,
        away.aheadOrders() + " of " + always.aheadOrders());
    assertTrue(
        away.surgeColdShare() < run("").surgeColdShare() / 3,
        "the surge after its return is met: " + away.surgeColdShare());
    assertTrue(
        run("ahead { mode: FORECAST hole_from_hour: 9 hole_to_hour: 10 }").service()
            > run("").service() - 0.01);
  }

  @Test
  void badSettingsAreNamed(@TempDir Path dir) throws IOException {
    Path file = dir.resolve("e.txtpb");
    Files.writeString(file, "days: 3\nteach_days: x\n");
    assertTrue(assertThrows(IllegalArgumentException.class, () -> Experiment.emulation(file))
        .getMessage()
        .contains(":2:"));
    assertTrue(assertThrows(
            IllegalArgumentException.class, () -> run("surge { population: \"nobody\" day: 1 }"))
        .getMessage()
        .contains("nobody"));
    assertTrue(assertThrows(IllegalArgumentException.class, () -> run("teach_days: 12"))
        .getMessage()
        .contains("teach_days"));
  }

  /** A recorded history is replayed call by call, walk-forward, with every function listed. */
  @Test
  void aRecordingIsReplayed() throws Exception {
    Recording recording = new Recording();
    long monday = 1_793_577_600L / 60;
    for (int d = 0; d < 12; d++) {
      for (int f = 0; f < 4; f++) {
        recording.add(monday + d * 1_440L + 540 + f, 1, "svc/morning-" + f, 5);
      }
      recording.add(monday + d * 1_440L + 600, 60, "svc/hour", 30);
    }
    Emulation.Builder e = Emulation.newBuilder();
    TextFormat.merge(BASE + "ahead { mode: FORECAST }", e);
    Outcomes with = EmulatedFleet.run(e.build(), recording, part -> {});
    Outcomes without = EmulatedFleet.run(e.clearAhead().build(), recording, part -> {});
    assertEquals(4 * 50, with.calls(), "four counted days");
    assertEquals(5, with.byFunction().size());
    assertEquals(
        4 * 4 * 5,
        with.byFunction().entrySet().stream()
            .filter(f -> f.getKey().startsWith("svc/morning"))
            .mapToLong(f -> f.getValue()[0])
            .sum());
    assertTrue(
        with.coldShare() < without.coldShare(), with.coldShare() + " for " + without.coldShare());
  }
}
