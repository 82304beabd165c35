package gorseladder.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.platform.PlatformRunner.Reaction;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Wall clocks that do not agree: a dispatcher's, or a runner's, was stepped. Monotonic clocks run on.
 *
 * <p>The test before this one let a runner that had just started get four calls in its first 1.5 s; it got 26 in a
 * check, up to 40 when repeated, and as many with clocks that agree. Four was a bound of no rule: its stand-ins took no
 * time for a call, and nothing told what they bear. Here the runner that starts serves one call after the other,
 * {@value #WORK_MILLIS} ms each, so it bears 40 a second, and the bound is the term's (N + 2 x root of N + 2).
 *
 * <p>So judged there was a fault, and not of the clocks: where calls had been light the budget of the runner went by
 * their usual time of about a millisecond, as if it bore a thousand a second, until its own answers came in a row: 57,
 * 52 and 63 calls of 42, with the stamp true, an hour behind and an hour ahead, in about half of the plays. Now the
 * budget saves nothing by that usual time while a call is out there, and goes by the runner's own last answer where
 * that took longer: 1 to 20 calls.
 */
class ClockStepTest extends DispatcherFixture {
  private static final int CALLS_BEFORE = 300;
  private static final long GAP_MILLIS = 5;
  private static final int WORK_MILLIS = 25;
  private static final double WARM_CALLS_PER_SECOND = 1_000.0 / WORK_MILLIS;

  /** What a runner that just started bears in the time of the rule: N + 2 x root of N + 2. */
  private static double bound() {
    double n = RULES.overloadMultiple()
        * WARM_CALLS_PER_SECOND
        * RULES.initialCapacity()
        * RULES.overloadWindow()
        / SECOND;
    return n + 2 * Math.sqrt(n) + 2;
  }

  /**
   * A runner that starts is started slowly, whatever its clock says and whatever calls took before.
   *
   * @param hours by how much its clock is ahead of the dispatcher's
   * @param workBefore what a call takes at the other runners before it starts, in milliseconds
   * @param workThen the same from its start on
   */
  @ParameterizedTest
  @CsvSource({
    "0, 0, 0", "-1, 0, 0", "1, 0, 0",
    "0, 0, 25", "-1, 0, 25", "1, 0, 25",
    "0, 25, 25", "-1, 25, 25", "1, 25, 25"
  })
  void aRunnerThatStartsIsStartedSlowlyThoughTheClocksDiffer(
      int hours, int workBefore, int workThen) throws Exception {
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
    work.set(workThen);
    long stamp = System.currentTimeMillis() + TimeUnit.HOURS.toMillis(hours);
    log.add(PlatformChangeLog.event(
        events.size() + 1, false, "fresh", fresh.address(), "active", stamp));
    long until = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(RULES.overloadWindow());
    while (System.nanoTime() < until) {
      send(client, ++call, 5_000);
    }
    int got = fresh.arrivals().size();
    assertTrue(
        got <= bound(), () -> "a runner that just started got " + got + " calls of " + bound());
  }

  private static void sleep(int millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Calls one of forty functions, numbered from there. */
  private void send(FastCgiClient client, int call, int functions) throws Exception {
    String function = id(functions + call % 40);
    Map<String, String> params = FastCgiClient.params("safe", id(call), function, 1_500);
    client.send(call, params, body(call));
    Thread.sleep(GAP_MILLIS);
  }
}
