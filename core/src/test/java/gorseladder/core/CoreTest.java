package gorseladder.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.Limits;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Rules;
import gorseladder.RouterApi.Settings;
import gorseladder.runtime.Writers;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CoreTest {
  private static final long SECOND = 1_000_000;
  private static final int STACK = 512 << 10;

  private final Writers writers = new Writers(1, STACK);
  private volatile boolean stopped;

  private final class Released implements Core.Outbound<Call> {
    @Override
    public void send(Call call, int attempt, String worker, long timeout) {}

    @Override
    public void cancel(Call call, int attempt) {}

    @Override
    public void load(String worker, String function, int copies) {}

    @Override
    public void tellPeers(String text) {}

    @Override
    public void watchList() {}

    @Override
    public void pausing() {
      writers.release();
    }

    @Override
    public void flush() {
      writers.release();
    }
  }

  /** Guards against answers that are written only once the core has nothing to do: never under a lasting overload. */
  @Test
  void whatTheCoreHasWrittenLeavesThoughTheCoreIsNeverIdle() throws Exception {
    CountDownLatch written = new CountDownLatch(1);
    try (writers;
        Core<Call> core = new Core<>(settings(), 1, new Released(), 100, true, null, STACK)) {
      core.collect(
          Map.of(),
          first -> core.collect(Map.of(), second -> {
            writers.execute(written::countDown);
            keepBusy(core);
          }));
      assertTrue(written.await(5, TimeUnit.SECONDS), "held back for 5 s");
    } finally {
      stopped = true;
    }
  }

  /** Each message puts the next one before it is done with. */
  private void keepBusy(Core<Call> core) {
    if (!stopped) {
      core.collect(Map.of(), next -> keepBusy(core));
    }
  }

  private static Settings settings() {
    RequestClass safe =
        new RequestClass("safe", Effect.SAFE, Group.ALL, 0, SECOND, 2 * SECOND, 1, 0.2, false);
    return new Settings(
        0,
        1,
        "z",
        2_000,
        8 * SECOND,
        true,
        false,
        0,
        0.05,
        new Limits(4, false, true, false, false, true, true, SECOND, SECOND),
        new Rules(500_000, 0.2, SECOND, 2, SECOND, 0, 0, 0),
        List.of(safe),
        List.of());
  }
}
