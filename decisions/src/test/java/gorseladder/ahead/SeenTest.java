package gorseladder.ahead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.CopyStatus;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SeenTest {
  private final FunctionStats seen = new FunctionStats();

  /** Orders for copies that stand are answered at once; they must not make loads look free. */
  @Test
  void renewalsDoNotHideWhatLoadsTake() {
    seen.callAccepted("f", 400, 2);
    seen.loaded("f", 1_000);
    seen.loaded("f", 700_000);
    for (int i = 0; i < 50; i++) {
      seen.loaded("f", 1_000);
    }
    assertEquals(
        new FunctionStats.Snapshot(1, 400, 2, 0, 700_000), seen.takeSnapshots().get("f"));
  }

  @Test
  void workAndLoadAreToldApartAndCallsCountOnce() {
    for (int i = 0; i < 3; i++) {
      seen.callAccepted("f", 400, 2);
      seen.served("f", CopyStatus.WARM, 200_000);
      seen.served("f", CopyStatus.BEGAN, 900_000);
      seen.served("f", CopyStatus.WAITED, 900_000);
    }
    seen.served("unknown", CopyStatus.WARM, 1);
    Map<String, FunctionStats.Snapshot> taken = seen.takeSnapshots();
    assertEquals(Map.of("f", new FunctionStats.Snapshot(3, 400, 2, 200_000, 700_000)), taken);
    seen.callAccepted("f", 400, 2);
    assertEquals(1, seen.takeSnapshots().get("f").calls());
    assertTrue(seen.takeSnapshots().isEmpty(), "not called since");
    seen.restoreCalls(taken);
    assertEquals(taken, seen.takeSnapshots(), "what could not be told is counted again");
  }
}
