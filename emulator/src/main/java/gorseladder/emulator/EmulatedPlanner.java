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

/** The real maker of plans, told what a planner would be told, with the faults that the settings ask for. */
final class EmulatedPlanner {
  private final Emulation e;
  private final Ahead a;
  private final double slotSeconds;
  private final PlanMaker maker;
  private final TreeMap<Long, Map<String, Integer>> unread = new TreeMap<>();
  private Map<String, Integer> counts = new HashMap<>();
  private final Schedule schedule = new Schedule();
  private long version;

  EmulatedPlanner(Emulation emulation) {
    this.e = emulation;
    this.a = emulation.getAhead();
    this.slotSeconds = e.getDayS() / e.getSlots();
    Map<Integer, String> dates = new HashMap<>();
    for (Surge s : e.getSurgeList()) {
      if (!s.getDate().isEmpty()) {
        dates.put(s.getToldDay() >= 0 ? s.getToldDay() : s.getDay(), s.getDate());
      }
    }
    // Of what one plan may order, the archive of the emulation serves so many loads a second
    // alone.
    double archive = e.getArchive().getAtOnce() / 0.5;
    this.maker = new PlanMaker(
        new SlotCalendar(e.getSlots(), 0, dates),
        new PlanMaker.Settings(
            slotSeconds,
            e.getFleet().getKeepAliveMs() / 1000.0,
            archive,
            a.getOrdersPerPlan(),
            new Prices(a.getFetchPrice(), a.getGigabyteSecondPrice(), a.getOrderPrice())),
        this::foresee);
  }

  private Forecasts.Forecast foresee(String function, long slot) {
    String of = function;
    if (a.getShuffled()) {
      List<String> all = List.copyOf(maker.forecasts().functions());
      of = all.get((all.indexOf(function) + all.size() / 2 + 1) % all.size());
    }
    Forecasts.Forecast x = maker.forecasts().forecast(of, slot + a.getShiftedSlots());
    return new Forecasts.Forecast(
        function, x.mean() * a.getTimes(), x.upper() * a.getTimes(), x.forecasterName());
  }

  void arrived(String function) {
    counts.merge(function, 1, Integer::sum);
  }

  private boolean away(double time) {
    int day = (int) (time / e.getDayS());
    return day >= a.getAwayFromDay() && day < a.getAwayFromDay() + a.getAwayDays();
  }

  private boolean hole(long slot) {
    double hour = slot % e.getSlots() * 24.0 / e.getSlots();
    return hour >= a.getHoleFromHour() && hour < a.getHoleToHour();
  }

  /**
   * A slot is over: what the edges counted and saw of it. A planner that was away reads what it missed once it is back.
   */
  void slotOver(long slot, List<Map<String, FunctionStats.Snapshot>> seen) {
    if (!hole(slot)) {
      unread.put(slot, counts);
    }
    counts = new HashMap<>();
    for (Map<String, FunctionStats.Snapshot> edge : seen) {
      edge.forEach((f, s) -> maker.learn(
          f,
          new PlanMaker.CopyProfile(
              s.memoryMb(), s.lanes(), s.workMicros() / 1e6, s.loadMicros() / 1e6)));
    }
    if (!away((slot + 1) * slotSeconds)) {
      unread.forEach(maker::observe);
      unread.clear();
    }
  }

  /** Seconds before a slot at which its plan is made. */
  double lead() {
    return maker.leadSeconds();
  }

  /** Plans for a slot, one for each edge; none while it is away. The clock of the edges is that of the emulation. */
  List<Plan> plan(long slot, long now, List<WorkerCapacity> hosts, int edges) {
    if (away(now / 1e6)) {
      return List.of();
    }
    List<PlanMaker.Order> orders =
        maker.plan(slot, counts, (slotSeconds - lead()) / slotSeconds, hosts);
    List<Schedule.ScheduledHold> holds = schedule.add(slot * slotSeconds, orders, now / 1e6);
    long until = (long) ((slot + 1) * slotSeconds * 1e6);
    version++;
    List<Plan> plans = new ArrayList<>();
    for (int edge = 0; edge < edges; edge++) {
      List<Plan.Item> items = new ArrayList<>();
      for (Schedule.ScheduledHold t : holds) {
        PlanMaker.Order o = t.order();
        boolean mine = Math.floorMod(o.placed().function().hashCode(), edges) == edge;
        items.add(new Plan.Item(
            o.placed().worker(),
            o.placed().function(),
            1,
            o.profile().lanes(),
            (long) (t.from() * 1e6),
            (long) (t.until() * 1e6),
            (long) (o.profile().loadSeconds() * 1e6),
            o.profile().memoryMb(),
            mine));
      }
      plans.add(new Plan(1, version, until, items));
    }
    return plans;
  }

  PlanMaker maker() {
    return maker;
  }
}
