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
 * A fleet in simulated time: runners, the archive, the worker list, edges with the real router, clients and, if the
 * settings ask for it, a planner with the real decisions. The same seed gives the same sequence of events, and the
 * calls drawn do not depend on how they are served. An emulation uses one thread; several may run in parallel.
 */
public final class EmulatedFleet {
  private static final long SURGE_START_MICROS = 60_000_000;
  private static final int PERIODS_PER_SLOT = 4;
  private static final long TICK_MICROS = 2_000;
  /** Fraction of a call's worth that a late answer earns. */
  private static final double LATE_WORTH_FRACTION = 0.2;

  private final Emulation emulation;
  private final EventScheduler scheduler = new EventScheduler();
  private final Outcomes outcomes;
  private final Workload workload;
  private final EmulatedArchive archive;
  private final Map<String, EmulatedRunner> runners = new LinkedHashMap<>();
  private final Map<String, WorkerEntry> workerList = new LinkedHashMap<>();
  private final List<EmulatedEdge> edges = new ArrayList<>();
  private final EmulatedPlanner planner;
  private final Random random;
  private final long dayMicros;
  private final long slotMicros;

  private EmulatedFleet(Emulation settings, Recording recording) {
    this.emulation = settings;
    this.random = new Random(emulation.getSeed() * 31 + 7);
    this.dayMicros = (long) (emulation.getDayS() * 1e6);
    this.slotMicros = dayMicros / emulation.getSlots();
    this.outcomes =
        new Outcomes(scheduler, emulation.getTeachDays() * dayMicros, this::isSurgeStart);
    this.workload = new Workload(emulation, recording);
    this.archive = new EmulatedArchive(
        scheduler, emulation.getArchive().getAtOnce(), emulation.getArchive().getMost());
    this.planner =
        emulation.getAhead().getMode() == Mode.NONE ? null : new EmulatedPlanner(emulation);
    for (int i = 0; i < emulation.getFleet().getRunners(); i++) {
      double speed = emulation.getFleet().getSpeedFrom()
          + random.nextDouble()
              * (emulation.getFleet().getSpeedTo() - emulation.getFleet().getSpeedFrom());
      EmulatedRunner runner = new EmulatedRunner(
          "runner-" + i,
          scheduler,
          emulation.getFleet(),
          speed,
          emulation.getArchive().getFetchPart(),
          archive);
      runners.put(runner.name(), runner);
      workerList.put(runner.name(), new WorkerEntry(runner.name(), "zone", 0, Phase.RUNNING, 1, 0));
    }
    for (int i = 0; i < emulation.getEdges().getCount(); i++) {
      EmulatedEdge edge = new EmulatedEdge(
          routerSettings(i),
          random.nextLong(),
          scheduler,
          (long) (emulation.getFleet().getNetworkMs() * 1000),
          runners::get,
          workload::function,
          outcomes);
      int number = i;
      edge.setPeerSender(text -> edges.stream()
          .filter(other -> other != edge)
          .forEach(
              other -> scheduler.after(1_000, () -> other.handle(new PeerMessage(number, text)))));
      edges.add(edge);
    }
  }

  /**
   * Runs an emulation to its end.
   *
   * @param progress receives the completed fraction, 0 to 1, after each slot
   * @throws IllegalArgumentException if a setting is impossible; the message names it
   */
  public static Outcomes run(Emulation emulation, DoubleConsumer progress) {
    return run(emulation, null, progress);
  }

  /**
   * Replays recorded calls in place of the settings' populations, days and surges; the emulated fleet determines their
   * latency. A plan uses only calls from before it is made.
   *
   * @param recording null to draw calls by the settings
   */
  public static Outcomes run(Emulation emulation, Recording recording, DoubleConsumer progress) {
    Emulation effective = recording == null
        ? emulation
        : emulation.toBuilder()
            .setDays(recording.days())
            .setDayS(86_400)
            .clearSurge()
            .build();
    validate(effective);
    EmulatedFleet fleet = new EmulatedFleet(effective, recording);
    fleet.simulate(progress);
    return fleet.outcomes;
  }

