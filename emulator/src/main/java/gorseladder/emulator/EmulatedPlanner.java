package gorseladder.emulator;

import gorseladder.ahead.FunctionStats;
import gorseladder.ahead.Plan;
import gorseladder.emulator.proto.Ahead;
import gorseladder.emulator.proto.Emulation;
import gorseladder.emulator.proto.Surge;
import gorseladder.forecast.Forecasts;
import gorseladder.forecast.SlotCalendar;
import gorseladder.placement.PlanMaker;
import gorseladder.placement.Prices;
import gorseladder.placement.Schedule;
import gorseladder.placement.WorkerCapacity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The real plan maker with the input of a planner, and with the faults that the settings inject. */
final class EmulatedPlanner {
  private final Emulation emulation;
  private final Ahead ahead;
  private final double slotSeconds;
  private final PlanMaker planMaker;
  private final TreeMap<Long, Map<String, Integer>> unreadCounts = new TreeMap<>();
  private Map<String, Integer> callCounts = new HashMap<>();
  private final Schedule schedule = new Schedule();
  private long version;

  EmulatedPlanner(Emulation settings) {
    this.emulation = settings;
    this.ahead = settings.getAhead();
    this.slotSeconds = emulation.getDayS() / emulation.getSlots();
    Map<Integer, String> dates = new HashMap<>();
    for (Surge surge : emulation.getSurgeList()) {
      if (!surge.getDate().isEmpty()) {
        dates.put(surge.getToldDay() >= 0 ? surge.getToldDay() : surge.getDay(), surge.getDate());
      }
    }
    // Limits the orders of one plan: loads per second that the archive serves at full speed, at 0.5
    // s per fetch.
    double archiveLoadsPerSecond = emulation.getArchive().getAtOnce() / 0.5;
    this.planMaker = new PlanMaker(
        new SlotCalendar(emulation.getSlots(), 0, dates),
        new PlanMaker.Settings(
            slotSeconds,
            emulation.getFleet().getKeepAliveMs() / 1000.0,
            archiveLoadsPerSecond,
            ahead.getOrdersPerPlan(),
            new Prices(
                ahead.getFetchPrice(), ahead.getGigabyteSecondPrice(), ahead.getOrderPrice())),
        this::forecast);
  }

  private Forecasts.Forecast forecast(String function, long slot) {
    String forecastOf = function;
    if (ahead.getShuffled()) {
      List<String> functions = List.copyOf(planMaker.forecasts().functions());
      forecastOf = functions.get(
          (functions.indexOf(function) + functions.size() / 2 + 1) % functions.size());
    }
    Forecasts.Forecast forecast =
        planMaker.forecasts().forecast(forecastOf, slot + ahead.getShiftedSlots());
    return new Forecasts.Forecast(
        function,
        forecast.mean() * ahead.getTimes(),
        forecast.upper() * ahead.getTimes(),
        forecast.forecasterName());
  }

  void callArrived(String function) {
    callCounts.merge(function, 1, Integer::sum);
  }

  private boolean isAway(double time) {
    int day = (int) (time / emulation.getDayS());
    return day >= ahead.getAwayFromDay() && day < ahead.getAwayFromDay() + ahead.getAwayDays();
  }

  private boolean isHistoryMissing(long slot) {
    double hour = slot % emulation.getSlots() * 24.0 / emulation.getSlots();
    return hour >= ahead.getHoleFromHour() && hour < ahead.getHoleToHour();
  }

  /**
   * Reads the calls of a slot and the snapshots of all edges. A planner that is away reads the calls when it returns.
   */
  void endSlot(long slot, List<Map<String, FunctionStats.Snapshot>> snapshots) {
    if (!isHistoryMissing(slot)) {
      unreadCounts.put(slot, callCounts);
    }
    callCounts = new HashMap<>();
    for (Map<String, FunctionStats.Snapshot> edge : snapshots) {
      edge.forEach((f, s) -> planMaker.learn(
          f,
          new PlanMaker.CopyProfile(
              s.memoryMb(), s.lanes(), s.workMicros() / 1e6, s.loadMicros() / 1e6)));
    }
    if (!isAway((slot + 1) * slotSeconds)) {
      unreadCounts.forEach(planMaker::observe);
      unreadCounts.clear();
    }
  }

  /** How long before a slot its plan is made. */
  double leadSeconds() {
    return planMaker.leadSeconds();
  }

  /**
   * Plans for a slot, one for each edge; none while the planner is away. The edges use the clock of the emulation.
   *
   * @param now time in microseconds
   */
  List<Plan> plan(long slot, long now, List<WorkerCapacity> workers, int edges) {
    if (isAway(now / 1e6)) {
      return List.of();
    }
    List<PlanMaker.Order> orders =
        planMaker.plan(slot, callCounts, (slotSeconds - leadSeconds()) / slotSeconds, workers);
    List<Schedule.ScheduledHold> holds = schedule.add(slot * slotSeconds, orders, now / 1e6);
    long expiresAt = (long) ((slot + 1) * slotSeconds * 1e6);
    version++;
    List<Plan> plans = new ArrayList<>();
    for (int edge = 0; edge < edges; edge++) {
      List<Plan.Item> items = new ArrayList<>();
      for (Schedule.ScheduledHold hold : holds) {
        PlanMaker.Order order = hold.order();
        boolean owned = Math.floorMod(order.placed().function().hashCode(), edges) == edge;
        items.add(new Plan.Item(
            order.placed().worker(),
            order.placed().function(),
            1,
            order.profile().lanes(),
            (long) (hold.from() * 1e6),
            (long) (hold.until() * 1e6),
            (long) (order.profile().loadSeconds() * 1e6),
            order.profile().memoryMb(),
            owned));
      }
      plans.add(new Plan(1, version, expiresAt, items));
    }
    return plans;
  }

  PlanMaker planMaker() {
    return planMaker;
  }
}
