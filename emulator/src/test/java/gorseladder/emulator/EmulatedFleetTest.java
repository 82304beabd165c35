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

  private static Outcomes run(String moreSettings) {
    Emulation.Builder b = Emulation.newBuilder();
    try {
      TextFormat.merge(BASE + moreSettings, b);
    } catch (TextFormat.ParseException e) {
      throw new IllegalArgumentException(e);
    }
    return EmulatedFleet.run(b.build(), part -> {});
  }

  @Test
  void oneSeedGivesOneCourseAndTheCallsDoNotDependOnPlans() {
    Outcomes first = run("ahead { mode: FORECAST }");
    Outcomes second = run("ahead { mode: FORECAST }");
    Outcomes unplanned = run("");
    assertEquals(first.events(), second.events());
    assertEquals(first.meanLatencyMillis(), second.meanLatencyMillis());
    assertEquals(first.calls(), unplanned.calls());
    assertEquals(0, unplanned.planOrders());
    assertTrue(first.calls() > 5_000);
  }

  @Test
  void aKnownSurgeMeetsCopiesAndABadForecastDoesNoHarm() {
    Outcomes unplanned = run("");
    Outcomes planned = run("ahead { mode: FORECAST }");
    assertTrue(
        unplanned.surgeCalls() > 100 && unplanned.surgeColdShare() > 0.08,
        unplanned.surgeColdShare() + " of " + unplanned.surgeCalls());
    assertTrue(
        planned.surgeColdShare() < unplanned.surgeColdShare() / 3,
        planned.surgeColdShare() + " for " + unplanned.surgeColdShare());
    assertTrue(planned.meanLatencyMillis() < unplanned.meanLatencyMillis());
    for (String fault :
        new String[] {"times: 10", "times: 0.1", "shuffled: true", "shifted_slots: 24"}) {
      Outcomes outcomes = run("ahead { mode: FORECAST " + fault + " }");
      assertTrue(
          outcomes.service() > unplanned.service() - 0.01,
          fault + ": " + outcomes.service() + " for " + unplanned.service());
      assertEquals(Map.of(), outcomes.violations());
    }
  }

  @Test
  void aSurgeADayEarlyOrOneThatDoesNotComeDoesNoHarm() {
    for (String option : new String[] {"told_day: 11", "comes: false"}) {
      String surge =
          "surge { population: \"office\" day: 10 hour: 15 hours: 1 times: 10 date: \"odd\" "
              + option
              + " }"
              + " surge { population: \"office\" day: 4 hour: 15 hours: 1 times: 10 date: \"odd\" }";
      assertTrue(
          run(surge + "ahead { mode: FORECAST }").service() > run(surge).service() - 0.01, option);
    }
  }

  /** Plans order next to no loads for functions that are warm anyway. */
  @Test
  void aWarmFleetIsLeftAlone() {
    String steady = "population { name: \"steady\" functions: 8 zipf: 0 calls_per_s: 8 }";
    Outcomes outcomes = run(steady + "ahead { mode: FORECAST }");
    long steadyLoads = outcomes.balancesByFunction().entrySet().stream()
        .filter(e -> e.getKey().startsWith("steady"))
        .mapToLong(e -> e.getValue().loads())
        .sum();
    long calls = outcomes.callsByFunction().entrySet().stream()
        .filter(e -> e.getKey().startsWith("steady"))
        .mapToLong(e -> e.getValue()[0])
        .sum();
    assertTrue(
        calls > 200_000 && steadyLoads < calls / 500,
        steadyLoads + " loads for " + calls + " calls");
  }

  /** Checks rules 1, 3 and 5 under plans, drains, crashes and a ration, with and without loads on miss. */
  @Test
  void rulesHoldWithPlansOn() {
    String troubles = "trouble { kind: DRAINS runners: 2 day: 9 hour: 10 back_after_s: 30 }"
        + " trouble { kind: DRAINS runners: 1 day: 10 hour: 9 back_after_s: 60 }"
        + " trouble { kind: DIES runners: 2 day: 10 hour: 11 }"
        + " edges { loads_free: 2 load_share: 0.3 load_window_ms: 5000 list_lag_ms: 300 ";
    for (String loadOnMiss : new String[] {"loads_on_miss: true }", "loads_on_miss: false }"}) {
      Outcomes outcomes = run(troubles + loadOnMiss + "ahead { mode: FORECAST }");
      assertEquals(Map.of(), outcomes.violations());
      assertTrue(
          outcomes.occasions().get("rule 5, orders under a ration") > 500,
          outcomes.occasions().toString());
      assertTrue(outcomes.planOrders() > 100, "plans took part: " + outcomes.planOrders());
      assertTrue(outcomes.occasions().get("rule 1, final answers") >= outcomes.calls());
    }
  }

  @Test
  void aPlannerThatWasAwayReadsWhatItMissed() {
    Outcomes always = run("ahead { mode: FORECAST }");
    Outcomes away = run("ahead { mode: FORECAST away_from_day: 8 away_days: 2 }");
    assertTrue(
        away.planOrders() < always.planOrders() * 0.9,
        away.planOrders() + " of " + always.planOrders());
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
    assertTrue(assertThrows(IllegalArgumentException.class, () -> Experiment.loadEmulation(file))
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

  /** The calls of a recording are replayed one by one, and the result lists every function. */
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
    assertEquals(5, with.callsByFunction().size());
    assertEquals(
        4 * 4 * 5,
        with.callsByFunction().entrySet().stream()
            .filter(f -> f.getKey().startsWith("svc/morning"))
            .mapToLong(f -> f.getValue()[0])
            .sum());
    assertTrue(
        with.coldShare() < without.coldShare(), with.coldShare() + " for " + without.coldShare());
  }
}
