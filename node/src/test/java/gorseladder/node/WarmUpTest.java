package gorseladder.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.Limits;
import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Rules;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.Tenant;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.core.StallDetector;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.Watchdog;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Prevents a warm-up that ends early, so that the first calls of clients meet code that is not compiled. */
class WarmUpTest {
  private static final long SECOND = 1_000_000;
  private static final int STACK_BYTES = 128 << 10;
  /** Long enough that the result does not depend on the load of the machine. */
  private static final long MAX_MICROS = 60 * SECOND;

  private static RequestClass requestClass(String name, Effect effect) {
    return new RequestClass(name, effect, Group.ALL, SECOND, SECOND, 2 * SECOND, 1, 0.2, false);
  }

  private static NodeConfig config() {
    Settings settings = new Settings(
        0,
        2,
        "z",
        2_000,
        8 * SECOND,
        true,
        false,
        0,
        0.05,
        new Limits(4, false, true, false, true, true, true, SECOND, SECOND),
        new Rules(500_000, 0.2, 6 * SECOND, 2.5, 1_500_000, 0, 0, 0),
        List.of(
            requestClass("safe", Effect.SAFE),
            requestClass("unsafe", Effect.UNSAFE),
            requestClass("keyed", Effect.KEYED)),
        List.of(new Tenant("t", 1, 100)));
    InetSocketAddress nowhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    return new NodeConfig(
        "n0",
        nowhere,
        5,
        512,
        128 << 20,
        null,
        List.of(),
        null,
        nowhere,
        0,
        List.of(),
        settings,
        new NodeConfig.Links(250_000, 30 * SECOND, 100, true, true),
        20_000);
  }

  private static int run(List<WorkerEntry> workers) {
    try (Watchdog watchdog = new Watchdog("watchdog", STACK_BYTES);
        ThreadCache threads = new ThreadCache("connection", 4, STACK_BYTES)) {
      StallDetector stallDetector = new StallDetector(watchdog);
      return WarmUp.run(
          config(),
          new WorkerListUpdate(ListKind.SAVED, workers),
          watchdog,
          stallDetector,
          threads,
          MAX_MICROS);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 100})
  void everyCallIsAnswered(int workers) {
    List<WorkerEntry> listed = IntStream.range(0, workers)
        .mapToObj(i -> new WorkerEntry("r" + i, "z", 0, Phase.RUNNING, 1, i * SECOND))
        .toList();
    assertEquals(WarmUp.CALLS, run(listed));
  }

  @Test
  void aListWithoutWorkersEndsNothing() {
    assertEquals(WarmUp.CALLS, run(List.of()));
  }
}
