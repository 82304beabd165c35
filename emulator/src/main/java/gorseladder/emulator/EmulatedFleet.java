package gorseladder.emulator;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.Limits;
import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.PeerMessage;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Rules;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.ahead.FunctionStats;
import gorseladder.ahead.LoadAheadAccounting;
import gorseladder.ahead.Plan;
import gorseladder.emulator.proto.Ahead.Mode;
import gorseladder.emulator.proto.Edges;
import gorseladder.emulator.proto.Emulation;
import gorseladder.emulator.proto.Surge;
import gorseladder.emulator.proto.Trouble;
import gorseladder.placement.WorkerCapacity;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.DoubleConsumer;

/**
 * A fleet in simulated time: runners, archive, list, edges with the real router, clients and, where asked for, a
 * planner with the real decisions. One seed gives one course of events, and the calls drawn do not depend on what is
 * done with them. One thread; several emulations may run side by side.
 */
public final class EmulatedFleet {
  private static final long FIRST_MINUTE = 60_000_000;
  private static final int STRETCHES = 4;
  private static final long TICK = 2_000;
  /** Part of the calls' usual worth that a late answer keeps. */
  private static final double LATE = 0.2;

  private final Emulation e;
  private final Agenda agenda = new Agenda();
  private final Outcomes outcomes;
  private final Workload workload;
  private final EmulatedArchive archive;
  private final Map<String, EmulatedRunner> runners = new LinkedHashMap<>();
  private final Map<String, WorkerEntry> list = new LinkedHashMap<>();
  private final List<EmulatedEdge> edges = new ArrayList<>();
  private final EmulatedPlanner planner;
  private final Random random;
  private final long day;
  private final long slot;

  private EmulatedFleet(Emulation emulation, Recording recording) {
    this.e = emulation;
    this.random = new Random(e.getSeed() * 31 + 7);
    this.day = (long) (e.getDayS() * 1e6);
    this.slot = day / e.getSlots();
    this.outcomes = new Outcomes(agenda, e.getTeachDays() * day, this::inSurge);
    this.workload = new Workload(e, recording);
    this.archive =
        new EmulatedArchive(agenda, e.getArchive().getAtOnce(), e.getArchive().getMost());
    this.planner = e.getAhead().getMode() == Mode.NONE ? null : new EmulatedPlanner(e);
    for (int i = 0; i < e.getFleet().getRunners(); i++) {
      double speed = e.getFleet().getSpeedFrom()
          + random.nextDouble() * (e.getFleet().getSpeedTo() - e.getFleet().getSpeedFrom());
      EmulatedRunner r = new EmulatedRunner(
          "runner-" + i, agenda, e.getFleet(), speed, e.getArchive().getFetchPart(), archive);
      runners.put(r.name(), r);
      list.put(r.name(), new WorkerEntry(r.name(), "zone", 0, Phase.RUNNING, 1, 0));
    }
    for (int i = 0; i < e.getEdges().getCount(); i++) {
      EmulatedEdge edge = new EmulatedEdge(
          settings(i),
          random.nextLong(),
          agenda,
          (long) (e.getFleet().getNetworkMs() * 1000),
          runners::get,
          workload::function,
          outcomes);
      int number = i;
      edge.tellPeersBy(text -> edges.stream()
          .filter(o -> o != edge)
          .forEach(o -> agenda.after(1_000, () -> o.tell(new PeerMessage(number, text)))));
      edges.add(edge);
    }
  }

  /**
   * Runs an emulation to its end.
   *
   * @param progress told the part done, 0 to 1, now and then
   * @throws IllegalArgumentException where a setting is impossible; the text names it
   */
  public static Outcomes run(Emulation emulation, DoubleConsumer progress) {
    return run(emulation, null, progress);
  }

  /**
   * Replays a recording in place of the settings' populations and days: what was called is given, how long it took is
   * the fleet's. Plans see only what came before.
   *
   * @param recording null for the settings' own calls
   */
  public static Outcomes run(Emulation emulation, Recording recording, DoubleConsumer progress) {
    Emulation e = recording == null
        ? emulation
        : emulation.toBuilder()
            .setDays(recording.days())
            .setDayS(86_400)
            .clearSurge()
            .build();
    check(e);
    EmulatedFleet fleet = new EmulatedFleet(e, recording);
    fleet.play(progress);
    return fleet.outcomes;
  }

  private static void check(Emulation e) {
    require(e.getCallClassCount() > 0, "call_class: at least one is needed");
    require(e.getPopulationCount() > 0, "population: at least one is needed");
    require(e.getDays() > e.getTeachDays() && e.getTeachDays() >= 0, "days: more than teach_days");
    require(e.getSlots() >= 1 && e.getSlots() <= 1440, "slots: 1 to 1440");
    require(
        e.getDayS() / e.getSlots() >= 5 * e.getFleet().getKeepAliveMs() / 1000.0,
        "day_s: a slot lasts five keep-alives or more");
    require(
        e.getFleet().getRunners() >= 1 && e.getFleet().getCores() >= 1,
        "fleet: runners and cores of 1 or more");
    require(
        e.getFleet().getSpeedFrom() > 0
            && e.getFleet().getSpeedTo() >= e.getFleet().getSpeedFrom(),
        "fleet: speeds above 0");
    require(e.getEdges().getCount() >= 1, "edges: count of 1 or more");
    require(e.getArchive().getAtOnce() > 0, "archive: at_once above 0");
    e.getSurgeList()
        .forEach(s -> require(
            e.getPopulationList().stream().anyMatch(p -> p.getName().equals(s.getPopulation())),
            "surge: there is no population " + s.getPopulation()));
    e.getPopulationList()
        .forEach(p -> require(
            p.getFunctions() >= 1 && p.getLanes() >= 1 && p.getCallsPerS() > 0,
            "population " + p.getName() + ": functions, lanes and calls_per_s above 0"));
  }

