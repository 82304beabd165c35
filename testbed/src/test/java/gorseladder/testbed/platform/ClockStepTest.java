package gorseladder.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.platform.PlatformRunner.Reaction;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a new runner that gets more calls than it can serve, also where the wall clocks of dispatcher and
 * runner differ after a step of one of them. Monotonic clocks are unaffected.
 *
 * <p>The new runner serves one call at a time, {@value #WORK_MILLIS} ms each, so its capacity is 40 calls a second, and
 * the bound is that of the overload rule (N + 2 x root of N + 2). An earlier test allowed four calls in the first 1.5
 * s, a bound of no rule, as its runners took no time for a call: it got 26, in repeated runs up to 40, and as many with
 * equal clocks.
 *
 * <p>The fault was not in the clocks. After light calls the budget of the new runner used their typical latency of
 * about a millisecond, as if its capacity were a thousand calls a second, until its own answers arrived: it got 57, 52
 * and 63 calls with a bound of 42, with a correct start time, one an hour behind and one an hour ahead, in about half
 * of the runs. Now the budget gains no tokens from the typical latency while a call is in flight at the runner, and
 * uses the latency of the runner's own last answer where that is longer: 1 to 20 calls.
 */
class ClockStepTest extends DispatcherFixture {
  private static final int CALLS_BEFORE = 300;
  private static final long CALL_GAP_MILLIS = 5;
  private static final int WORK_MILLIS = 25;
  private static final double WARM_CALLS_PER_SECOND = 1_000.0 / WORK_MILLIS;

  /** Most calls that the overload rule allows a new runner within its window: N + 2 x root of N + 2. */
  private static double maxCalls() {
    double n = RULES.overloadMultiple()
        * WARM_CALLS_PER_SECOND
        * RULES.initialCapacity()
        * RULES.overloadWindow()
        / SECOND;
    return n + 2 * Math.sqrt(n) + 2;
  }

  /**
   * A new runner gets few calls at first, whatever its clock shows and however long calls took before.
   *
   * @param hours how far the new runner's clock is ahead of the dispatcher's
   * @param workBefore time of a call at the other runners before the new one starts, in milliseconds
   * @param workAfter the same from its start on
   */
  @ParameterizedTest
  @CsvSource({
    "0, 0, 0", "-1, 0, 0", "1, 0, 0",
    "0, 0, 25", "-1, 0, 25", "1, 0, 25",
    "0, 25, 25", "-1, 25, 25", "1, 25, 25"
  })
  void aRunnerThatStartsIsStartedSlowlyThoughTheClocksDiffer(
      int hours, int workBefore, int workAfter) throws Exception {
    AtomicInteger work = new AtomicInteger(workBefore);
    start(5, a -> {
      sleep(work.get());
      return Reaction.SERVE;
    });
    FastCgiClient client = client();
    int call = 0;
    while (call < CALLS_BEFORE) {
      send(client, ++call, 1_000);
    }
    PlatformRunner fresh = new PlatformRunner(a -> Reaction.SERVE);
    fresh.setWorkMillis(WORK_MILLIS);
    runners.add(fresh);
    work.set(workAfter);
    long stamp = System.currentTimeMillis() + TimeUnit.HOURS.toMillis(hours);
    log.add(PlatformChangeLog.event(
        events.size() + 1, false, "fresh", fresh.address(), "active", stamp));
    long until = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(RULES.overloadWindow());
    while (System.nanoTime() < until) {
      send(client, ++call, 5_000);
    }
    int got = fresh.arrivals().size();
    assertTrue(
        got <= maxCalls(),
        () -> "a runner that just started got " + got + " calls, allowed " + maxCalls());
  }

  private static void sleep(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Calls one of forty functions and waits for the gap between calls. */
  private void send(FastCgiClient client, int call, int firstFunction) throws Exception {
    String function = id(firstFunction + call % 40);
    Map<String, String> params = FastCgiClient.params("safe", id(call), function, 1_500);
    client.send(call, params, body(call));
    Thread.sleep(CALL_GAP_MILLIS);
  }
}
