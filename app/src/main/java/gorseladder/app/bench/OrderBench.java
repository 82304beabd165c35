package gorseladder.app.bench;

import gorseladder.order.Member;
import gorseladder.order.SharedOrder;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine.Command;

/**
 * {@code bench order}: compares algorithms for a shared order of workers by balance, movement and time. All workers
 * have the same weight.
 */
@Command(
    name = "order",
    mixinStandardHelpOptions = true,
    description =
        "Ways to an order of workers that dispatchers share: spread of first places and movement at 240 "
            + "workers, time for the first four at 24,000.")
final class OrderBench implements Runnable {
  private static final int SMALL_FLEET = 240;
  private static final int LARGE_FLEET = 24_000;
  private static final int FUNCTION_COUNT = 100_000;
  private static final int TIMED_CALLS = 2_000;
  private static final int TIMED_WORKERS = 4;
  private static final int VIRTUAL_NODES = 100;
  private static final int ZONES = 19;
  private static final int PROBES = 64;

  /** An algorithm for the order. Workers and functions are numbers that are hashed. */
  private interface Ordering {
    /** The first {@code count} workers of a function. */
    int[] first(long function, int count);
  }

  /** Creates an ordering of a number of workers. */
  private interface OrderingFactory {
    Ordering create(int workers);
  }

  @Override
  public void run() {
    Map<String, OrderingFactory> factories = new TreeMap<>();
    factories.put("1 rendezvous over all, the former", OrderBench::rendezvous);
    factories.put("2 ring, 100 virtual nodes a worker", OrderBench::ring);
    factories.put("3 rendezvous over 19 zones, then workers", OrderBench::zones);
    factories.put("4 multi-probe, 64 probes", OrderBench::multiProbe);
    factories.put("5 multi-probe, stretched (SharedOrder)", OrderBench::shared);
    factories.forEach(OrderBench::measure);
  }

  private static void measure(String name, OrderingFactory factory) {
    Ordering before = factory.create(SMALL_FLEET);
    Ordering after = factory.create(SMALL_FLEET + 1);
    int[] firstPlaces = new int[SMALL_FLEET];
    int movedElsewhere = 0;
    int movedToNew = 0;
    for (int function = 0; function < FUNCTION_COUNT; function++) {
      int firstBefore = before.first(hash(function), 1)[0];
      int firstAfter = after.first(hash(function), 1)[0];
      firstPlaces[firstBefore]++;
      movedToNew += firstAfter == SMALL_FLEET ? 1 : 0;
      movedElsewhere += firstAfter != SMALL_FLEET && firstAfter != firstBefore ? 1 : 0;
    }
    double mean = FUNCTION_COUNT / (double) SMALL_FLEET;
    double spread = Math.sqrt(Arrays.stream(firstPlaces)
            .mapToDouble(n -> (n / mean - 1) * (n / mean - 1))
            .sum()
        / SMALL_FLEET);
    System.out.printf(
        Locale.ROOT,
        "%-42s share: deviation %.3f, least %.2f, most %.2f; a worker joins: takes %.2f of its share, "
            + "moves %.2f of it between others; first %d of %d: %.1f us%n",
        name,
        spread,
        Arrays.stream(firstPlaces).min().orElse(0) / mean,
        Arrays.stream(firstPlaces).max().orElse(0) / mean,
        movedToNew * (SMALL_FLEET + 1.0) / FUNCTION_COUNT,
        movedElsewhere * (SMALL_FLEET + 1.0) / FUNCTION_COUNT,
        TIMED_WORKERS,
        LARGE_FLEET,
        microsPerCall(factory.create(LARGE_FLEET)));
  }

  private static double microsPerCall(Ordering ordering) {
    int sum = 0;
    long startNanos = 0;
    for (int call = -TIMED_CALLS / 2; call < TIMED_CALLS; call++) {
      startNanos = call == 0 ? System.nanoTime() : startNanos;
      sum += ordering.first(hash(call + FUNCTION_COUNT), TIMED_WORKERS)[0];
    }
    return sum < 0 ? 0 : (System.nanoTime() - startNanos) / 1e3 / TIMED_CALLS;
  }

  private static long hash(long number) {
    long mixed = (number + 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ mixed >>> 29) * 0x94d049bb133111ebL;
    return mixed ^ mixed >>> 32;
  }

