package gorseladder.ahead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.CopyStatus;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SeenTest {
  private final Seen seen = new Seen();

  /** Orders for copies that stand are answered at once; they must not make loads look free. */
  @Test
  void renewalsDoNotHideWhatLoadsTake() {
    seen.taken("f", 400, 2);
    seen.loaded("f", 1_000);
    seen.loaded("f", 700_000);
    for (int i = 0; i < 50; i++) {
      seen.loaded("f", 1_000);
    }
    assertEquals(new Seen.Of(1, 400, 2, 0, 700_000), seen.take().get("f"));
  }

  @Test
  void workAndLoadAreToldApartAndCallsCountOnce() {
    for (int i = 0; i < 3; i++) {
      seen.taken("f", 400, 2);
      seen.served("f", CopyStatus.WARM, 200_000);
      seen.served("f", CopyStatus.BEGAN, 900_000);
      seen.served("f", CopyStatus.WAITED, 900_000);
    }
    seen.served("unknown", CopyStatus.WARM, 1);
    Map<String, Seen.Of> taken = seen.take();
    assertEquals(Map.of("f", new Seen.Of(3, 400, 2, 200_000, 700_000)), taken);
    seen.taken("f", 400, 2);
    assertEquals(1, seen.take().get("f").calls());
    assertTrue(seen.take().isEmpty(), "not called since");
    seen.giveBack(taken);
    assertEquals(taken, seen.take(), "what could not be told is counted again");
  }
}
