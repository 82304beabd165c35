package gorseladder.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * What happens in a soak, drawn from its seed alone: sizes, traffic and troubles, two or three of which overlap. The
 * same seed and options give the same plan; the processes may behave differently from run to run. Immutable.
 *
 * @param runners the number of runners at the start
 * @param callsPerSecond calls a second at each dispatcher
 * @param duration length of the traffic, in microseconds
 * @param events troubles, ordered by their start
 */
public record SoakPlan(
    long seed,
    int dispatchers,
    int runners,
    double callsPerSecond,
    long duration,
    List<Event> events) {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final int MIN_RUNNERS = 8;
  private static final int RUNNERS_SPREAD = 7;
  /** Calls a second at all dispatchers together, whatever their number. */
  private static final double MIN_CALLS_PER_SECOND = 180;

  private static final double CALLS_PER_SECOND_SPREAD = 120;
  /** Traffic without troubles at the start, so that the dispatchers learn of their runners, and at the end. */
  private static final long QUIET_MICROS = 2 * MICROS_PER_SECOND;

  private static final long MEAN_GAP_MICROS = 700_000;
  private static final long MIN_DURATION_MICROS = 300_000;
  private static final long DURATION_SPREAD_MICROS = 1_700_000;
  /** The fraction of troubles that start within a moment of the previous one. */
  private static final double OVERLAP_PROBABILITY = 0.5;

  private static final long MAX_OVERLAP_GAP_MICROS = 120_000;

  /**
   * One trouble.
   *
   * @param at when it starts, counted from the start of the traffic
   * @param duration how long it lasts
   * @param target index of the dispatcher or runner that it affects, taken modulo their number
   * @param randomBits random bits from which the trouble draws its details
   */
  public record Event(Trouble trouble, long at, long duration, int target, long randomBits) {
    @Override
    public String toString() {
      return "%s at %.3f s for %.3f s, target %d"
          .formatted(trouble.label(), at / 1e6, duration / 1e6, target);
    }
  }

  /** Draws a plan from a seed. */
  public static SoakPlan draw(long seed, int dispatchers, long duration, Set<Trouble> troubles) {
    SplittableRandom random = new SplittableRandom(seed);
    int runners = MIN_RUNNERS + random.nextInt(RUNNERS_SPREAD);
    double calls =
        (MIN_CALLS_PER_SECOND + CALLS_PER_SECOND_SPREAD * random.nextDouble()) / dispatchers;
    List<Trouble> candidates = new ArrayList<>(troubles);
    candidates.sort(Comparator.naturalOrder());
    List<Event> events = new ArrayList<>();
    long at = QUIET_MICROS;
    while (!candidates.isEmpty() && at < duration - QUIET_MICROS) {
      Trouble trouble = candidates.get(random.nextInt(candidates.size()));
      long eventDuration =
          MIN_DURATION_MICROS + (long) (random.nextDouble() * DURATION_SPREAD_MICROS);
      events.add(new Event(trouble, at, eventDuration, random.nextInt(1_000), random.nextLong()));
      boolean overlaps = random.nextDouble() < OVERLAP_PROBABILITY;
      at += overlaps
          ? random.nextLong(MAX_OVERLAP_GAP_MICROS)
          : (long) (2 * MEAN_GAP_MICROS * random.nextDouble());
    }
    return new SoakPlan(seed, dispatchers, runners, calls, duration, List.copyOf(events));
  }
}
