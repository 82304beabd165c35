package gorseladder.placement;

import gorseladder.order.SharedOrder;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;

/**
 * Decides which copies to hold on which workers. A greedy pass takes the copies whose expected benefit exceeds their
 * cost, in descending order of benefit per share of memory and orders, and places each on the first worker of the
 * shared order that has room. A second pass makes room for a better copy by removing less beneficial ones. It does no
 * I/O, reads no clock and takes a few milliseconds for thousands of functions.
 *
 * <p>A plan has at most one copy of a function on a worker: whether a worker runs more of them is its own decision.
 */
public final class Placement {
  /** Maximum copies of one function in one plan. */
  private static final int MAX_COPIES = 16;
  /**
   * Part of the gain lost for each position further down the shared order: dispatchers try the first positions, and
   * hardly any call finds a copy elsewhere. The copy with number n loses nothing at the first n positions.
   */
  private static final double LOSS_PER_POSITION = 0.4;
  /** Positions of the shared order that are tried for the first copy; each further copy has one more. */
  private static final int FIRST_COPY_POSITIONS = 8;

  /** Limits for all copies of a plan together: orders, and gigabytes fetched. */
  public record Limits(int orders, double gigabytes) {}

  /**
   * A copy to hold.
   *
   * @param number number of this copy among those of its function, from 1
   * @param gain expected waiting time saved, in seconds
   * @param cost cost of the copy, in seconds of waiting time
   * @param holdSeconds time for which the copy is held without a call
   */
  public record PlacedCopy(
      String function, String worker, int number, double gain, double cost, double holdSeconds) {
    /** Gain less cost. */
    public double netBenefit() {
      return gain - cost;
    }
  }

  private static final Comparator<PlacedCopy> BY_NET_BENEFIT = Comparator.comparingDouble(
          PlacedCopy::netBenefit)
      .thenComparing(PlacedCopy::function)
      .thenComparingInt(PlacedCopy::number)
      .thenComparing(PlacedCopy::worker);

  private record Candidate(
      Demand demand, int number, BenefitModel.Estimate estimate, double density) {}

  private final List<WorkerCapacity> workers;
  private final Limits limits;
  private final BenefitModel benefitModel;
  private final double[] freeMb;
  private final int[] remainingLoads;
  private final double totalMemoryMb;
  private final Map<String, int[]> orderedWorkers = new HashMap<>();
  private final Map<String, Demand> demands = new HashMap<>();
  /** The placed copies in ascending order of benefit. */
  private final TreeSet<PlacedCopy> placed = new TreeSet<>(BY_NET_BENEFIT);

  /** The placed copies of each worker, in the same order. */
  private final List<TreeSet<PlacedCopy>> placedByWorker = new ArrayList<>();
  /** Number of placed copies of each function. */
  private final Map<String, Integer> copyCounts = new HashMap<>();

  private final Map<String, Integer> workerIndex = new HashMap<>();
  private double fetchedGigabytes;

  private Placement(List<WorkerCapacity> workers, Limits limits, BenefitModel benefitModel) {
    this.workers = List.copyOf(workers);
    this.limits = limits;
    this.benefitModel = benefitModel;
    freeMb = workers.stream().mapToDouble(WorkerCapacity::freeMb).toArray();
    remainingLoads = workers.stream().mapToInt(WorkerCapacity::maxLoads).toArray();
    totalMemoryMb = Math.max(1, Arrays.stream(freeMb).sum());
    for (int i = 0; i < workers.size(); i++) {
      workerIndex.put(workers.get(i).name(), i);
      placedByWorker.add(new TreeSet<>(BY_NET_BENEFIT));
    }
  }

  /**
   * Chooses copies for a period of time.
   *
   * @param periodSeconds length of the period
   * @param keepAliveSeconds time after which an idle copy is unloaded
   * @return the copies in descending order of benefit
   */
  public static List<PlacedCopy> choose(
      List<Demand> demands,
      List<WorkerCapacity> workers,
      Limits limits,
      Prices prices,
      double periodSeconds,
      double keepAliveSeconds) {
    Placement placement =
        new Placement(workers, limits, new BenefitModel(prices, periodSeconds, keepAliveSeconds));
    List<Candidate> unplaced = placement.placeGreedily(demands);
    placement.improve(unplaced);
    return List.copyOf(placement.placed.descendingSet());
  }

