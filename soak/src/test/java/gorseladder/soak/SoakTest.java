package gorseladder.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A short soak of seconds, with few processes and fixed seeds; and the oracle on planted faults. */
class SoakTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final long MICROS_PER_SECOND = 1_000_000;

  @TempDir
  Path dir;

  @Test
  void aSeedGivesTheSamePlan() {
    SoakPlan plan = SoakPlan.draw(7, 12, 14 * MICROS_PER_SECOND, EnumSet.allOf(Trouble.class));
    assertEquals(plan, SoakPlan.draw(7, 12, 14 * MICROS_PER_SECOND, EnumSet.allOf(Trouble.class)));
    assertNotEquals(
        plan, SoakPlan.draw(8, 12, 14 * MICROS_PER_SECOND, EnumSet.allOf(Trouble.class)));
    long overlapping = plan.events().stream()
        .filter(one -> plan.events().stream()
            .anyMatch(other -> other != one
                && other.at() < one.at() + one.duration()
                && one.at() < other.at() + other.duration()))
        .count();
    assertTrue(overlapping > plan.events().size() / 2, "troubles overlap");
  }

  @Test
  void theRulesHoldInAShortSoak() throws Exception {
    SoakPlan plan = SoakPlan.draw(11, 4, 7 * MICROS_PER_SECOND, EnumSet.allOf(Trouble.class));
    try (SoakRun run = new SoakRun(plan, ROOT, dir, null)) {
      SoakRun.Result result = run.execute();
      assertEquals(List.of(), result.findings());
      assertTrue(result.served() > result.requests() / 2, result.served() + " served");
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"REPEATED_WHATEVER_HAPPENED", "TOO_MUCH_TIME_PASSED"})
  void aPlantedFaultIsFound(PlantedFault fault) throws Exception {
    assertTrue(fault.isFound(fault.runSoak(22, ROOT, dir)), fault + " was not found");
  }

  @Test
  void anEdgeKeepsTheRulesThroughClockStepsAFailingDiskAndKills() throws Exception {
    Optional<Preload> preload = Preload.build(dir);
    assertTrue(preload.isPresent(), "the check needs a C compiler");
    EdgeSoak.Result result = new EdgeSoak(31, 7 * MICROS_PER_SECOND, dir, preload.get()).execute();
    assertEquals(List.of(), result.violations());
    assertTrue(result.served() > result.messages() / 4, result.served() + " served");
    assertTrue(result.failedCalls() > 0, "no operation on a file failed");
  }
}