  private static void validate(Emulation emulation) {
    require(emulation.getCallClassCount() > 0, "call_class: at least one is needed");
    require(emulation.getPopulationCount() > 0, "population: at least one is needed");
    require(
        emulation.getDays() > emulation.getTeachDays() && emulation.getTeachDays() >= 0,
        "days: more than teach_days");
    require(emulation.getSlots() >= 1 && emulation.getSlots() <= 1440, "slots: 1 to 1440");
    require(
        emulation.getDayS() / emulation.getSlots()
            >= 5 * emulation.getFleet().getKeepAliveMs() / 1000.0,
        "day_s: a slot lasts five keep-alives or more");
    require(
        emulation.getFleet().getRunners() >= 1 && emulation.getFleet().getCores() >= 1,
        "fleet: runners and cores of 1 or more");
    require(
        emulation.getFleet().getSpeedFrom() > 0
            && emulation.getFleet().getSpeedTo() >= emulation.getFleet().getSpeedFrom(),
        "fleet: speeds above 0");
    require(emulation.getEdges().getCount() >= 1, "edges: count of 1 or more");
    require(emulation.getArchive().getAtOnce() > 0, "archive: at_once above 0");
    emulation
        .getSurgeList()
        .forEach(s -> require(
            emulation.getPopulationList().stream()
                .anyMatch(p -> p.getName().equals(s.getPopulation())),
            "surge: there is no population " + s.getPopulation()));
    emulation
        .getPopulationList()
        .forEach(p -> require(
            p.getFunctions() >= 1 && p.getLanes() >= 1 && p.getCallsPerS() > 0,
            "population " + p.getName() + ": functions, lanes and calls_per_s above 0"));
  }

  private static void require(boolean holds, String requirement) {
    if (!holds) {
      throw new IllegalArgumentException("impossible setting: " + requirement);
    }
  }

  private Settings routerSettings(int ordinal) {
    Edges edgeSettings = emulation.getEdges();
    List<RequestClass> classes = emulation.getCallClassList().stream()
        .map(c -> new RequestClass(
            c.getName(),
            Effect.valueOf(c.getEffect().name()),
            Group.ALL,
            0,
            c.getAimMs() * 1000,
            c.getDeadlineMs() * 1000,
            c.getWorth(),
            LATE_WORTH_FRACTION,
            false))
        .toList();
    return new Settings(
        ordinal,
        edgeSettings.getCount(),
        "zone",
        TICK_MICROS,
        emulation.getFleet().getKeepAliveMs() * 1000,
        edgeSettings.getLoadsOnMiss(),
        false,
        0,
        1,
        new Limits(
            4,
            false,
            emulation.getFleet().getCancelling(),
            false,
            true,
            true,
            false,
            0,
            10_000_000),
        new Rules(
            edgeSettings.getDrainGraceMs() * 1000,
            0.16,
            18_000_000,
            2.5,
            1_500_000,
            edgeSettings.getLoadsFree(),
            edgeSettings.getLoadShare(),
            edgeSettings.getLoadWindowMs() * 1000),
        classes,
        List.of());
  }

  private void simulate(DoubleConsumer progress) {
    edges.forEach(edge ->
        edge.handle(new WorkerListUpdate(ListKind.SAVED, List.copyOf(workerList.values()))));
    emulation.getTroubleList().forEach(this::scheduleTrouble);
    long slots = (long) emulation.getDays() * emulation.getSlots();
    for (long slot = 0; slot < slots; slot++) {
      long number = slot;
      if (planner != null) {
        scheduler.at(
            (slot + 1) * slotMicros - (long) (planner.leadSeconds() * 1e6),
            () -> makePlan(number + 1));
      }
      for (int i = 0; i < PERIODS_PER_SLOT; i++) {
        long from = slot * slotMicros + i * slotMicros / PERIODS_PER_SLOT;
        runPeriod(from, slot * slotMicros + (i + 1) * slotMicros / PERIODS_PER_SLOT);
      }
      endSlot(slot);
      progress.accept((slot + 1.0) / slots);
    }
    scheduler.runUntil(slots * slotMicros + 20_000_000);
    edges.forEach(edge -> collectLoadsAhead(edge));
    outcomes.fetches = archive.fetchCount();
    outcomes.planOrders =
        edges.stream().mapToLong(edge -> edge.planExecutor().orderCount()).sum();
    outcomes.events = scheduler.executedCount();
  }

