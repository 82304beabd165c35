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
  private static final long LATENCY_TARGET = 1_000_000;

  /** Simulates a server that handles calls in order, where each refusal costs time, and clients that retry as told. */
  private static final class Simulation {
    private static final long CALL_MICROS = 2_000;
    private static final long REFUSAL_MICROS = 100;

    private record Waiting(long id, long message, String tenant, double worth, long since) {}

    private record ClientCall(long at, long message, String tenant, double worth, long first)
        implements Comparable<ClientCall> {
      @Override
      public int compareTo(ClientCall other) {
        return Long.compare(at, other.at);
      }
    }

    private final Admission admission;
    private final int bound;
    private final Random random = new Random(5);
    private final PriorityQueue<ClientCall> arrivals = new PriorityQueue<>();
    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private final Map<Integer, Integer> goodBySecond = new HashMap<>();
    private final Map<String, Integer> goodByTenant = new HashMap<>();
    private final Map<Double, Integer> goodByWorth = new HashMap<>();
    private long messages;
    private long slowFrom = Long.MAX_VALUE;
    private long slowTo;
    private int slowBy = 1;
    private int refused;

    Simulation(Admission admission, int bound) {
      this.admission = admission;
      this.bound = bound;
    }

    /** Adds Poisson arrivals of new calls at a multiple of the capacity of the server. */
    void load(long from, long to, double multiple, String tenant, double worth) {
      for (double at = from;
          at < to;
          at += -Math.log(1 - random.nextDouble()) * CALL_MICROS / multiple) {
        arrivals.add(new ClientCall((long) at, ++messages, tenant, worth, (long) at));
      }
    }

    /**
     * Runs until no more calls arrive. The server does one thing at a time, refusals first, since a call is refused
     * when it is read.
     */
    void run(int retries) {
      long now = 0;
      while (!arrivals.isEmpty() || !queue.isEmpty()) {
        if (queue.isEmpty() && arrivals.peek().at() > now) {
          now = arrivals.peek().at();
        }
        while (!arrivals.isEmpty() && arrivals.peek().at() <= now) {
          now = arrive(arrivals.poll(), now, retries);
        }
        Waiting w = queue.poll();
        if (w != null) {
          now += CALL_MICROS * (now >= slowFrom && now < slowTo ? slowBy : 1);
          if (admission != null) {
            admission.sent(w.id(), now);
          }
          if (now - w.since() <= LATENCY_TARGET) {
            goodBySecond.merge((int) (now / 1_000_000), 1, Integer::sum);
            goodByTenant.merge(w.tenant(), 1, Integer::sum);
            goodByWorth.merge(w.worth(), 1, Integer::sum);
          }
        }
      }
    }

    private long arrive(ClientCall c, long now, int retries) {
      boolean admitted = queue.size() < bound
          && (admission == null
              || admission.mayEnter(
                  new Arrival(c.message(), c.tenant(), c.worth(), LATENCY_TARGET, 0), now));
      if (admitted) {
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
        arrivals.add(
            new ClientCall(now + wait * 1_000_000, c.message(), c.tenant(), c.worth(), c.first()));
      }
      return now + REFUSAL_MICROS;
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
    Simulation simulation = new Simulation(admission, bound);
    simulation.load(0, 20_000_000, multiple, "a", 1);
    simulation.run(0);
    return simulation.goodIn(5, 20) / 15.0 / (1_000_000.0 / Simulation.CALL_MICROS);
  }

  @Test
  void goodputStaysWhereAFixedBoundAndNoBoundLoseIt() {
    StringBuilder table = new StringBuilder();
    for (double multiple : new double[] {0.5, 0.9, 1, 1.5, 3, 5}) {
      double withAdmission = goodput(admission(Map.of()), 1_000, multiple);
      double fixedBound = goodput(null, 1_000, multiple);
      double unbounded = goodput(null, Integer.MAX_VALUE, multiple);
      table.append(String.format(
          "%nx%.1f: %.2f with admission, %.2f fixed bound, %.2f unbounded",
          multiple, withAdmission, fixedBound, unbounded));
      // Capacity that is left if every call beyond it is refused at a twentieth of the cost of a
      // call.
      double best = Math.min(multiple, (1 - 0.05 * multiple) / (1 - 0.05));
      assertTrue(withAdmission > 0.93 * Math.min(1, best), table.toString());
      assertTrue(multiple < 1.5 || fixedBound < 0.1 && unbounded < 0.1, table.toString());
    }
  }

  @Test
  void tenTimesTheLoadLeavesNothingStandingTwoSecondsLater() {
    Simulation simulation = new Simulation(admission(Map.of()), 1_000);
    simulation.load(0, 40_000_000, 0.5, "a", 1);
    simulation.load(10_000_000, 20_000_000, 9.5, "a", 1);
    simulation.run(3);
    double calm = simulation.goodIn(2, 10) / 8.0;
    assertTrue(simulation.goodIn(25, 40) / 15.0 > 0.97 * calm, simulation.goodBySecond.toString());
    assertTrue(simulation.refused > 10_000);
  }

  @Test
  void halfTheServiceIsHalfTheGoodputAndNotNone() {
    Simulation simulation = new Simulation(admission(Map.of()), 1_000);
    simulation.slowFrom = 10_000_000;
    simulation.slowTo = 20_000_000;
    simulation.slowBy = 2;
    simulation.load(0, 30_000_000, 0.95, "a", 1);
    simulation.run(0);
    assertTrue(simulation.goodIn(11, 20) / 9.0 > 225, simulation.goodBySecond.toString());
    assertTrue(simulation.goodIn(23, 30) / 7.0 > 440, simulation.goodBySecond.toString());
  }

  /**
   * A tenant that sends too much gets what others leave; tenants within their shares keep nearly all of their calls.
   */
  @Test
  void aFloodTakesNothingFromTenantsWithinTheirShare() {
    Simulation simulation = new Simulation(admission(Map.of("flood", 0.5, "calm", 0.5)), 1_000);
    simulation.load(0, 20_000_000, 4, "flood", 1);
    simulation.load(0, 20_000_000, 0.3, "calm", 1);
    simulation.run(0);
    double calm = simulation.goodByTenant.get("calm") / (20 * 0.3 * 500);
    assertTrue(calm > 0.95, "calm " + calm);
    assertTrue(
        simulation.goodByTenant.get("flood") > 20 * 0.5 * 500 * 0.8,
        "flood " + simulation.goodByTenant);
  }

  @Test
  void callsWorthMoreGoFirstAndNoneStarves() {
    Simulation simulation = new Simulation(admission(Map.of()), 1_000);
    simulation.load(0, 20_000_000, 1, "a", 1);
    simulation.load(0, 20_000_000, 1, "a", 0.2);
    simulation.run(0);
    int highWorth = simulation.goodByWorth.get(1.0);
    int lowWorth = simulation.goodByWorth.getOrDefault(0.2, 0);
    assertTrue(
        highWorth > 0.8 * 20 * 500 && lowWorth > 10 && lowWorth < 0.3 * highWorth,
        highWorth + " " + lowWorth);
  }

  /** New calls are admitted before retries of refused ones. */
  @Test
  void freshCallsGoBeforeThoseThatComeAgain() {
    Admission admission = admission(Map.of());
    long now = 10_000_000;
    ArrayDeque<Long> waitingIds = new ArrayDeque<>();
    // 200 calls arrive and 100 are sent a second, the oldest first, so a queue builds up.
    for (long i = 0; i < 800; i++) {
      now += 5_000;
      if (admission.mayEnter(new Arrival(i, "a", 1, LATENCY_TARGET, 0), now)) {
        admission.entered(i, "a", now);
        waitingIds.add(i);
      }
      if (i % 2 == 0 && !waitingIds.isEmpty()) {
        admission.sent(waitingIds.poll(), now);
      }
    }
    long next = 1_000;
    for (; admission.mayEnter(new Arrival(next, "a", 1, LATENCY_TARGET, 0), now); next++) {
      admission.entered(next, "a", now);
      waitingIds.add(next);
    }
    int full = admission.waiting();
    assertTrue(full >= 40, "waiting " + full);
    for (int i = 0; i < 8; i++) {
      admission.endedUnsent(waitingIds.poll());
    }
    assertFalse(admission.mayEnter(new Arrival(next, "a", 1, LATENCY_TARGET, 0), now));
    assertTrue(
        admission.mayEnter(new Arrival(9_999, "a", 1, LATENCY_TARGET, 0), now),
        "waiting " + admission.waiting() + " full " + full);
  }

  /** Calls that wait long for the load of one function cause no refusals while other calls are sent at once. */
  @Test
  void aStandingFunctionIsNoOverload() {
    Admission admission = admission(Map.of());
    long now = 1_000_000;
    for (long i = 0; i < 500; i++) {
      now += 5_000;
      assertTrue(admission.mayEnter(new Arrival(i, "a", 1, LATENCY_TARGET, 0), now), "call " + i);
      admission.entered(i, "a", now);
      if (i % 2 == 0) {
        admission.sent(i, now + 1_000);
      }
    }
    assertEquals(250, admission.waiting());
    assertEquals(0, admission.refusals());
  }

  /** While nothing is sent at all, one call per tenth of a second is admitted as a probe. */
  @Test
  void aStandstillIsProbed() {
    Admission admission = admission(Map.of());
    long now = 1_000_000;
    int entered = 0;
    for (long i = 0; i < 2_000; i++) {
      now += 5_000;
      if (admission.mayEnter(new Arrival(i, "a", 1, LATENCY_TARGET, 0), now)) {
        admission.entered(i, "a", now);
        entered++;
      }
    }
    assertTrue(entered > 90 && entered < 160, "entered " + entered);
  }

  /** A request that waited more than half its latency target to be read is refused, unless hardly any calls wait. */
  @Test
  void aHopelessCallIsRefused() {
    Admission admission = admission(Map.of());
    assertTrue(
        admission.mayEnter(new Arrival(1, "a", 1, LATENCY_TARGET, LATENCY_TARGET), 1_000_000));
    for (long i = 0; i < 20; i++) {
      admission.entered(i, "a", 1_000_000);
    }
    assertFalse(admission.mayEnter(
        new Arrival(1, "a", 1, LATENCY_TARGET, LATENCY_TARGET * 6 / 10), 1_000_000));
    assertTrue(admission.mayEnter(
        new Arrival(1, "a", 1, LATENCY_TARGET, LATENCY_TARGET * 4 / 10), 1_000_000));
  }

  /** Refusals are delayed while most calls are refused, and no longer once few are. */
  @Test
  void refusalsAreHeldBackWhereMostAreRefused() {
    Admission admission = admission(Map.of());
    assertEquals(0, admission.refusalDelay());
    for (long i = 0; i < 1_000; i++) {
      if (admission.mayEnter(new Arrival(i, "a", 1, LATENCY_TARGET, 0), 1_000_000 + i)) {
        admission.entered(i, "a", 0);
      }
    }
    assertTrue(admission.refusalDelay() > 900_000);
    for (long i = 0; i < 1_000; i++) {
      admission.endedUnsent(i);
      assertTrue(admission.mayEnter(new Arrival(i, "a", 1, LATENCY_TARGET, 0), 9_000_000 + i));
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
      if (admission.mayEnter(new Arrival(i, "a", 1, LATENCY_TARGET, 0), now)) {
        admission.entered(i, "a", now);
      } else if (i > 1_000) {
        waits.merge(admission.retryAfter(), 1, Integer::sum);
      }
    }
    assertEquals(Set.of(1, 2, 3, 4, 5, 6, 7, 8), waits.keySet());
    assertTrue(waits.values().stream().allMatch(n -> n > 60 && n < 250), waits.toString());
  }
}
