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
 * Makes plans from counts of calls: forecasts the next slot, scales the forecast by the accuracy of past ones, and
 * chooses the copies whose benefit exceeds their cost. It does no I/O and reads no clock; slots are observed in
 * ascending order. Not thread safe.
 */
public final class PlanMaker {
  /** Upper limit of the dispersion; a forecast with little history has a wide margin. */
  private static final double MAX_DISPERSION = 50;
  /** Standard deviations between a forecast's mean and its upper bound. */
  private static final double UPPER_DEVIATIONS = 1.65;
  /** Weight of the newest work and load times of a function. */
  private static final double NEWEST_WEIGHT = 0.3;
  /** Fraction of the archive's capacity for loads ahead; the rest is for loads that calls wait for. */
  private static final double ARCHIVE_FRACTION = 0.3;
  /** Length of the time before a slot over which its loads may be spread, in keep-alives. */
  private static final double LEAD_KEEP_ALIVES = 3;
  /** Number of function profiles above which those without a forecast or recent calls are dropped. */
  private static final int MAX_PROFILES = 50_000;
  /** Maximum loads that one worker gets within the lead time. */
  private static final int MAX_LOADS_PER_WORKER = 24;

  /** Forecasts a function's calls in a slot; a planner uses {@link Forecasts#forecast}. */
  public interface ForecastSource {
    Forecasts.Forecast forecast(String function, long slot);
  }

  /**
   * Settings of a planner.
   *
   * @param slotSeconds length of a slot
   * @param keepAliveSeconds time after which an idle copy is unloaded
   * @param archiveLoadsPerSecond loads per second that the archive sustains
   * @param ordersPerPlan orders of one plan over all dispatchers; what the ration of the calls leaves
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
        throw new IllegalArgumentException(
            "planner periods and rates must be above 0, orders 0 or more");
      }
    }
  }

  /** Resources of a function's copies, and how long their calls and loads take. */
  public record CopyProfile(double memoryMb, int lanes, double workSeconds, double loadSeconds) {}

  /**
   * A copy to order.
   *
   * @param from when to order, in seconds from the start of the slot; below 0, because the copy must be loaded by then
   * @param until when the hold ends, in seconds from the start of the slot
   */
  public record Order(PlacedCopy placed, CopyProfile profile, double from, double until) {}

  private record Prediction(double calls, double probability) {}

  private final Settings settings;
  private final Forecasts forecasts;
  private final ForecastSource forecastSource;
  private final ForecastConfidence confidence = new ForecastConfidence();
  private final Map<String, CopyProfile> profiles = new HashMap<>();
  /** The predictions by slot and function, kept until the slot is observed. */
  private final TreeMap<Long, Map<String, Prediction>> predictions = new TreeMap<>();

  /** Creates a plan maker that uses its own forecasts. */
  public PlanMaker(SlotCalendar slots, Settings settings) {
    this(slots, settings, null);
  }

  /** Creates a plan maker with another source of forecasts, so that the effect of bad ones can be tested. */
  public PlanMaker(SlotCalendar slots, Settings settings, ForecastSource forecastSource) {
    this.settings = settings;
    this.forecasts = new Forecasts(slots, 1 << 14);
    this.forecastSource = forecastSource == null ? forecasts::forecast : forecastSource;
  }

  /** The forecasts from the observed calls. */
  public Forecasts forecasts() {
    return forecasts;
  }

  /** Time before a slot by which its plan is made, in seconds; its orders start later. */
  public double leadSeconds() {
    return (LEAD_KEEP_ALIVES + 1) * settings.keepAliveSeconds();
  }

  /** The current confidence in the forecasts of each function. */
  public ForecastConfidence confidence() {
    return confidence;
  }

  /** Updates the profile of a function; work and load times are smoothed, and those of 0 are ignored. */
  public void learn(String function, CopyProfile observed) {
    profiles.merge(
        function,
        observed,
        (a, b) -> new CopyProfile(
            b.memoryMb(),
            b.lanes(),
            smooth(a.workSeconds(), b.workSeconds()),
            smooth(a.loadSeconds(), b.loadSeconds())));
  }