  private static void require(boolean holds, String what) {
    if (!holds) {
      throw new IllegalArgumentException("impossible setting: " + what);
    }
  }

  private Settings settings(int ordinal) {
    Edges s = e.getEdges();
    List<RequestClass> classes = e.getCallClassList().stream()
        .map(c -> new RequestClass(
            c.getName(),
            Effect.valueOf(c.getEffect().name()),
            Group.ALL,
            0,
            c.getAimMs() * 1000,
            c.getDeadlineMs() * 1000,
            c.getWorth(),
            LATE,
            false))
        .toList();
    return new Settings(
        ordinal,
        s.getCount(),
        "zone",
        TICK,
        e.getFleet().getKeepAliveMs() * 1000,
        s.getLoadsOnMiss(),
        false,
        0,
        1,
        new Limits(4, false, e.getFleet().getCancelling(), false, true, true, false, 0, 10_000_000),
        new Rules(
            s.getDrainGraceMs() * 1000,
            0.16,
            18_000_000,
            2.5,
            1_500_000,
            s.getLoadsFree(),
            s.getLoadShare(),
            s.getLoadWindowMs() * 1000),
        classes,
        List.of());
  }

  private void play(DoubleConsumer progress) {
    edges.forEach(
        edge -> edge.tell(new WorkerListUpdate(ListKind.SAVED, List.copyOf(list.values()))));
    e.getTroubleList().forEach(this::plan);
    long slots = (long) e.getDays() * e.getSlots();
    for (long s = 0; s < slots; s++) {
      long number = s;
      if (planner != null) {
        agenda.at((s + 1) * slot - (long) (planner.lead() * 1e6), () -> makePlan(number + 1));
      }
      for (int i = 0; i < STRETCHES; i++) {
        long from = s * slot + i * slot / STRETCHES;
        stretch(from, s * slot + (i + 1) * slot / STRETCHES);
      }
      slotOver(s);
      progress.accept((s + 1.0) / slots);
    }
    agenda.runUntil(slots * slot + 20_000_000);
    edges.forEach(edge -> settle(edge));
    outcomes.fetches = archive.done();
    outcomes.aheadOrders =
        edges.stream().mapToLong(edge -> edge.ahead().orderCount()).sum();
    outcomes.events = agenda.done();
  }

  private void stretch(long from, long until) {
    for (Workload.Arrival a : workload.draw(from, until)) {
      agenda.at(a.at(), () -> {
        if (planner != null) {
          planner.arrived(a.function().name());
        }
        edges.get(random.nextInt(edges.size())).arrive(a.function(), a.work());
      });
    }
    agenda.runUntil(until);
  }

  /** The first minute of a surge that came, on counted days, for the functions it is about. */
  private boolean inSurge(long at, Drawn f) {
    for (Surge s : e.getSurgeList()) {
      long begins = s.getDay() * day + (long) (s.getHour() / 24 * day);
      if (s.getComes()
          && s.getPopulation().equals(f.population())
          && at >= begins
          && at < begins + FIRST_MINUTE) {
        return true;
      }
    }
    return false;
  }

  private void slotOver(long number) {
    List<Map<String, FunctionStats.Snapshot>> seen =
        edges.stream().map(edge -> edge.seen().takeSnapshots()).toList();
    if (planner != null) {
      planner.slotOver(number, seen);
    }
    edges.forEach(this::settle);
  }

  private void settle(EmulatedEdge edge) {
    edge.ahead().account().closeExpired(agenda.now());
    for (LoadAheadAccounting.Entry entry : edge.ahead().account().takeClosed()) {
      if (entry.orderedAt() >= e.getTeachDays() * day) {
        outcomes.add(entry);
      }
    }
  }

  private void makePlan(long forSlot) {
    List<WorkerCapacity> hosts = list.values().stream()
        .filter(w -> w.phase() == Phase.RUNNING)
        .map(w -> new WorkerCapacity(w.worker(), e.getAhead().getMemoryMb(), Integer.MAX_VALUE, 1))
        .toList();
    List<Plan> plans = planner.plan(forSlot, agenda.now(), hosts, edges.size());
    for (int i = 0; i < plans.size(); i++) {
      EmulatedEdge edge = edges.get(i);
      Plan plan = plans.get(i);
      agenda.after((long) (e.getFleet().getNetworkMs() * 1000), () -> edge.plan(plan));
    }
  }

  private void plan(Trouble t) {
    long at = t.getDay() * day + (long) (t.getHour() / 24 * day);
    for (int i = 0; i < Math.min(t.getRunners(), runners.size()); i++) {
      EmulatedRunner r = List.copyOf(runners.values()).get(i);
      long lag = e.getEdges().getListLagMs() * 1000;
      long back = at + (long) (t.getBackAfterS() * 1e6);
      if (t.getKind() == Trouble.Kind.DIES) {
        agenda.at(at, r::die);
        agenda.at(at + lag, () -> news(r.name(), Phase.GONE, 0));
      } else {
        agenda.at(at, () -> news(r.name(), Phase.DRAINING, 0));
        agenda.at(back, r::die);
      }
      agenda.at(back, r::start);
      agenda.at(back + lag, () -> news(r.name(), Phase.RUNNING, back));
    }
  }

  private void news(String runner, Phase phase, long born) {
    WorkerEntry entry = new WorkerEntry(runner, "zone", 0, phase, 1, born);
    list.put(runner, entry);
    edges.forEach(edge -> edge.tell(new WorkerListUpdate(ListKind.DELTA, List.of(entry))));
  }
}
