package gorseladder.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * What happens in a soak, drawn from its seed alone: sizes, traffic and troubles, two or three of which overlap. The
 * same seed and options give the same plan; what the processes make of it may differ from play to play. Immutable.
 *
 * @param runners runners at the start
 * @param callsPerSecond calls a second at each dispatcher
 * @param events troubles in the order of their beginnings
 */
public record SoakPlan(
    long seed,
    int dispatchers,
    int runners,
    double callsPerSecond,
    long length,
    List<Event> events) {
  private static final long SECOND = 1_000_000;
  private static final int LEAST_RUNNERS = 8;
  private static final int MORE_RUNNERS = 7;
  /** Calls a second at all dispatchers together: as many for few as for many of them. */
  private static final double LEAST_CALLS = 180;

  private static final double MORE_CALLS = 120;
  /** Traffic without trouble at first, so that the dispatchers know their runners, and at the end. */
  private static final long QUIET = 2 * SECOND;

  private static final long MEAN_GAP = 700_000;
  private static final long LEAST_LENGTH = 300_000;
  private static final long MORE_LENGTH = 1_700_000;
  /** Part of the troubles that come within a moment of the one before. */
  private static final double CROSSING = 0.5;

  private static final long CROSSES_WITHIN = 120_000;

  /**
   * One trouble.
   *
   * @param at when it begins, from the start of the traffic
   * @param length how long it lasts
   * @param target which of the dispatchers, or runners, it meets; taken modulo their number
   * @param draw chance of its own
   */
  public record Event(Trouble trouble, long at, long length, int target, long draw) {
    @Override
    public String toString() {
      return "%s at %.3f s for %.3f s, target %d"
          .formatted(trouble.word(), at / 1e6, length / 1e6, target);
    }
  }

  /** Draws a plan. */
  public static SoakPlan draw(long seed, int dispatchers, long length, Set<Trouble> troubles) {
    SplittableRandom random = new SplittableRandom(seed);
    int runners = LEAST_RUNNERS + random.nextInt(MORE_RUNNERS);
    double calls = (LEAST_CALLS + MORE_CALLS * random.nextDouble()) / dispatchers;
    List<Trouble> may = new ArrayList<>(troubles);
    may.sort(Comparator.naturalOrder());
    List<Event> events = new ArrayList<>();
    long at = QUIET;
    while (!may.isEmpty() && at < length - QUIET) {
      Trouble trouble = may.get(random.nextInt(may.size()));
      long lasts = LEAST_LENGTH + (long) (random.nextDouble() * MORE_LENGTH);
      events.add(new Event(trouble, at, lasts, random.nextInt(1_000), random.nextLong()));
      boolean crosses = random.nextDouble() < CROSSING;
      at += crosses ? random.nextLong(CROSSES_WITHIN) : (long) (2 * MEAN_GAP * random.nextDouble());
    }
    return new SoakPlan(seed, dispatchers, runners, calls, length, List.copyOf(events));
  }
}