  private static double smooth(double previous, double observed) {
    return observed <= 0
        ? previous
        : previous <= 0 ? observed : previous + NEWEST_WEIGHT * (observed - previous);
  }

  /**
   * Records the calls of a whole slot by function and rates the predictions for it. Slots at or before the last
   * observed one are ignored.
   */
  public void observe(long slot, Map<String, Integer> calls) {
    if (!forecasts.observe(slot, calls)) {
      return;
    }
    predictions
        .getOrDefault(slot, Map.of())
        .forEach((function, prediction) -> confidence.record(
            function,
            prediction.calls(),
            prediction.probability(),
            calls.getOrDefault(function, 0)));
    predictions.headMap(slot, true).clear();
    HashSet<String> keptFunctions = new HashSet<>(forecasts.functions());
    confidence.keepOnly(keptFunctions);
    keptFunctions.addAll(calls.keySet());
    // Profiles are kept for functions without a forecast too, because a profile may arrive before
    // the
    // function's history is read.
    if (profiles.size() > MAX_PROFILES) {
      profiles.keySet().retainAll(keptFunctions);
    }
  }

  /**
   * Plans the copies to hold in a slot. The most beneficial copies come first and are ordered last, just before the
   * slot begins. The plan is made during the preceding slot or at its end.
   *
   * @param currentCalls calls so far in the preceding slot by function; empty if unknown
   * @param coveredFraction fraction of the preceding slot that {@code currentCalls} covers, above 0 and at most 1
   */
  public List<Order> plan(
      long slot,
      Map<String, Integer> currentCalls,
      double coveredFraction,
      List<WorkerCapacity> workers) {
    List<Demand> demands = new ArrayList<>();
    Map<String, Prediction> slotPredictions = new HashMap<>();
    for (String function : forecasts.functions()) {
      CopyProfile profile = profiles.get(function);
      Forecasts.Forecast forecast = forecastSource.forecast(function, slot);
      if (profile == null || !(forecast.mean() > 0)) {
        continue;
      }
      double deviation = (forecast.upper() - forecast.mean()) / UPPER_DEVIATIONS;
      double dispersion = Math.max(
          1, Math.min(MAX_DISPERSION, deviation * deviation / Math.max(0.05, forecast.mean())));
      slotPredictions.put(
          function, new Prediction(forecast.mean(), 1 - Math.exp(-forecast.mean())));
      demands.add(new Demand(
          function,
          forecast.mean() * confidence.callsFactor(function),
          dispersion,
          currentCalls.getOrDefault(function, 0) / coveredFraction,
          confidence.occurrenceFactor(function),
          profile.memoryMb(),
          profile.lanes(),
          profile.workSeconds(),
          profile.loadSeconds()));
    }
    predictions.put(slot, slotPredictions);
    double leadSeconds = LEAD_KEEP_ALIVES * settings.keepAliveSeconds();
    double loadsPerSecond = ARCHIVE_FRACTION * settings.archiveLoadsPerSecond();
    int orders = (int) Math.min(settings.ordersPerPlan(), Math.floor(leadSeconds * loadsPerSecond));
    List<WorkerCapacity> cappedWorkers = workers.stream()
        .map(w -> new WorkerCapacity(
            w.name(), w.freeMb(), Math.min(w.maxLoads(), MAX_LOADS_PER_WORKER), w.weight()))
        .toList();
    List<PlacedCopy> placed = orders == 0
        ? List.of()
        : Placement.choose(
            demands,
            cappedWorkers,
            new Limits(orders, Double.MAX_VALUE),
            settings.prices(),
            settings.slotSeconds(),
            settings.keepAliveSeconds());
    List<Order> planned = new ArrayList<>();
    for (int i = 0; i < placed.size(); i++) {
      CopyProfile profile = profiles.get(placed.get(i).function());
      planned.add(new Order(
          placed.get(i),
          profile,
          -profile.loadSeconds() - (i + 1) / loadsPerSecond,
          placed.get(i).holdSeconds()));
    }
    return planned;
  }
}
