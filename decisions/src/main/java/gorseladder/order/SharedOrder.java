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
 * For each function an order of all workers that depends on names and weights alone, handed out from its beginning:
 * multi-probe consistent hashing (Appleton, O'Reilly 2015). A function has {@link #PROBES} places on a circle, a worker
 * one. The worker with the least distance from any probe, clockwise, over its weight, is first.
 *
 * <p>The key of a worker depends on the pair alone. So a worker that joins or leaves moves no other, and two
 * dispatchers whose lists differ by d of W workers agree on the first k of a function but for about a share 2kd/W.
 *
 * <p>The first k of a function cost about {@code PROBES + k} members looked at, times the number of {@link #rings}; a
 * change of one worker touches about a bucket of its ring. Not thread safe.
 *
 * @param <M> the workers
 */
public final class SharedOrder<M extends Member> {
  /** More probes spread first places more evenly; each costs a look at the ring for a new function. */
  static final int PROBES = 64;
  /** Where this part of all is asked for, or there are few, each key is computed; else rings are walked. */
  private static final int DIRECT_PART = 4;

  private static final double TWO_TO_53 = 1L << 53;

  /** One ring for each power of two of the weights, so that the heaviest of a ring bounds the keys of the rest. */
  private final Map<Integer, Ring<M>> rings = new TreeMap<>();

  private int size;
  private long examined;

  private record Scored<M extends Member>(M member, double key) {}

  /** Workers in the order. */
  public int size() {
    return size;
  }

  /** Members looked at so far, in changes and by what was asked for; a measure of work. */
  public long examined() {
    return examined;
  }

  /**
   * Adds a worker, or gives the one that is in a new weight.
   *
   * @param weight above 0, in any unit
   * @return false where nothing changed
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

  /** Takes a worker out; false where it is not in. */
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

  /** The hash under which a function is asked for. */
  public static long functionHash(String name) {
    return Hashes.name(name);
  }

  /** The key of a worker in the order of a function: the lowest comes first. */
  public static double key(String function, String worker, double weight) {
    return new Keys(function).of(worker, weight);
  }

  /** The keys of one function, for who asks for many workers. */
  public static final class Keys {
    private final long function;
    private final long[] probes;

    /** The keys of the function of this name. */
    public Keys(String function) {
      this.function = Hashes.name(function);
      probes = probes(this.function);
    }

    /** The key of a worker: the lowest comes first. */
    public double of(String worker, double weight) {
      long point = Hashes.circle(Hashes.name(worker));
      return key(nearest(probes, point), function, point, weight);
    }
  }

  private static long[] probes(long function) {
    long[] probes = new long[PROBES];
    for (int i = 0; i < PROBES; i++) {
      probes[i] = Hashes.circle(Hashes.nth(function, i));
    }
    return probes;
  }

  private static long nearest(long[] probes, long point) {
    long nearest = Long.MAX_VALUE;
    for (long probe : probes) {
      nearest = Math.min(nearest, Hashes.circle(point - probe));
    }
    return nearest;
  }

  /**
   * The distance, stretched by a factor drawn for the pair, over the weight. Guards against a worker that stands close
   * behind another on the circle and would be first for hardly any function: of two at one place each is first for
   * three quarters of its share. It covers chains of such workers less well, and has three members looked at for each
   * handed out.
   */
  private static double key(long distance, long function, long point, double weight) {
    double unit = (Hashes.mix(function ^ point) >>> 11) / TWO_TO_53;
    double shrink = 1 - unit;
    return distance / (shrink * shrink * weight);
  }

  /**
   * The first workers in the order of a function; all of them where there are no more than that.
   *
   * @param function from {@link #functionHash}
   */
  public List<M> first(long function, int count) {
    boolean direct = size <= PROBES || count * DIRECT_PART >= size;
    return direct ? firstOfAll(function, count) : firstByRings(function, count);
  }

  private Comparator<Scored<M>> lowestFirst() {
    return (one, other) -> {
      int byKey = Double.compare(one.key(), other.key());
      return byKey != 0 ? byKey : one.member().name().compareTo(other.member().name());
    };
  }

  private List<M> firstOfAll(long function, int count) {
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

  /** Walks along the rings from every probe, merged so that the member with the lowest bound comes next. */
  private final class Walks {
    private final List<Ring<M>.Cursor> cursors = new ArrayList<>(PROBES * rings.size());
    private final double[] heaviest = new double[PROBES * rings.size()];
    /** No key still to come on a walk is lower than its bound. */
    private final double[] bounds = new double[PROBES * rings.size()];

    private int lowest;

    Walks(long[] probes) {
      rings.forEach((exponent, ring) -> {
        for (long probe : probes) {
          heaviest[cursors.size()] = Math.scalb(1.0, exponent + 1);
          cursors.add(ring.new Cursor(probe));
          look(cursors.size() - 1);
        }
      });
      examined += cursors.size();
      findLowest();
    }

    private void look(int walk) {
      Ring<M>.Cursor cursor = cursors.get(walk);
      bounds[walk] =
          cursor.member() == null ? Double.POSITIVE_INFINITY : cursor.distance() / heaviest[walk];
    }

    /** Plain scanning: there are few walks, and a heap of them costs more. */
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
      look(lowest);
      findLowest();
      return scored;
    }
  }

  private List<M> firstByRings(long function, int count) {
    Walks walks = new Walks(probes(function));
    PriorityQueue<Scored<M>> met = new PriorityQueue<>(lowestFirst());
    Set<M> taken = new HashSet<>();
    List<M> first = new ArrayList<>(count);
    while (first.size() < count) {
      if (met.isEmpty() || met.peek().key() >= walks.bound()) {
        met.add(walks.next(function));
        continue;
      }
      M member = met.poll().member();
      if (taken.add(member)) {
        first.add(member);
      }
    }
    return first;
  }
}
