package gorseladder.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;

/**
 * Ranks all workers for each function by names and weights alone, with multi-probe consistent hashing (Appleton,
 * O'Reilly 2015). A function has {@link #PROBES} points on a circle, a worker has one. The first worker is the one with
 * the smallest clockwise distance from any probe, divided by its weight.
 *
 * <p>The sort key of a worker depends only on the function and that worker. So a worker that joins or leaves does not
 * reorder the others, and two dispatchers whose lists differ in d of W workers agree on the first k workers of all but
 * about 2kd/W of the functions.
 *
 * <p>Finding the first k workers of a function examines about {@code PROBES + k} members times the number of
 * {@link #rings}; a change of one worker touches about one bucket of its ring. Not thread safe.
 *
 * @param <M> the type of the workers
 */
public final class SharedOrder<M extends Member> {
  /** More probes spread first places more evenly; each adds one ring lookup for a new function. */
  static final int PROBES = 64;
  /** All workers are sorted if at least one in this many is asked for or there are few; else the rings are walked. */
  private static final int FULL_SORT_DIVISOR = 4;

  private static final double TWO_TO_53 = 1L << 53;

  /** One ring per binary exponent of the weights: the next power of two bounds the weights and so the keys. */
  private final Map<Integer, Ring<M>> rings = new TreeMap<>();

  private int size;
  private long examined;

  private record Scored<M extends Member>(M member, double key) {}

  /** Number of workers in the order. */
  public int size() {
    return size;
  }

  /** Number of members examined so far, by changes and lookups; a measure of work. */
  public long examined() {
    return examined;
  }

  /**
   * Adds a worker, or changes its weight if it is already in the order.
   *
   * @param weight above 0, in any unit
   * @return false if nothing changed
   */
  public boolean put(M member, double weight) {
    if (member.isOrdered() && member.weight == weight) {
      return false;
    }
    remove(member);
    member.weight = weight;
    Ring<M> ring = rings.computeIfAbsent(Math.getExponent(weight), exponent -> new Ring<>());
    ring.add(member);
    member.ring = ring;
    size++;
    examined++;
    return true;
  }

  /** Removes a worker; returns false if it is not in the order. */
  public boolean remove(M member) {
    if (!member.isOrdered()) {
      return false;
    }
    int exponent = Math.getExponent(member.weight);
    Ring<M> ring = rings.get(exponent);
    ring.remove(member);
    if (ring.size() == 0) {
      rings.remove(exponent);
    }
    member.ring = null;
    size--;
    examined++;
    return true;
  }

  /** The hash of a function name, as {@link #first} takes it. */
  public static long functionHash(String name) {
    return Hashes.ofName(name);
  }

  /** The sort key of a worker in the order of a function; the lowest key comes first. */
  public static double key(String function, String worker, double weight) {
    return new Keys(function).of(worker, weight);
  }

  /** Computes the sort keys of many workers for one function. */
  public static final class Keys {
    private final long function;
    private final long[] probes;

    /** Prepares the keys of the function with the given name. */
    public Keys(String function) {
      this.function = Hashes.ofName(function);
      probes = probes(this.function);
    }

    /** The sort key of a worker; the lowest key comes first. */
    public double of(String worker, double weight) {
      long point = Hashes.circlePoint(Hashes.ofName(worker));
      return key(nearest(probes, point), function, point, weight);
    }
  }

  private static long[] probes(long function) {
    long[] probes = new long[PROBES];
    for (int i = 0; i < PROBES; i++) {
      probes[i] = Hashes.circlePoint(Hashes.derive(function, i));
    }
    return probes;
  }

  private static long nearest(long[] probes, long point) {
    long nearest = Long.MAX_VALUE;
    for (long probe : probes) {
      nearest = Math.min(nearest, Hashes.circlePoint(point - probe));
    }
    return nearest;
  }

