package gorseladder.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.platform.PlatformRunner.Reaction;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Wall clocks that do not agree: a dispatcher's, or a runner's, was stepped. Monotonic clocks run on. */
class ClockStepTest extends DispatcherFixture {
  private static final int CALLS_BEFORE = 300;
  private static final long GAP_MILLIS = 5;
  private static final long OVERLOAD_MILLIS = 1_500;
  /** A runner that was told as started just now may get so many calls of one dispatcher at first. */
  private static final int FEW = 4;

  /** A runner that starts while the two clocks differ by an hour either way is started slowly all the same. */
  @Test
  void aRunnerThatStartsIsStartedSlowlyThoughTheClocksDiffer() throws Exception {
    start(5, a -> Reaction.SERVE);
    FastCgiClient client = client();
    int call = 0;
    while (call < CALLS_BEFORE) {
      send(client, ++call);
    }
    PlatformRunner fresh = new PlatformRunner(a -> Reaction.SERVE);
    runners.add(fresh);
    long behind = System.currentTimeMillis() - TimeUnit.HOURS.toMillis(1);
    log.add(PlatformChangeLog.event(
        events.size() + 1, false, "fresh", fresh.address(), "active", behind));
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OVERLOAD_MILLIS);
    while (System.nanoTime() < until) {
      send(client, ++call);
    }
    int got = fresh.arrivals().size();
    assertTrue(got <= FEW, () -> "a runner that just started got " + got + " calls");
  }

  private void send(FastCgiClient client, int call) throws Exception {
    String function = id(1_000 + call % 40);
    Map<String, String> params = FastCgiClient.params("safe", id(call), function, 1_500);
    client.send(call, params, body(call));
    Thread.sleep(GAP_MILLIS);
  }
}
