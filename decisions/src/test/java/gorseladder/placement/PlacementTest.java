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
  private static final double PERIOD_SECONDS = 900;
  private static final double KEEP_ALIVE_SECONDS = 10;

  private static Demand demand(String function, double calls, double previousCalls) {
    return new Demand(function, calls, 1, previousCalls, 1, 500, 2, 0.2, 0.8);
  }

  private static List<WorkerCapacity> workers(int count, double freeMb) {
    List<WorkerCapacity> workers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      workers.add(new WorkerCapacity("h" + i, freeMb, 4, 1));
    }
    return workers;
  }

  private static List<PlacedCopy> choose(
      List<Demand> demands, List<WorkerCapacity> workers, int orders) {
    return Placement.choose(
        demands, workers, new Limits(orders, 1e9), PRICES, PERIOD_SECONDS, KEEP_ALIVE_SECONDS);
  }

  @Test
  void aCopyGoesWhereDispatchersLookFirst() {
    List<WorkerCapacity> workers = workers(9, 10_000);
    for (int i = 0; i < 20; i++) {
      String f = "f" + i;
      PlacedCopy placed = choose(List.of(demand(f, 40, 0)), workers, 10).get(0);
      assertEquals(
          workers.stream()
              .map(WorkerCapacity::name)
              .min(Comparator.comparingDouble(name -> SharedOrder.key(f, name, 1)))
              .orElseThrow(),
          placed.worker());
    }
  }

  /** Loads nothing ahead for functions that calls keep warm anyway, and copies for one that wakes up. */
  @Test
  void whatIsWarmAnywayIsNotLoaded() {
    List<Demand> demands = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      demands.add(demand("f" + i, 900, 900));
    }
    assertEquals(List.of(), choose(demands, workers(20, 10_000), 500));
    demands.add(demand("wakes", 900, 0));
    assertEquals(
        List.of("wakes"),
        choose(demands, workers(20, 10_000), 500).stream()
            .map(PlacedCopy::function)
            .distinct()
            .toList());
  }

  @Test
  void whatIsSeldomCalledIsNotWorthItsMemoryAndDistrustCosts() {
    assertEquals(List.of(), choose(List.of(demand("seldom", 0.02, 0)), workers(3, 10_000), 10));
    Demand reliable = demand("f", 3, 0);
    Demand unreliable = new Demand("f", 3, 1, 0, 0.02, 500, 2, 0.2, 0.8);
    assertEquals(1, choose(List.of(reliable), workers(3, 10_000), 10).size());
    assertEquals(List.of(), choose(List.of(unreliable), workers(3, 10_000), 10));
  }

  /** Concurrent calls beyond the lanes of one copy need further copies, each on another worker. */
  @Test
  void aSurgeGetsCopiesForItsLanes() {
    List<PlacedCopy> placed =
        choose(List.of(demand("surge", 40 * PERIOD_SECONDS, 0)), workers(12, 10_000), 100);
    assertTrue(
        placed.size() >= 4 && placed.size() <= 12,
        placed.size() + " copies for 8 concurrent calls on average with 2 lanes a copy");
    assertEquals(
        placed.size(), placed.stream().map(PlacedCopy::worker).distinct().count());
  }

  /** Random fleets: no limit is exceeded, no copy is placed at a loss or twice on one worker. */
  @Test
  void limitsHoldOnDrawnFleets() {
    Random random = new Random(5);
    int workersAtLimit = 0;
    for (int round = 0; round < 300; round++) {
      List<WorkerCapacity> workers = new ArrayList<>();
      for (int i = 0; i < 1 + random.nextInt(6); i++) {
        workers.add(new WorkerCapacity(
            "h" + i, random.nextInt(3_000), random.nextInt(4), 0.5 + random.nextDouble()));
      }
      List<Demand> demands = new ArrayList<>();
      Map<String, Demand> demandByFunction = new HashMap<>();
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
        demandByFunction.put(d.function(), d);
      }
      Limits limits = new Limits(random.nextInt(20), 1 + random.nextInt(10));
      List<PlacedCopy> placed =
          Placement.choose(demands, workers, limits, PRICES, PERIOD_SECONDS, KEEP_ALIVE_SECONDS);
      assertTrue(placed.size() <= limits.orders());
      assertTrue(placed.stream()
                  .mapToDouble(p -> demandByFunction.get(p.function()).memoryMb())
                  .sum()
              / 1024
          <= limits.gigabytes() + 1e-9);
      Set<String> placedOnce = new HashSet<>();
      for (PlacedCopy p : placed) {
        assertTrue(p.netBenefit() > 0);
        assertTrue(placedOnce.add(p.function() + " at " + p.worker()));
        assertTrue(p.number() == 1
            || placed.stream()
                .anyMatch(o -> o.function().equals(p.function()) && o.number() == p.number() - 1));
      }
      for (WorkerCapacity worker : workers) {
        List<PlacedCopy> onWorker =
            placed.stream().filter(p -> p.worker().equals(worker.name())).toList();
        assertTrue(onWorker.size() <= worker.maxLoads());
        assertTrue(onWorker.stream()
                .mapToDouble(p -> demandByFunction.get(p.function()).memoryMb())
                .sum()
            <= worker.freeMb() + 1e-9);
        workersAtLimit += onWorker.size() == worker.maxLoads() ? 1 : 0;
      }
    }
    assertTrue(
        workersAtLimit > 100, "too few workers reached their limit to test it: " + workersAtLimit);
  }

  @Test
  void trustIsLostByWrongForecastsAndEarnedBack() {
    ForecastConfidence confidence = new ForecastConfidence();
    assertEquals(1, confidence.callsFactor("new"));
    for (int i = 0; i < 30; i++) {
      confidence.record("tenfold", 100, 1, 10);
      confidence.record("right", 100, 1, 90 + i % 20);
      confidence.record("tenth", 10, 1, 100);
      confidence.record("stays away", 5, 0.99, 0);
    }
    assertTrue(confidence.callsFactor("tenfold") < 0.2, "" + confidence.callsFactor("tenfold"));
    assertTrue(
        confidence.callsFactor("right") > 0.9 && confidence.occurrenceFactor("right") > 0.99,
        "" + confidence.callsFactor("right"));
    assertEquals(1, confidence.callsFactor("tenth"));
    assertTrue(
        confidence.occurrenceFactor("stays away") < 0.15,
        "" + confidence.occurrenceFactor("stays away"));
    for (int i = 0; i < 40; i++) {
      confidence.record("stays away", 5, 0.99, 5);
    }
    assertTrue(
        confidence.occurrenceFactor("stays away") > 0.8,
        "" + confidence.occurrenceFactor("stays away"));
    confidence.keepOnly(Set.of("right"));
    assertEquals(1, confidence.callsFactor("tenfold"));
  }

  @Test
  void chancesAgreeWithSums() {
    assertEquals(1 - Math.exp(-2), BenefitModel.probabilityAtLeast(1, 2), 1e-9);
    assertEquals(1 - Math.exp(-2) * (1 + 2 + 2), BenefitModel.probabilityAtLeast(3, 2), 1e-9);
    assertEquals(1, BenefitModel.probabilityAtLeast(3, 500), 1e-6);
    assertEquals(0, BenefitModel.probabilityAtLeast(40, 0.1), 1e-9);
  }
}