  /**
   * The distance, multiplied by a pseudo-random factor of the pair, divided by the weight. Without the factor a worker
   * closely behind another on the circle would be first for hardly any function; with it, each of two workers at the
   * same point is first for three quarters of its share. Longer chains of such workers are evened out less well, and
   * three members are examined for each one returned.
   */
  private static double key(long distance, long function, long point, double weight) {
    double unit = (Hashes.mix(function ^ point) >>> 11) / TWO_TO_53;
    double shrink = 1 - unit;
    return distance / (shrink * shrink * weight);
  }

  /**
   * The first {@code count} workers in the order of a function, or all of them if there are fewer.
   *
   * @param function the hash from {@link #functionHash}
   */
  public List<M> first(long function, int count) {
    boolean sortAll = size <= PROBES || count * FULL_SORT_DIVISOR >= size;
    return sortAll ? firstBySorting(function, count) : firstByWalking(function, count);
  }

  private Comparator<Scored<M>> lowestFirst() {
    return (one, other) -> {
      int byKey = Double.compare(one.key(), other.key());
      return byKey != 0 ? byKey : one.member().name().compareTo(other.member().name());
    };
  }

  private List<M> firstBySorting(long function, int count) {
    long[] probes = probes(function);
    List<Scored<M>> all = new ArrayList<>(size);
    for (Ring<M> ring : rings.values()) {
      ring.forEach(member -> {
        long distance = nearest(probes, member.point);
        all.add(new Scored<>(member, key(distance, function, member.point, member.weight)));
      });
    }
    examined += all.size();
    all.sort(lowestFirst());
    return all.stream().limit(count).map(Scored::member).toList();
  }

  /** Walks each ring from every probe, merged so that the member with the lowest bound comes next. */
  private final class MergedWalk {
    private final List<Ring<M>.Cursor> cursors = new ArrayList<>(PROBES * rings.size());
    /** Upper bound of the weights in the ring of each walk. */
    private final double[] weightBounds = new double[PROBES * rings.size()];
    /** Lower bound of the remaining keys of each walk. */
    private final double[] bounds = new double[PROBES * rings.size()];

    private int lowest;

    MergedWalk(long[] probes) {
      rings.forEach((exponent, ring) -> {
        for (long probe : probes) {
          weightBounds[cursors.size()] = Math.scalb(1.0, exponent + 1);
          cursors.add(ring.new Cursor(probe));
          updateBound(cursors.size() - 1);
        }
      });
      examined += cursors.size();
      findLowest();
    }

    private void updateBound(int walk) {
      Ring<M>.Cursor cursor = cursors.get(walk);
      bounds[walk] = cursor.member() == null
          ? Double.POSITIVE_INFINITY
          : cursor.distance() / weightBounds[walk];
    }

    /** Scans all walks: there are few, and a heap of them would cost more. */
    private void findLowest() {
      lowest = 0;
      for (int walk = 1; walk < bounds.length; walk++) {
        if (bounds[walk] < bounds[lowest]) {
          lowest = walk;
        }
      }
    }

    double bound() {
      return bounds[lowest];
    }

    Scored<M> next(long function) {
      Ring<M>.Cursor cursor = cursors.get(lowest);
      M member = cursor.member();
      Scored<M> scored =
          new Scored<>(member, key(cursor.distance(), function, member.point, member.weight));
      examined++;
      cursor.next();
      updateBound(lowest);
      findLowest();
      return scored;
    }
  }

  private List<M> firstByWalking(long function, int count) {
    MergedWalk walk = new MergedWalk(probes(function));
    PriorityQueue<Scored<M>> candidates = new PriorityQueue<>(lowestFirst());
    Set<M> taken = new HashSet<>();
    List<M> first = new ArrayList<>(count);
    while (first.size() < count) {
      if (candidates.isEmpty() || candidates.peek().key() >= walk.bound()) {
        candidates.add(walk.next(function));
        continue;
      }
      M member = candidates.poll().member();
      if (taken.add(member)) {
        first.add(member);
      }
    }
    return first;
  }
}