  private static double unitHash(long one, long other) {
    return (hash(one ^ other) >>> 11) / (double) (1L << 53);
  }

  private static int[] lowest(double[] keys, int count) {
    int[] first = new int[Math.min(count, keys.length)];
    boolean[] taken = new boolean[keys.length];
    for (int i = 0; i < first.length; i++) {
      int best = -1;
      for (int worker = 0; worker < keys.length; worker++) {
        best = !taken[worker] && (best < 0 || keys[worker] < keys[best]) ? worker : best;
      }
      taken[best] = true;
      first[i] = best;
    }
    return first;
  }

  private static long[] points(int workers) {
    long[] points = new long[workers];
    for (int worker = 0; worker < workers; worker++) {
      points[worker] = hash(-1L - worker);
    }
    return points;
  }

  private static Ordering rendezvous(int workers) {
    long[] points = points(workers);
    return (function, count) -> {
      double[] keys = new double[workers];
      for (int worker = 0; worker < workers; worker++) {
        keys[worker] = unitHash(function, points[worker]);
      }
      return lowest(keys, count);
    };
  }

  private static Ordering ring(int workers) {
    TreeMap<Long, Integer> nodes = new TreeMap<>();
    long[] points = points(workers);
    for (int worker = 0; worker < workers; worker++) {
      for (int node = 0; node < VIRTUAL_NODES; node++) {
        nodes.put(hash(points[worker] + node), worker);
      }
    }
    return (function, count) -> {
      int[] first = new int[count];
      int found = 0;
      Map.Entry<Long, Integer> node = nodes.ceilingEntry(function);
      while (found < count) {
        node = node == null ? nodes.firstEntry() : node;
        int worker = node.getValue();
        int before = found;
        if (Arrays.stream(first, 0, before).noneMatch(other -> other == worker)) {
          first[found++] = worker;
        }
        node = nodes.higherEntry(node.getKey());
      }
      return first;
    };
  }

  private static Ordering zones(int workers) {
    long[] points = points(workers);
    return (function, count) -> {
      double[] zoneKeys = new double[ZONES];
      for (int zone = 0; zone < ZONES; zone++) {
        double weight = (workers - zone + ZONES - 1) / ZONES;
        zoneKeys[zone] = -Math.log(unitHash(function, zone)) / weight;
      }
      int zone = lowest(zoneKeys, 1)[0];
      double[] keys = new double[(workers - zone + ZONES - 1) / ZONES];
      for (int i = 0; i < keys.length; i++) {
        keys[i] = unitHash(function, points[zone + i * ZONES]);
      }
      return Arrays.stream(lowest(keys, count)).map(i -> zone + i * ZONES).toArray();
    };
  }

  private static Ordering multiProbe(int workers) {
    TreeMap<Long, Integer> nodes = new TreeMap<>();
    long[] points = points(workers);
    for (int worker = 0; worker < workers; worker++) {
      nodes.put(points[worker], worker);
    }
    return (function, count) -> {
      Map<Integer, Long> nearest = new TreeMap<>();
      for (int probe = 0; probe < PROBES; probe++) {
        long place = hash(function + probe);
        Map.Entry<Long, Integer> node = nodes.ceilingEntry(place);
        for (int step = 0; step < count; step++) {
          node = node == null ? nodes.firstEntry() : node;
          nearest.merge(node.getValue(), node.getKey() - place, OrderBench::lower);
          node = nodes.higherEntry(node.getKey());
        }
      }
      return nearest.entrySet().stream()
          .sorted((one, other) -> Long.compareUnsigned(one.getValue(), other.getValue()))
          .limit(count)
          .mapToInt(Map.Entry::getKey)
          .toArray();
    };
  }

  private static long lower(long one, long other) {
    return Long.compareUnsigned(one, other) < 0 ? one : other;
  }

  private static final class Worker extends Member {
    private final int number;

    Worker(int number) {
      super("worker" + number);
      this.number = number;
    }
  }

  private static Ordering shared(int workers) {
    SharedOrder<Worker> order = new SharedOrder<>();
    List<Worker> all = new ArrayList<>();
    for (int worker = 0; worker < workers; worker++) {
      all.add(new Worker(worker));
      order.put(all.get(worker), 1);
    }
    return (function, count) ->
        order.first(function, count).stream().mapToInt(worker -> worker.number).toArray();
  }
}
