package gorseladder;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.Limits;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Rules;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.WorkerEntry;
import java.util.List;

/** Settings and worker list entries for tests. */
final class TestSites {
  private TestSites() {}

  static Settings settings(boolean loadsOnMiss, boolean duplicates) {
    return settings(loadsOnMiss, duplicates, 1);
  }

  static Settings settings(boolean loadsOnMiss, boolean duplicates, int dispatchers) {
    long ms = 1000;
    return new Settings(
        0,
        dispatchers,
        "z",
        2 * ms,
        10_000 * ms,
        loadsOnMiss,
        false,
        0,
        0.1,
        new Limits(4, duplicates, true, false, true, true, true, 1000 * ms, 10_000 * ms),
        new Rules(500 * ms, 0.2, 15_000 * ms, 2.5, 1500 * ms, 2, 0.3, 5000 * ms),
        List.of(
            new RequestClass(
                "safe", Effect.SAFE, Group.ALL, 0, 1000 * ms, 3000 * ms, 3, 0.2, false),
            new RequestClass(
                "keyed", Effect.KEYED, Group.ZONE, 2000 * ms, 1000 * ms, 3000 * ms, 3, 0.2, false),
            new RequestClass(
                "unsafe", Effect.UNSAFE, Group.ALL, 0, 1000 * ms, 3000 * ms, 2, 0.2, false)),
        List.of());
  }

  static WorkerEntry entry(String id, Phase phase, long startedAt) {
    return new WorkerEntry(id, "z", 1, phase, 1, startedAt);
  }
}
