package gorseladder.ahead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.CopyStatus;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SeenTest {
  private final FunctionStats stats = new FunctionStats();

  /** Orders for loaded copies are answered at once and must not lower the measured load time. */
  @Test
  void renewalsDoNotHideWhatLoadsTake() {
    stats.callAccepted("f", 400, 2);
    stats.loaded("f", 1_000);
    stats.loaded("f", 700_000);
    for (int i = 0; i < 50; i++) {
      stats.loaded("f", 1_000);
    }
    assertEquals(
        new FunctionStats.Snapshot(1, 400, 2, 0, 700_000), stats.takeSnapshots().get("f"));
  }

  @Test
  void workAndLoadAreToldApartAndCallsCountOnce() {
    for (int i = 0; i < 3; i++) {
      stats.callAccepted("f", 400, 2);
      stats.served("f", CopyStatus.WARM, 200_000);
      stats.served("f", CopyStatus.BEGAN, 900_000);
      stats.served("f", CopyStatus.WAITED, 900_000);
    }
    stats.served("unknown", CopyStatus.WARM, 1);
    Map<String, FunctionStats.Snapshot> snapshots = stats.takeSnapshots();
    assertEquals(Map.of("f", new FunctionStats.Snapshot(3, 400, 2, 200_000, 700_000)), snapshots);
    stats.callAccepted("f", 400, 2);
    assertEquals(1, stats.takeSnapshots().get("f").calls());
    assertTrue(stats.takeSnapshots().isEmpty(), "not called since");
    stats.restoreCalls(snapshots);
    assertEquals(snapshots, stats.takeSnapshots(), "what could not be sent is counted again");
  }
}
