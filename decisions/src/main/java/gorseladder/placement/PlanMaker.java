package gorseladder.placement;

import gorseladder.forecast.Forecasts;
import gorseladder.forecast.SlotCalendar;
import gorseladder.placement.Placement.Limits;
import gorseladder.placement.Placement.PlacedCopy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * From counts of calls to plans: foresees the next slot, believes it as far as past forecasts earned it, and chooses
 * the copies worth their cost. Free of input and clocks; slots are told in their order. Not thread safe.
 */
public final class PlanMaker {
  /** Scatter that is taken where little is known. */
  private static final double MOST_SCATTER = 50;
  /** Standard deviations between a forecast's mean and its upper value. */
  private static final double UPPER = 1.65;
  /** Weight of the newest figures of a function. */
  private static final double NEWEST = 0.3;
  /** Part of the archive's capacity that loads ahead may use; the rest is for loads that calls wait for. */
  private static final double ARCHIVE_PART = 0.3;
  /** Keep-alives before a slot over which its loads may be spread. */
  private static final double LEAD = 3;
  /** Functions whose figures are kept, whether or not they are foreseen. */
  private static final int MOST_FACTS = 50_000;
  /** Loads that one worker may be given within that lead. */
  private static final int LOADS_PER_HOST = 24;

  /** Foresees a function's calls in a slot; {@link Forecasts#forecast} in a planner. */
  public interface ForecastSource {
    Forecasts.Forecast forecast(String function, long slot);
  }

  /**
   * What a planner is told at its start.
   *
   * @param slotSeconds seconds of a slot
   * @param keepAliveSeconds seconds that an idle copy stays
   * @param archiveLoadsPerSecond loads a second that the archive serves well
   * @param ordersPerPlan what the users' ration leaves for one plan over all dispatchers
   */
  public record Settings(
      double slotSeconds,
      double keepAliveSeconds,
      double archiveLoadsPerSecond,
      int ordersPerPlan,
      Prices prices) {
    public Settings {
      if (!(slotSeconds > 0)
          || !(keepAliveSeconds > 0)
          || !(archiveLoadsPerSecond > 0)
          || ordersPerPlan < 0) {
        throw new IllegalArgumentException("impossible settings of a planner");
      }
    }
  }

  /** What a function's copies need and take. */
  public record CopyProfile(double memoryMb, int lanes, double workSeconds, double loadSeconds) {}

  /**
   * A copy to order.
   *
   * @param from seconds from the beginning of the slot, below 0 as it must stand by then; {@code until} likewise
   */
  public record Order(PlacedCopy placed, CopyProfile profile, double from, double until) {}

  private record Said(double calls, double any) {}

  private final Settings settings;
  private final Forecasts forecasts;
  private final ForecastSource foresight;
  private final ForecastConfidence trust = new ForecastConfidence();
  private final Map<String, CopyProfile> facts = new HashMap<>();
  /** What was said, by slot, until the slot is observed. */
  private final TreeMap<Long, Map<String, Said>> said = new TreeMap<>();

  /** A maker that foresees by its own forecasts. */
  public PlanMaker(SlotCalendar slots, Settings settings) {
    this(slots, settings, null);
  }

  /** A maker with another foresight than its own, so that bad ones can be tried. */
  public PlanMaker(SlotCalendar slots, Settings settings, ForecastSource other) {
    this.settings = settings;
    this.forecasts = new Forecasts(slots, 1 << 14);
    this.foresight = other == null ? forecasts::forecast : other;
  }

  /** The forecasts it makes plans from. */
  public Forecasts forecasts() {
    return forecasts;
  }

  /** Seconds before a slot from which its plan's orders may begin; a plan is made by then. */
  public double leadSeconds() {
    return (LEAD + 1) * settings.keepAliveSeconds();
  }

  /** How far the forecasts of functions are believed now. */
  public ForecastConfidence confidence() {
    return trust;
  }

  /** What was seen of a function's copies. */
  public void learn(String function, CopyProfile seen) {
    facts.merge(
        function,
        seen,
        (a, b) -> new CopyProfile(
            b.memoryMb(),
            b.lanes(),
            mix(a.workSeconds(), b.workSeconds()),
            mix(a.loadSeconds(), b.loadSeconds())));
  }

  private static double mix(double before, double seen) {
    return seen <= 0 ? before : before <= 0 ? seen : before + NEWEST * (seen - before);
  }

  /**
   * The calls of a whole slot, by function; what was said for it is judged now. Slots at or before the last are passed
   * over.
   */
  public void observe(long slot, Map<String, Integer> calls) {
    if (!forecasts.observe(slot, calls)) {
      return;
    }
    said.getOrDefault(slot, Map.of())
        .forEach((f, s) -> trust.record(f, s.calls(), s.any(), calls.getOrDefault(f, 0)));
    said.headMap(slot, true).clear();
    HashSet<String> known = new HashSet<>(forecasts.functions());
    trust.keepOnly(known);
    known.addAll(calls.keySet());
    // Kept beyond the forecasts: a function may be known by its copies before its history is
    // read.
    if (facts.size() > MOST_FACTS) {
      facts.keySet().retainAll(known);
    }
  }

  /**
   * What to hold in a slot, the most valuable ordered last, just before the slot begins. Made while the slot before it
   * is under way, or at its end.
   *
   * @param now calls of the slot before it so far, by function; empty where they are not known
   * @param part of that slot that they cover, above 0 and at most 1
   */
  public List<Order> plan(
      long slot, Map<String, Integer> now, double part, List<WorkerCapacity> hosts) {
    List<Demand> demands = new ArrayList<>();
    Map<String, Said> saying = new HashMap<>();
    for (String function : forecasts.functions()) {
      CopyProfile f = facts.get(function);
      Forecasts.Forecast e = foresight.forecast(function, slot);
      if (f == null || !(e.mean() > 0)) {
        continue;
      }
      double away = (e.upper() - e.mean()) / UPPER;
      double scatter = Math.max(1, Math.min(MOST_SCATTER, away * away / Math.max(0.05, e.mean())));
      saying.put(function, new Said(e.mean(), 1 - Math.exp(-e.mean())));
      demands.add(new Demand(
          function,
          e.mean() * trust.callsFactor(function),
          scatter,
          now.getOrDefault(function, 0) / part,
          trust.occurrenceFactor(function),
          f.memoryMb(),
          f.lanes(),
          f.workSeconds(),
          f.loadSeconds()));
    }
    said.put(slot, saying);
    double lead = LEAD * settings.keepAliveSeconds();
    double pace = ARCHIVE_PART * settings.archiveLoadsPerSecond();
    int orders = (int) Math.min(settings.ordersPerPlan(), Math.floor(lead * pace));
    List<WorkerCapacity> able = hosts.stream()
        .map(h -> new WorkerCapacity(
            h.name(), h.freeMb(), Math.min(h.maxLoads(), LOADS_PER_HOST), h.weight()))
        .toList();
    List<PlacedCopy> placed = orders == 0
        ? List.of()
        : Placement.choose(
            demands,
            able,
            new Limits(orders, Double.MAX_VALUE),
            settings.prices(),
            settings.slotSeconds(),
            settings.keepAliveSeconds());
    List<Order> all = new ArrayList<>();
    for (int i = 0; i < placed.size(); i++) {
      CopyProfile f = facts.get(placed.get(i).function());
      all.add(new Order(
          placed.get(i), f, -f.loadSeconds() - (i + 1) / pace, placed.get(i).holdSeconds()));
    }
    return all;
  }
}