  /**
   * The net benefit in seconds of waiting time of the copy with this number (from 1) at a position (from 0) of the
   * function's shared order. It lets another solver of the same problem be compared with this one.
   */
  public static double netBenefit(
      Demand d,
      int number,
      int position,
      Prices prices,
      double periodSeconds,
      double keepAliveSeconds) {
    BenefitModel.Estimate estimate =
        new BenefitModel(prices, periodSeconds, keepAliveSeconds).estimate(d, number);
    return estimate.gain() * positionFactor(number, position) - estimate.cost();
  }

  /** Number of positions of the shared order at which the copy with this number may be placed. */
  public static int candidatePositions(int number) {
    return number - 1 + FIRST_COPY_POSITIONS;
  }

  private static double positionFactor(int number, int position) {
    return Math.max(0, 1 - LOSS_PER_POSITION * Math.max(0, position + 1 - number));
  }

  private Candidate candidate(Demand d, int number) {
    BenefitModel.Estimate estimate = benefitModel.estimate(d, number);
    // Copies compete for orders and memory; each resource counts by the part of its total that the
    // copy takes.
    double resourceShare = d.memoryMb() / totalMemoryMb + 1.0 / Math.max(1, limits.orders());
    return new Candidate(d, number, estimate, estimate.netBenefit() / resourceShare);
  }

  private List<Candidate> placeGreedily(List<Demand> all) {
    PriorityQueue<Candidate> queue =
        new PriorityQueue<>(Comparator.comparingDouble((Candidate c) -> -c.density())
            .thenComparing(c -> c.demand().function()));
    for (Demand d : all) {
      demands.put(d.function(), d);
      Candidate first = candidate(d, 1);
      if (first.estimate().netBenefit() > 0) {
        queue.add(first);
      }
    }
    List<Candidate> unplaced = new ArrayList<>();
    while (!queue.isEmpty()) {
      Candidate c = queue.poll();
      if (!tryPlace(c)) {
        unplaced.add(c);
        continue;
      }
      Candidate next = candidate(c.demand(), c.number() + 1);
      if (c.number() < MAX_COPIES && next.estimate().netBenefit() > 0) {
        queue.add(next);
      }
    }
    return unplaced;
  }

  /** Indexes of the first workers in the function's shared order. */
  private int[] orderedWorkers(String function) {
    return orderedWorkers.computeIfAbsent(function, f -> {
      SharedOrder.Keys keys = new SharedOrder.Keys(f);
      double[] distance = new double[workers.size()];
      Integer[] order = new Integer[workers.size()];
      for (int i = 0; i < order.length; i++) {
        order[i] = i;
        distance[i] = keys.of(workers.get(i).name(), workers.get(i).weight());
      }
      Arrays.sort(order, Comparator.comparingDouble(i -> distance[i]));
      return Arrays.stream(order)
          .mapToInt(Integer::intValue)
          .limit(MAX_COPIES + FIRST_COPY_POSITIONS)
          .toArray();
    });
  }

  private boolean withinLimits(Demand d) {
    return placed.size() < limits.orders()
        && fetchedGigabytes + d.memoryMb() / 1024 <= limits.gigabytes();
  }

  private PlacedCopy copyAt(Candidate c, int position) {
    double gain = c.estimate().gain() * positionFactor(c.number(), position);
    return new PlacedCopy(
        c.demand().function(),
        workers.get(orderedWorkers(c.demand().function())[position]).name(),
        c.number(),
        gain,
        c.estimate().cost(),
        c.estimate().holdSeconds());
  }

  private boolean isPlacedAt(String function, int worker) {
    return placedByWorker.get(worker).stream().anyMatch(p -> p.function().equals(function));
  }

  private boolean tryPlace(Candidate c) {
    if (!withinLimits(c.demand())) {
      return false;
    }
    int[] order = orderedWorkers(c.demand().function());
    for (int position = 0;
        position < Math.min(order.length, candidatePositions(c.number()));
        position++) {
      int worker = order[position];
      if (freeMb[worker] >= c.demand().memoryMb()
          && remainingLoads[worker] > 0
          && (c.number() == 1 || !isPlacedAt(c.demand().function(), worker))) {
        PlacedCopy p = copyAt(c, position);
        if (p.netBenefit() > 0) {
          add(p);
          return true;
        }
        return false;
      }
    }
    return false;
  }

