package gorseladder.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.order.SharedOrder;
import gorseladder.placement.Placement.Limits;
import gorseladder.placement.Placement.PlacedCopy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PlacementTest {
  private static final Prices PRICES = new Prices(0.05, 0.002, 0);
  private static final double STRETCH = 900;
  private static final double KEEP = 10;

  private static Demand demand(String function, double calls, double before) {
    return new Demand(function, calls, 1, before, 1, 500, 2, 0.2, 0.8);
  }

  private static List<WorkerCapacity> hosts(int count, double freeMb) {
    List<WorkerCapacity> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      hosts.add(new WorkerCapacity("h" + i, freeMb, 4, 1));
    }
    return hosts;
  }

  private static List<PlacedCopy> choose(
      List<Demand> demands, List<WorkerCapacity> hosts, int orders) {
    return Placement.choose(demands, hosts, new Limits(orders, 1e9), PRICES, STRETCH, KEEP);
  }

  @Test
  void aCopyGoesWhereDispatchersLookFirst() {
    List<WorkerCapacity> hosts = hosts(9, 10_000);
    for (int i = 0; i < 20; i++) {
      String f = "f" + i;
      PlacedCopy placed = choose(List.of(demand(f, 40, 0)), hosts, 10).get(0);
      assertEquals(
          hosts.stream()
              .map(WorkerCapacity::name)
              .min(Comparator.comparingDouble(h -> SharedOrder.key(f, h, 1)))
              .orElseThrow(),
          placed.worker());
    }
  }

  /** A fleet in which everything is warm anyway gets next to nothing loaded ahead. */
  @Test
  void whatIsWarmAnywayIsNotLoaded() {
    List<Demand> demands = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      demands.add(demand("f" + i, 900, 900));
    }
    assertEquals(List.of(), choose(demands, hosts(20, 10_000), 500));
    demands.add(demand("wakes", 900, 0));
    assertEquals(
        List.of("wakes"),
        choose(demands, hosts(20, 10_000), 500).stream()
            .map(PlacedCopy::function)
            .distinct()
            .toList());
  }

  @Test
  void whatIsSeldomCalledIsNotWorthItsMemoryAndDistrustCosts() {
    assertEquals(List.of(), choose(List.of(demand("seldom", 0.02, 0)), hosts(3, 10_000), 10));
    Demand believed = demand("f", 3, 0);
    Demand doubted = new Demand("f", 3, 1, 0, 0.02, 500, 2, 0.2, 0.8);
    assertEquals(1, choose(List.of(believed), hosts(3, 10_000), 10).size());
    assertEquals(List.of(), choose(List.of(doubted), hosts(3, 10_000), 10));
  }

  /** Work at once beyond a copy's lanes asks for further copies, each at a worker of its own. */
  @Test
  void aSurgeGetsCopiesForItsLanes() {
    List<PlacedCopy> placed =
        choose(List.of(demand("surge", 40 * STRETCH, 0)), hosts(12, 10_000), 100);
    assertTrue(
        placed.size() >= 4 && placed.size() <= 12,
        placed.size() + " copies for 8 calls at once in the mean, in lanes of 2");
    assertEquals(
        placed.size(), placed.stream().map(PlacedCopy::worker).distinct().count());
  }

  /** Drawn fleets: no limit is passed, nothing is placed at a loss, nothing twice. */
  @Test
  void limitsHoldOnDrawnFleets() {
    Random random = new Random(5);
    int bound = 0;
    for (int round = 0; round < 300; round++) {
      List<WorkerCapacity> hosts = new ArrayList<>();
      for (int i = 0; i < 1 + random.nextInt(6); i++) {
        hosts.add(new WorkerCapacity(
            "h" + i, random.nextInt(3_000), random.nextInt(4), 0.5 + random.nextDouble()));
      }
      List<Demand> demands = new ArrayList<>();
      Map<String, Demand> byName = new HashMap<>();
      for (int i = 0; i < random.nextInt(30); i++) {
        Demand d = new Demand(
            "f" + i,
            random.nextInt(200),
            1 + random.nextInt(3),
            random.nextInt(20),
            random.nextDouble(),
            100 + random.nextInt(900),
            1 + random.nextInt(4),
            0.2,
            0.2 + random.nextDouble());
        demands.add(d);
        byName.put(d.function(), d);
      }
      Limits limits = new Limits(random.nextInt(20), 1 + random.nextInt(10));
      List<PlacedCopy> placed = Placement.choose(demands, hosts, limits, PRICES, STRETCH, KEEP);
      assertTrue(placed.size() <= limits.orders());
      assertTrue(placed.stream()
                  .mapToDouble(p -> byName.get(p.function()).memoryMb())
                  .sum()
              / 1024
          <= limits.gigabytes() + 1e-9);
      Set<String> once = new HashSet<>();
      for (PlacedCopy p : placed) {
        assertTrue(p.netBenefit() > 0);
        assertTrue(once.add(p.function() + " at " + p.worker()));
        assertTrue(p.number() == 1
            || placed.stream()
                .anyMatch(o -> o.function().equals(p.function()) && o.number() == p.number() - 1));
      }
      for (WorkerCapacity h : hosts) {
        List<PlacedCopy> here =
            placed.stream().filter(p -> p.worker().equals(h.name())).toList();
        assertTrue(here.size() <= h.maxLoads());
        assertTrue(
            here.stream().mapToDouble(p -> byName.get(p.function()).memoryMb()).sum()
                <= h.freeMb() + 1e-9);
        bound += here.size() == h.maxLoads() ? 1 : 0;
      }
    }
    assertTrue(bound > 100, "limits that never bind show nothing: " + bound);
  }

  @Test
  void trustIsLostByWrongForecastsAndEarnedBack() {
    ForecastConfidence trust = new ForecastConfidence();
    assertEquals(1, trust.callsFactor("new"));
    for (int i = 0; i < 30; i++) {
      trust.record("tenfold", 100, 1, 10);
      trust.record("right", 100, 1, 90 + i % 20);
      trust.record("tenth", 10, 1, 100);
      trust.record("stays away", 5, 0.99, 0);
    }
    assertTrue(trust.callsFactor("tenfold") < 0.2, "" + trust.callsFactor("tenfold"));
    assertTrue(
        trust.callsFactor("right") > 0.9 && trust.occurrenceFactor("right") > 0.99,
        "" + trust.callsFactor("right"));
    assertEquals(1, trust.callsFactor("tenth"));
    assertTrue(
        trust.occurrenceFactor("stays away") < 0.15, "" + trust.occurrenceFactor("stays away"));
    for (int i = 0; i < 40; i++) {
      trust.record("stays away", 5, 0.99, 5);
    }
    assertTrue(
        trust.occurrenceFactor("stays away") > 0.8, "" + trust.occurrenceFactor("stays away"));
    trust.keepOnly(Set.of("right"));
    assertEquals(1, trust.callsFactor("tenfold"));
  }

  @Test
  void chancesAgreeWithSums() {
    assertEquals(1 - Math.exp(-2), BenefitModel.atLeast(1, 2), 1e-9);
    assertEquals(1 - Math.exp(-2) * (1 + 2 + 2), BenefitModel.atLeast(3, 2), 1e-9);
    assertEquals(1, BenefitModel.atLeast(3, 500), 1e-6);
    assertEquals(0, BenefitModel.atLeast(40, 0.1), 1e-9);
  }
}
