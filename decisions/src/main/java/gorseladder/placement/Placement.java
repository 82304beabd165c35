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
 * Which copies to hold where: copies whose expected benefit passes their cost, the best first for what they take of
 * memory and of the orders allowed, each at the worker where dispatchers look first and there is room; then a pass that
 * makes room for a better copy by leaving out lesser ones. Free of input and clocks; a few milliseconds for thousands
 * of functions.
 *
 * <p>A copy of a function stands at most once at a worker here: a second lane set at one worker is the worker's affair.
 */
public final class Placement {
  /** Copies of one function at the most in one plan. */
  private static final int MOST_COPIES = 16;
  /**
   * Part of the gain lost for each place further down the shared order: dispatchers look at the first places, and a
   * copy that stands elsewhere is found by hardly any call. A copy of a number may stand at that place at no loss.
   */
  private static final double RANK_LOSS = 0.4;
  /** Places of the shared order that are looked at. */
  private static final int MOST_PLACES = 8;

  /** What all copies of a plan together may take: orders, and gigabytes fetched. */
  public record Limits(int orders, double gigabytes) {}

  /**
   * A copy to hold.
   *
   * @param number of this copy of its function, from 1
   * @param gain expected seconds of waiting saved; {@code cost} what that costs, in the same unit
   * @param holdSeconds seconds for which it is held without a call
   */
  public record PlacedCopy(
      String function, String worker, int number, double gain, double cost, double holdSeconds) {
    /** What it brings. */
    public double netBenefit() {
      return gain - cost;
    }
  }

  private static final Comparator<PlacedCopy> LEAST_FIRST = Comparator.comparingDouble(
          PlacedCopy::netBenefit)
      .thenComparing(PlacedCopy::function)
      .thenComparingInt(PlacedCopy::number)
      .thenComparing(PlacedCopy::worker);

  private record Candidate(Demand demand, int number, BenefitModel.Copy worth, double density) {}

  private final List<WorkerCapacity> hosts;
  private final Limits limits;
  private final BenefitModel worth;
  private final double[] free;
  private final int[] loads;
  private final double memory;
  private final Map<String, int[]> nearest = new HashMap<>();
  private final Map<String, Demand> demands = new HashMap<>();
  /** What is placed, the least first; and the same by worker. */
  private final TreeSet<PlacedCopy> placed = new TreeSet<>(LEAST_FIRST);

  private final List<TreeSet<PlacedCopy>> byHost = new ArrayList<>();
  /** Copies placed of each function. */
  private final Map<String, Integer> copies = new HashMap<>();

  private final Map<String, Integer> index = new HashMap<>();
  private double gigabytes;

  private Placement(List<WorkerCapacity> hosts, Limits limits, BenefitModel worth) {
    this.hosts = List.copyOf(hosts);
    this.limits = limits;
    this.worth = worth;
    free = hosts.stream().mapToDouble(WorkerCapacity::freeMb).toArray();
    loads = hosts.stream().mapToInt(WorkerCapacity::maxLoads).toArray();
    memory = Math.max(1, Arrays.stream(free).sum());
    for (int i = 0; i < hosts.size(); i++) {
      index.put(hosts.get(i).name(), i);
      byHost.add(new TreeSet<>(LEAST_FIRST));
    }
  }

  /**
   * Chooses copies for a stretch of time.
   *
   * @param stretch its length in seconds
   * @param keepAlive seconds that an idle copy stays
   */
  public static List<PlacedCopy> choose(
      List<Demand> demands,
      List<WorkerCapacity> hosts,
      Limits limits,
      Prices prices,
      double stretch,
      double keepAlive) {
    Placement placement =
        new Placement(hosts, limits, new BenefitModel(prices, stretch, keepAlive));
    List<Candidate> left = placement.greedy(demands);
    placement.improve(left);
    return List.copyOf(placement.placed.descendingSet());
  }

  /**
   * What the copy of this number (from 1) brings at a place of the function's shared order (from 0), in seconds of
   * waiting; for whoever solves the same problem another way.
   */
  public static double netBenefit(
      Demand d, int number, int place, Prices prices, double stretch, double keepAlive) {
    BenefitModel.Copy copy = new BenefitModel(prices, stretch, keepAlive).of(d, number);
    return copy.gain() * kept(number, place) - copy.cost();
  }

  /** Places of the shared order at which the copy of this number may stand. */
  public static int candidatePositions(int number) {
    return number - 1 + MOST_PLACES;
  }

  private static double kept(int number, int place) {
    return Math.max(0, 1 - RANK_LOSS * Math.max(0, place + 1 - number));
  }

  private Candidate candidate(Demand d, int number) {
    BenefitModel.Copy copy = worth.of(d, number);
    // Orders and memory are what copies compete for; each counts by the part of the whole it
    // takes.
    double takes = d.memoryMb() / memory + 1.0 / Math.max(1, limits.orders());
    return new Candidate(d, number, copy, copy.net() / takes);
  }

  private List<Candidate> greedy(List<Demand> all) {
    PriorityQueue<Candidate> queue =
        new PriorityQueue<>(Comparator.comparingDouble((Candidate c) -> -c.density())
            .thenComparing(c -> c.demand().function()));
    for (Demand d : all) {
      demands.put(d.function(), d);
      Candidate first = candidate(d, 1);
      if (first.worth().net() > 0) {
        queue.add(first);
      }
    }
    List<Candidate> left = new ArrayList<>();
    while (!queue.isEmpty()) {
      Candidate c = queue.poll();
      if (!place(c)) {
        left.add(c);
        continue;
      }
      Candidate next = candidate(c.demand(), c.number() + 1);
      if (c.number() < MOST_COPIES && next.worth().net() > 0) {
        queue.add(next);
      }
    }
    return left;
  }