  private void runPeriod(long from, long until) {
    for (Workload.Arrival call : workload.drawCalls(from, until)) {
      scheduler.at(call.time(), () -> {
        if (planner != null) {
          planner.callArrived(call.function().name());
        }
        edges.get(random.nextInt(edges.size())).arrive(call.function(), call.workMicros());
      });
    }
    scheduler.runUntil(until);
  }

  /** Whether a time is in the first minute of a surge that includes a function. */
  private boolean isSurgeStart(long time, EmulatedFunction function) {
    for (Surge surge : emulation.getSurgeList()) {
      long startsAt = surge.getDay() * dayMicros + (long) (surge.getHour() / 24 * dayMicros);
      if (surge.getComes()
          && surge.getPopulation().equals(function.population())
          && time >= startsAt
          && time < startsAt + SURGE_START_MICROS) {
        return true;
      }
    }
    return false;
  }

  private void endSlot(long number) {
    List<Map<String, FunctionStats.Snapshot>> snapshots =
        edges.stream().map(edge -> edge.functionStats().takeSnapshots()).toList();
    if (planner != null) {
      planner.endSlot(number, snapshots);
    }
    edges.forEach(this::collectLoadsAhead);
  }

  private void collectLoadsAhead(EmulatedEdge edge) {
    edge.planExecutor().account().closeExpired(scheduler.now());
    for (LoadAheadAccounting.Entry entry : edge.planExecutor().account().takeClosed()) {
      if (entry.orderedAt() >= emulation.getTeachDays() * dayMicros) {
        outcomes.add(entry);
      }
    }
  }

  private void makePlan(long forSlot) {
    List<WorkerCapacity> workers = workerList.values().stream()
        .filter(w -> w.phase() == Phase.RUNNING)
        .map(w -> new WorkerCapacity(
            w.worker(), emulation.getAhead().getMemoryMb(), Integer.MAX_VALUE, 1))
        .toList();
    List<Plan> plans = planner.plan(forSlot, scheduler.now(), workers, edges.size());
    for (int i = 0; i < plans.size(); i++) {
      EmulatedEdge edge = edges.get(i);
      Plan plan = plans.get(i);
      scheduler.after(
          (long) (emulation.getFleet().getNetworkMs() * 1000), () -> edge.acceptPlan(plan));
    }
  }

  private void scheduleTrouble(Trouble trouble) {
    long at = trouble.getDay() * dayMicros + (long) (trouble.getHour() / 24 * dayMicros);
    for (int i = 0; i < Math.min(trouble.getRunners(), runners.size()); i++) {
      EmulatedRunner runner = List.copyOf(runners.values()).get(i);
      long lagMicros = emulation.getEdges().getListLagMs() * 1000;
      long backAt = at + (long) (trouble.getBackAfterS() * 1e6);
      if (trouble.getKind() == Trouble.Kind.DIES) {
        scheduler.at(at, runner::crash);
        scheduler.at(at + lagMicros, () -> updateWorkerList(runner.name(), Phase.GONE, 0));
      } else {
        scheduler.at(at, () -> updateWorkerList(runner.name(), Phase.DRAINING, 0));
        scheduler.at(backAt, runner::crash);
      }
      scheduler.at(backAt, runner::restart);
      scheduler.at(
          backAt + lagMicros, () -> updateWorkerList(runner.name(), Phase.RUNNING, backAt));
    }
  }

  private void updateWorkerList(String runner, Phase phase, long startedAt) {
    WorkerEntry entry = new WorkerEntry(runner, "zone", 0, phase, 1, startedAt);
    workerList.put(runner, entry);
    edges.forEach(edge -> edge.handle(new WorkerListUpdate(ListKind.DELTA, List.of(entry))));
  }
}