  private void add(PlacedCopy p) {
    double mb = demands.get(p.function()).memoryMb();
    int worker = workerIndex.get(p.worker());
    freeMb[worker] -= mb;
    remainingLoads[worker]--;
    fetchedGigabytes += mb / 1024;
    placed.add(p);
    placedByWorker.get(worker).add(p);
    copyCounts.merge(p.function(), 1, Integer::sum);
  }

  private void remove(PlacedCopy p) {
    double mb = demands.get(p.function()).memoryMb();
    int worker = workerIndex.get(p.worker());
    freeMb[worker] += mb;
    remainingLoads[worker]++;
    fetchedGigabytes -= mb / 1024;
    placed.remove(p);
    placedByWorker.get(worker).remove(p);
    copyCounts.merge(p.function(), -1, Integer::sum);
  }

  /**
   * Tries to place each copy that found no room on each of its candidate workers, in place of less beneficial copies
   * there, or of the least beneficial ones of all workers where only the number of orders is exhausted. Only the last
   * copy of a function may be removed.
   */
  private void improve(List<Candidate> unplaced) {
    unplaced.sort(Comparator.comparingDouble(c -> -c.estimate().netBenefit()));
    for (Candidate c :
        unplaced.subList(0, Math.min(unplaced.size(), 4 * FIRST_COPY_POSITIONS * MAX_COPIES))) {
      Demand d = c.demand();
      int[] order = orderedWorkers(d.function());
      for (int position = 0;
          position < Math.min(order.length, candidatePositions(c.number()));
          position++) {
        if (!isPlacedAt(d.function(), order[position])
            && tryReplace(copyAt(c, position), d, order[position])) {
          break;
        }
      }
    }
  }

  private boolean tryReplace(PlacedCopy candidate, Demand d, int worker) {
    // Once all orders are used, a copy must be better than the least beneficial placed one.
    boolean ordersExhausted = placed.size() >= limits.orders();
    if (candidate.netBenefit() <= 0
        || ordersExhausted
            && (placed.isEmpty() || candidate.netBenefit() <= placed.first().netBenefit())
        || d.memoryMb() > workers.get(worker).freeMb()
        || copyCounts.getOrDefault(d.function(), 0) != candidate.number() - 1) {
      return false;
    }
    List<PlacedCopy> removed = new ArrayList<>();
    double lostBenefit = removeLeast(
        placedByWorker.get(worker),
        d,
        removed,
        () -> freeMb[worker] >= d.memoryMb() && remainingLoads[worker] > 0,
        candidate.netBenefit(),
        0);
    lostBenefit =
        removeLeast(placed, d, removed, () -> withinLimits(d), candidate.netBenefit(), lostBenefit);
    if (withinLimits(d)
        && freeMb[worker] >= d.memoryMb()
        && remainingLoads[worker] > 0
        && lostBenefit < candidate.netBenefit()) {
      add(candidate);
      return true;
    }
    removed.forEach(this::add);
    return false;
  }

  /**
   * Removes the least beneficial copies, each the last one of its function, until there is room or the lost benefit
   * would reach {@code maxLoss}.
   *
   * @param removed receives the removed copies
   * @return the lost benefit, {@code initialLoss} included
   */
  private double removeLeast(
      TreeSet<PlacedCopy> candidates,
      Demand d,
      List<PlacedCopy> removed,
      BooleanSupplier hasRoom,
      double maxLoss,
      double initialLoss) {
    double lostBenefit = initialLoss;
    for (PlacedCopy p = candidates.isEmpty() ? null : candidates.first();
        p != null && !hasRoom.getAsBoolean(); ) {
      PlacedCopy next = candidates.higher(p);
      if (lostBenefit + p.netBenefit() >= maxLoss) {
        break;
      }
      if (!p.function().equals(d.function()) && p.number() == copyCounts.get(p.function())) {
        remove(p);
        removed.add(p);
        lostBenefit += p.netBenefit();
      }
      p = next;
    }
    return lostBenefit;
  }
}