  /** Hosts in the function's shared order, nearest first. */
  private int[] nearest(String function) {
    return nearest.computeIfAbsent(function, f -> {
      SharedOrder.Keys keys = new SharedOrder.Keys(f);
      double[] distance = new double[hosts.size()];
      Integer[] order = new Integer[hosts.size()];
      for (int i = 0; i < order.length; i++) {
        order[i] = i;
        distance[i] = keys.of(hosts.get(i).name(), hosts.get(i).weight());
      }
      Arrays.sort(order, Comparator.comparingDouble(i -> distance[i]));
      return Arrays.stream(order)
          .mapToInt(Integer::intValue)
          .limit(MOST_COPIES + MOST_PLACES)
          .toArray();
    });
  }

  private boolean withinLimits(Demand d) {
    return placed.size() < limits.orders() && gigabytes + d.memoryMb() / 1024 <= limits.gigabytes();
  }

  private PlacedCopy at(Candidate c, int place) {
    double gain = c.worth().gain() * kept(c.number(), place);
    return new PlacedCopy(
        c.demand().function(),
        hosts.get(nearest(c.demand().function())[place]).name(),
        c.number(),
        gain,
        c.worth().cost(),
        c.worth().holdSeconds());
  }

  private boolean standsAt(String function, int host) {
    return byHost.get(host).stream().anyMatch(p -> p.function().equals(function));
  }

  private boolean place(Candidate c) {
    if (!withinLimits(c.demand())) {
      return false;
    }
    int[] order = nearest(c.demand().function());
    for (int place = 0; place < Math.min(order.length, candidatePositions(c.number())); place++) {
      int host = order[place];
      if (free[host] >= c.demand().memoryMb()
          && loads[host] > 0
          && (c.number() == 1 || !standsAt(c.demand().function(), host))) {
        PlacedCopy p = at(c, place);
        if (p.netBenefit() > 0) {
          take(p);
          return true;
        }
        return false;
      }
    }
    return false;
  }

  private void take(PlacedCopy p) {
    double mb = demands.get(p.function()).memoryMb();
    int host = index.get(p.worker());
    free[host] -= mb;
    loads[host]--;
    gigabytes += mb / 1024;
    placed.add(p);
    byHost.get(host).add(p);
    copies.merge(p.function(), 1, Integer::sum);
  }

  private void leave(PlacedCopy p) {
    double mb = demands.get(p.function()).memoryMb();
    int host = index.get(p.worker());
    free[host] += mb;
    loads[host]++;
    gigabytes -= mb / 1024;
    placed.remove(p);
    byHost.get(host).remove(p);
    copies.merge(p.function(), -1, Integer::sum);
  }

  /**
   * Tries each copy that found no room, at each near worker, in the place of lesser ones there, or of the least of all
   * where only the number of orders binds. A copy left out must be the last of its function.
   */
  private void improve(List<Candidate> left) {
    left.sort(Comparator.comparingDouble(c -> -c.worth().net()));
    for (Candidate c : left.subList(0, Math.min(left.size(), 4 * MOST_PLACES * MOST_COPIES))) {
      Demand d = c.demand();
      int[] order = nearest(d.function());
      for (int place = 0; place < Math.min(order.length, candidatePositions(c.number())); place++) {
        if (!standsAt(d.function(), order[place]) && swap(at(c, place), d, order[place])) {
          break;
        }
      }
    }
  }

  private boolean swap(PlacedCopy fresh, Demand d, int host) {
    // Where all orders are given out nothing can come for less than the least of them.
    boolean ordersBind = placed.size() >= limits.orders();
    if (fresh.netBenefit() <= 0
        || ordersBind
            && (placed.isEmpty() || fresh.netBenefit() <= placed.first().netBenefit())
        || d.memoryMb() > hosts.get(host).freeMb()
        || copies.getOrDefault(d.function(), 0) != fresh.number() - 1) {
      return false;
    }
    List<PlacedCopy> out = new ArrayList<>();
    double lost = makeWay(
        byHost.get(host),
        d,
        out,
        () -> free[host] >= d.memoryMb() && loads[host] > 0,
        fresh.netBenefit(),
        0);
    lost = makeWay(placed, d, out, () -> withinLimits(d), fresh.netBenefit(), lost);
    if (withinLimits(d)
        && free[host] >= d.memoryMb()
        && loads[host] > 0
        && lost < fresh.netBenefit()) {
      take(fresh);
      return true;
    }
    out.forEach(this::take);
    return false;
  }

  /**
   * Leaves out the least, each the last copy of its function, until there is room or it would cost as much as it
   * brings.
   */
  private double makeWay(
      TreeSet<PlacedCopy> from,
      Demand d,
      List<PlacedCopy> out,
      BooleanSupplier room,
      double most,
      double lostSoFar) {
    double lost = lostSoFar;
    for (PlacedCopy p = from.isEmpty() ? null : from.first(); p != null && !room.getAsBoolean(); ) {
      PlacedCopy next = from.higher(p);
      if (lost + p.netBenefit() >= most) {
        break;
      }
      if (!p.function().equals(d.function()) && p.number() == copies.get(p.function())) {
        leave(p);
        out.add(p);
        lost += p.netBenefit();
      }
      p = next;
    }
    return lost;
  }
}
