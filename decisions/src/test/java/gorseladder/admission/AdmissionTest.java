package gorseladder.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.admission.Admission.Arrival;
import gorseladder.admission.Admission.Settings;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class AdmissionTest {
  private static final long AIM = 1_000_000;

  /**
   * One server that takes calls in their order, with a cost of each refusal, and clients that come back when told to.
   */
  private static final class Site {
    private static final long CALL = 2_000;
    private static final long REFUSAL = 100;

    private record Waiting(long id, long message, String tenant, double worth, long since) {}

    private record Coming(long at, long message, String tenant, double worth, long first)
        implements Comparable<Coming> {
      @Override
      public int compareTo(Coming other) {
        return Long.compare(at, other.at);
      }
    }

    private final Admission admission;
    private final int bound;
    private final Random random = new Random(5);
    private final PriorityQueue<Coming> coming = new PriorityQueue<>();
    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private final Map<Integer, Integer> goodBySecond = new HashMap<>();
    private final Map<String, Integer> good = new HashMap<>();
    private final Map<Double, Integer> goodByWorth = new HashMap<>();
    private long messages;
    private long slowFrom = Long.MAX_VALUE;
    private long slowTo;
    private int slowBy = 1;
    private int refused;

    Site(Admission admission, int bound) {
      this.admission = admission;
      this.bound = bound;
    }

    /** Poisson arrivals of fresh calls, at a multiple of what the server can do. */
    void load(long from, long to, double multiple, String tenant, double worth) {
      for (double at = from; at < to; at += -Math.log(1 - random.nextDouble()) * CALL / multiple) {
        coming.add(new Coming((long) at, ++messages, tenant, worth, (long) at));
      }
    }

    /**
     * Runs until nothing comes any more; the server does one thing at a time, refusals first, as they come with the
     * reading.
     */
    void run(int retries) {
      long now = 0;
      while (!coming.isEmpty() || !queue.isEmpty()) {
        if (queue.isEmpty() && coming.peek().at() > now) {
          now = coming.peek().at();
        }
        while (!coming.isEmpty() && coming.peek().at() <= now) {
          now = arrive(coming.poll(), now, retries);
        }
        Waiting w = queue.poll();
        if (w != null) {
          now += CALL * (now >= slowFrom && now < slowTo ? slowBy : 1);
          if (admission != null) {
            admission.sent(w.id(), now);
          }
          if (now - w.since() <= AIM) {
            goodBySecond.merge((int) (now / 1_000_000), 1, Integer::sum);
            good.merge(w.tenant(), 1, Integer::sum);
            goodByWorth.merge(w.worth(), 1, Integer::sum);
          }
        }
      }
    }

    private long arrive(Coming c, long now, int retries) {
      boolean may = queue.size() < bound
          && (admission == null
              || admission.mayEnter(new Arrival(c.message(), c.tenant(), c.worth(), AIM, 0), now));
      if (may) {
        long id = ++messages;
        queue.add(new Waiting(id, c.message(), c.tenant(), c.worth(), c.at()));
        if (admission != null) {
          admission.entered(id, c.tenant(), now);
        }
        return now;
      }
      refused++;
      if (retries > 0 && now - c.first() < retries * 1_000_000L) {
        long wait = admission == null ? 1 : admission.retryAfter();
        coming.add(
            new Coming(now + wait * 1_000_000, c.message(), c.tenant(), c.worth(), c.first()));
      }
      return now + REFUSAL;
    }

    int goodIn(int from, int to) {
      int sum = 0;
      for (int s = from; s < to; s++) {
        sum += goodBySecond.getOrDefault(s, 0);
      }
      return sum;
    }
  }

  private static Admission admission(Map<String, Double> shares) {
    return new Admission(new Settings(1_000, shares, 2_000_000), 3);
  }

  private static double goodput(Admission admission, int bound, double multiple) {
    Site site = new Site(admission, bound);
    site.load(0, 20_000_000, multiple, "a", 1);
    site.run(0);
    return site.goodIn(5, 20) / 15.0 / (1_000_000.0 / Site.CALL);
  }

  @Test
  void goodputStaysWhereAFixedBoundAndNoBoundLoseIt() {
    StringBuilder table = new StringBuilder();
    for (double multiple : new double[] {0.5, 0.9, 1, 1.5, 3, 5}) {
      double with = goodput(admission(Map.of()), 1_000, multiple);
      double fixed = goodput(null, 1_000, multiple);
      double neither = goodput(null, Integer.MAX_VALUE, multiple);
      table.append(String.format(
          "%nx%.1f: %.2f with, %.2f fixed bound, %.2f neither", multiple, with, fixed, neither));
      // What is left when every call beyond the server's is refused at a twentieth of its cost.
      double best = Math.min(multiple, (1 - 0.05 * multiple) / (1 - 0.05));
      assertTrue(with > 0.93 * Math.min(1, best), table.toString());
      assertTrue(multiple < 1.5 || fixed < 0.1 && neither < 0.1, table.toString());
    }
  }

  @Test
  void tenTimesTheLoadLeavesNothingStandingTwoSecondsLater() {
    Site site = new Site(admission(Map.of()), 1_000);
    site.load(0, 40_000_000, 0.5, "a", 1);
    site.load(10_000_000, 20_000_000, 9.5, "a", 1);
    site.run(3);
    double calm = site.goodIn(2, 10) / 8.0;
    assertTrue(site.goodIn(25, 40) / 15.0 > 0.97 * calm, site.goodBySecond.toString());
    assertTrue(site.refused > 10_000);
  }

  @Test
  void halfTheServiceIsHalfTheGoodputAndNotNone() {
    Site site = new Site(admission(Map.of()), 1_000);
    site.slowFrom = 10_000_000;
    site.slowTo = 20_000_000;
    site.slowBy = 2;
    site.load(0, 30_000_000, 0.95, "a", 1);
    site.run(0);
    assertTrue(site.goodIn(11, 20) / 9.0 > 225, site.goodBySecond.toString());
    assertTrue(site.goodIn(23, 30) / 7.0 > 440, site.goodBySecond.toString());
  }

  /** A tenant that floods takes what others leave: they, within their shares, keep nearly all of their calls. */
  @Test
  void aFloodTakesNothingFromTenantsWithinTheirShare() {
    Site site = new Site(admission(Map.of("flood", 0.5, "calm", 0.5)), 1_000);
    site.load(0, 20_000_000, 4, "flood", 1);
    site.load(0, 20_000_000, 0.3, "calm", 1);
    site.run(0);
    double calm = site.good.get("calm") / (20 * 0.3 * 500);
    assertTrue(calm > 0.95, "calm " + calm);
    assertTrue(site.good.get("flood") > 20 * 0.5 * 500 * 0.8, "flood " + site.good);
  }

  @Test
  void callsWorthMoreGoFirstAndNoneStarves() {
    Site site = new Site(admission(Map.of()), 1_000);
    site.load(0, 20_000_000, 1, "a", 1);
    site.load(0, 20_000_000, 1, "a", 0.2);
    site.run(0);
    int most = site.goodByWorth.get(1.0);
    int least = site.goodByWorth.getOrDefault(0.2, 0);
    assertTrue(most > 0.8 * 20 * 500 && least > 10 && least < 0.3 * most, most + " " + least);
  }

  /** A call that was refused and comes again waits for fresh ones. */
  @Test
  void freshCallsGoBeforeThoseThatComeAgain() {
    Admission admission = admission(Map.of());
    long now = 10_000_000;
    ArrayDeque<Long> inside = new ArrayDeque<>();
    // 200 calls come and 100 are sent a second, the oldest first: before long they stand.
    for (long i = 0; i < 800; i++) {
      now += 5_000;
      if (admission.mayEnter(new Arrival(i, "a", 1, AIM, 0), now)) {
        admission.entered(i, "a", now);
        inside.add(i);
      }
      if (i % 2 == 0 && !inside.isEmpty()) {
        admission.sent(inside.poll(), now);
      }
    }
    long next = 1_000;
    for (; admission.mayEnter(new Arrival(next, "a", 1, AIM, 0), now); next++) {
      admission.entered(next, "a", now);
      inside.add(next);
    }
    int full = admission.waiting();
    assertTrue(full >= 40, "waiting " + full);
    for (int i = 0; i < 8; i++) {
      admission.endedUnsent(inside.poll());
    }
    assertFalse(admission.mayEnter(new Arrival(next, "a", 1, AIM, 0), now));
    assertTrue(
        admission.mayEnter(new Arrival(9_999, "a", 1, AIM, 0), now),
        "waiting " + admission.waiting() + " full " + full);
  }

  /** Calls that wait long for one function's load turn nobody away while others go through at once. */
  @Test
  void aStandingFunctionIsNoOverload() {
    Admission admission = admission(Map.of());
    long now = 1_000_000;
    for (long i = 0; i < 500; i++) {
      now += 5_000;
      assertTrue(admission.mayEnter(new Arrival(i, "a", 1, AIM, 0), now), "call " + i);
      admission.entered(i, "a", now);
      if (i % 2 == 0) {
        admission.sent(i, now + 1_000);
      }
    }
    assertEquals(250, admission.waiting());
    assertEquals(0, admission.refusals());
  }

  /** Where nothing is sent at all, one call a tenth of a second finds out whether that is still so. */
  @Test
  void aStandstillIsProbed() {
    Admission admission = admission(Map.of());
    long now = 1_000_000;
    int entered = 0;
    for (long i = 0; i < 2_000; i++) {
      now += 5_000;
      if (admission.mayEnter(new Arrival(i, "a", 1, AIM, 0), now)) {
        admission.entered(i, "a", now);
        entered++;
      }
    }
    assertTrue(entered > 90 && entered < 160, "entered " + entered);
  }

  /** A request that waited half its aim to be read is not worth taking while others stand; a few are all the same. */
  @Test
  void aHopelessCallIsRefused() {
    Admission admission = admission(Map.of());
    assertTrue(admission.mayEnter(new Arrival(1, "a", 1, AIM, AIM), 1_000_000));
    for (long i = 0; i < 20; i++) {
      admission.entered(i, "a", 1_000_000);
    }
    assertFalse(admission.mayEnter(new Arrival(1, "a", 1, AIM, AIM * 6 / 10), 1_000_000));
    assertTrue(admission.mayEnter(new Arrival(1, "a", 1, AIM, AIM * 4 / 10), 1_000_000));
  }

  /** Refusals are held back where most calls are refused, and not any more once few are. */
  @Test
  void refusalsAreHeldBackWhereMostAreRefused() {
    Admission admission = admission(Map.of());
    assertEquals(0, admission.refusalDelay());
    for (long i = 0; i < 1_000; i++) {
      if (admission.mayEnter(new Arrival(i, "a", 1, AIM, 0), 1_000_000 + i)) {
        admission.entered(i, "a", 0);
      }
    }
    assertTrue(admission.refusalDelay() > 900_000);
    for (long i = 0; i < 1_000; i++) {
      admission.endedUnsent(i);
      assertTrue(admission.mayEnter(new Arrival(i, "a", 1, AIM, 0), 9_000_000 + i));
    }
    assertEquals(0, admission.refusalDelay());
  }

  @Test
  void clientsRefusedTogetherAreSpread() {
    Admission admission = new Admission(new Settings(10, Map.of(), 8_000_000), 3);
    Map<Integer, Integer> waits = new HashMap<>();
    assertEquals(1, admission.retryAfter());
    long now = 1_000_000;
    for (long i = 0; i < 2_000; i++) {
      now += 10;
      if (admission.mayEnter(new Arrival(i, "a", 1, AIM, 0), now)) {
        admission.entered(i, "a", now);
      } else if (i > 1_000) {
        waits.merge(admission.retryAfter(), 1, Integer::sum);
      }
    }
    assertEquals(Set.of(1, 2, 3, 4, 5, 6, 7, 8), waits.keySet());
    assertTrue(waits.values().stream().allMatch(n -> n > 60 && n < 250), waits.toString());
  }
}
