package gorseladder.planner;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import gorseladder.config.exchange.Answer;
import gorseladder.config.exchange.Ask;
import gorseladder.config.exchange.Item;
import gorseladder.config.exchange.LoadAhead;
import gorseladder.config.exchange.Plan;
import gorseladder.config.exchange.Seen;
import gorseladder.config.proto.KnownDate;
import gorseladder.config.proto.PlannerSettings;
import gorseladder.forecast.Forecasts;
import gorseladder.forecast.SlotCalendar;
import gorseladder.placement.PlanMaker;
import gorseladder.placement.PlanMaker.CopyProfile;
import gorseladder.placement.PlanMaker.Order;
import gorseladder.placement.Prices;
import gorseladder.placement.Schedule;
import gorseladder.placement.Schedule.ScheduledHold;
import gorseladder.placement.WorkerCapacity;
import gorseladder.store.history.HistoryRow;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores what edges report and makes plans for them. {@link PlanMaker} decides the content of a plan; this class
 * decides when a plan is made, from which data and for which edges. Thread safe; its methods run one at a time.
 *
 * <p>A slot is observed once it has been over for a while and no active edge has rows left to send, so that a planner
 * that was down first reads what it missed. Rows that arrive even later are stored and count at the next start.
 */
public final class Planner implements Closeable {
  private static final Logger LOG = LoggerFactory.getLogger(Planner.class);
  /** Seconds after a slot's end by which edges have written and sent its last minute. */
  private static final long OBSERVATION_DELAY_SECONDS = 90;
  /** Seconds after the start in which the planner waits for edges to contact it. */
  private static final long STARTUP_WAIT_SECONDS = 10;

  private static final int MAX_NAME_LENGTH = 512;
  private static final int MAX_EDGES = 10_000;

  /** State of an edge since its last message. */
  private static final class EdgeState {
    private double lastHeardAt;
    private boolean caughtUp;
    private Map<String, Double> weights = new LinkedHashMap<>();
  }

  private final PlannerSettings settings;
  private final LocalSlots localSlots;
  private final LongSupplier wallMicros;
  private final PlannerStore store;
  private final PlanMaker planMaker;
  private final Schedule schedule = new Schedule();
  private final TreeMap<Integer, EdgeState> edges = new TreeMap<>();
  private final TreeMap<Long, Map<String, Integer>> unobservedSlots = new TreeMap<>();
  private final double startedAt;
  private Map<String, Integer> callsInSlot = new HashMap<>();
  private long countedSlot;
  private double countedSince;
  private long plannedSlot = Long.MIN_VALUE;
  private long version;
  private List<ScheduledHold> holds = List.of();
  private double planUntil;
  private double planMillis;
  private double cleanedAt;

  /**
   * Opens the store and reads its history.
   *
   * @param wallMicros clock in microseconds since 1970
   * @throws IOException if the store cannot be used
   */
  public Planner(PlannerSettings settings, LongSupplier wallMicros) throws IOException {
    this.settings = settings;
    this.wallMicros = wallMicros;
    this.localSlots = new LocalSlots(ZoneId.of(settings.getTimeZone()), settings.getSlotMinutes());
    Map<Integer, String> dates = new HashMap<>();
    for (KnownDate d : settings.getDateList()) {
      dates.put(LocalSlots.dayNumber(LocalDate.parse(d.getDay())), d.getName());
    }
    planMaker = new PlanMaker(
        new SlotCalendar(localSlots.slotsPerDay(), LocalSlots.firstWeekday(), dates),
        new PlanMaker.Settings(
            settings.getSlotMinutes() * 60.0,
            settings.getKeepAliveMs() / 1000.0,
            settings.getArchiveLoadsPerS(),
            settings.getOrdersPerPlan(),
            new Prices(
                settings.getFetchPrice(),
                settings.getGigabyteSecondPrice(),
                settings.getOrderPrice())));
    store = PlannerStore.open(Path.of(settings.getDataDirectory()));
    startedAt = nowSeconds();
    countedSince = startedAt;
    countedSlot = localSlots.slotAt((long) startedAt);
    store.forEachRow((edge, row) -> countCalls(row));
    store.forEachProfile((function, bytes) -> {
      try {
        learn(Seen.parseFrom(bytes));
      } catch (InvalidProtocolBufferException e) {
        LOG.warn("the stored profile of {} cannot be read and will be learned anew", function);
      }
    });
    LOG.info(
        "planner epoch {}; {} rows of history, {} slots to observe",
        store.epoch(),
        store.rowCount(),
        unobservedSlots.size());
  }

  private double nowSeconds() {
    return wallMicros.getAsLong() / 1e6;
  }

  /** A compacted row covers an hour: its calls are spread over the slots of that hour. */
  private void countCalls(HistoryRow row) {
    int parts = Math.max(1, row.minutes() / settings.getSlotMinutes());
    for (int i = 0; i < parts; i++) {
      long slot =
          localSlots.slotAt((row.startMinute() + (long) i * settings.getSlotMinutes()) * 60);
      long calls = row.calls() * (i + 1) / parts - row.calls() * i / parts;
      if (slot > planMaker.forecasts().lastSlot()) {
        Map<String, Integer> counts = unobservedSlots.computeIfAbsent(slot, s -> new HashMap<>());
        if (calls > 0 && !row.function().isEmpty()) {
          counts.merge(row.function(), (int) Math.min(calls, Integer.MAX_VALUE / 2), Integer::sum);
        }
      }
    }
  }

  private void learn(Seen seen) {
    planMaker.learn(
        seen.getFunction(),
        new CopyProfile(
            seen.getMemoryMb(), seen.getLanes(), seen.getWorkUs() / 1e6, seen.getLoadUs() / 1e6));
  }

  /**
   * Stores what an edge reports and answers with the plan, unless the edge has the current one.
   *
   * @throws IllegalArgumentException if the message is invalid; nothing of it was stored
   */
  public synchronized Answer exchange(Ask ask) {
    requireField(
        ask.hasOrdinal() && ask.getOrdinal() >= 0 && ask.getOrdinal() < MAX_EDGES, "ordinal");
    requireField(
        !ask.getHistory().isEmpty()
            && ask.getHistory().length() <= MAX_NAME_LENGTH
            && ask.getHistory().indexOf(' ') < 0,
        "history");
    requireField(
        ask.getAsked() >= 0 && ask.getFrom() >= 0 && ask.getNext() >= ask.getFrom(),
        "asked, from or next");
    List<HistoryRow> rows = new ArrayList<>();
    for (ByteString bytes : ask.getRowList()) {
      rows.add(HistoryRow.of(bytes.toByteArray()));
    }
    for (Seen seen : ask.getSeenList()) {
      requireField(
          !seen.getFunction().isEmpty()
              && seen.getFunction().length() <= MAX_NAME_LENGTH
              && seen.getLanes() >= 1
              && seen.getMemoryMb() >= 0
              && seen.getWorkUs() >= 0
              && seen.getLoadUs() >= 0
              && seen.getCalls() >= 0,
          "seen");
    }
    EdgeState edge = edges.computeIfAbsent(ask.getOrdinal(), o -> new EdgeState());
    edge.lastHeardAt = nowSeconds();
    edge.weights = new LinkedHashMap<>();
    ask.getWorkerList().forEach(w -> edge.weights.put(w.getName(), w.getWeight()));
    storeRows(ask, rows);
    storeObservations(ask);
    for (LoadAhead load : ask.getLoadList()) {
      store.putLoad(ask.getOrdinal(), ask.getBoot(), load);
    }
    store.commit();
    PlannerStore.Cursor cursor = store.cursor(ask.getOrdinal());
    edge.caughtUp = ask.getCaughtUp()
        && cursor.next() >= ask.getNext()
        && cursor.history().equals(ask.getHistory());
    Answer.Builder answer = Answer.newBuilder()
        .setHistory(cursor.history())
        .setWant(cursor.next())
        .setLoadsKept(store.lastKeptLoad(ask.getOrdinal(), ask.getBoot()));
    boolean hasCurrentPlan = ask.getEpoch() == store.epoch() && ask.getVersion() == version;
    if (version > 0 && !hasCurrentPlan && planUntil > nowSeconds()) {
      answer.setPlan(planMessage(ask.getOrdinal()));
    }
    return answer.build();
  }

  private static void requireField(boolean holds, String field) {
    if (!holds) {
      throw new IllegalArgumentException("impossible message: " + field);
    }
  }

  /** Stores rows if the edge read them from the number that is wanted next; otherwise the answer tells that number. */
  private void storeRows(Ask ask, List<HistoryRow> rows) {
    PlannerStore.Cursor cursor = store.cursor(ask.getOrdinal());
    if (!cursor.history().equals(ask.getHistory())) {
      cursor = new PlannerStore.Cursor(ask.getHistory(), 0);
      store.putRows(ask.getOrdinal(), ask.getHistory(), 0, 0, List.of());
    }
    if (ask.getAsked() != cursor.next()) {
      return;
    }
    if (ask.getFrom() > cursor.next()) {
      LOG.warn(
          "edge {} has no rows {} to {} of its history any more",
          ask.getOrdinal(),
          cursor.next(),
          ask.getFrom());
    } else if (ask.getFrom() < cursor.next()) {
      // The edge has compacted rows that were read before; it sends them again as rows of an hour.
      store.deleteRowsFrom(ask.getOrdinal(), ask.getHistory(), ask.getFrom());
    }
    store.putRows(ask.getOrdinal(), ask.getHistory(), ask.getFrom(), ask.getNext(), rows);
    rows.forEach(this::countCalls);
  }

  private void storeObservations(Ask ask) {
    long slot = localSlots.slotAt((long) nowSeconds());
    if (slot != countedSlot) {
      callsInSlot = new HashMap<>();
      countedSlot = slot;
      countedSince = nowSeconds();
    }
    for (Seen seen : ask.getSeenList()) {
      callsInSlot.merge(seen.getFunction(), seen.getCalls(), Integer::sum);
      learn(seen);
      store.putProfile(seen.getFunction(), seen.toBuilder().clearCalls().build().toByteArray());
    }
  }

  private Plan planMessage(int edge) {
    double now = nowSeconds();
    List<Integer> activeEdges = activeEdges();
    Plan.Builder plan = Plan.newBuilder()
        .setEpoch(store.epoch())
        .setVersion(version)
        .setLivesMs((long) ((planUntil - now) * 1000));
    for (ScheduledHold hold : holds) {
      Order order = hold.order();
      long until = (long) ((hold.until() - now) * 1000);
      int owner = activeEdges.isEmpty()
          ? edge
          : activeEdges.get(
              Math.floorMod(order.placed().function().hashCode(), activeEdges.size()));
      if (until > 0) {
        plan.addItem(Item.newBuilder()
            .setWorker(order.placed().worker())
            .setFunction(order.placed().function())
            .setLanes(order.profile().lanes())
            .setFromMs((long) ((hold.from() - now) * 1000))
            .setUntilMs(until)
            .setLoadUs((long) (order.profile().loadSeconds() * 1e6))
            .setMemoryMb(order.profile().memoryMb())
            .setMine(owner == edge));
      }
    }
    return plan.build();
  }

  /** Edges that sent a message within the configured time. */
  private List<Integer> activeEdges() {
    double oldest = nowSeconds() - settings.getEdgeSilentMs() / 1000.0;
    return edges.entrySet().stream()
        .filter(e -> e.getValue().lastHeardAt >= oldest)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Observes slots that are over and plans the next one; called a few times a second. */
  public synchronized void tick() {
    double now = nowSeconds();
    observe(now);
    long next = localSlots.slotAt((long) now) + 1;
    double slotStart = localSlots.startOf(next);
    if (next > plannedSlot && now >= slotStart - planMaker.leadSeconds() && allRowsReceived(now)) {
      plan(next, slotStart, now);
    }
    if (now - cleanedAt > 600) {
      cleanedAt = now;
      store.deleteBefore((long) (now / 60) - settings.getKeepDays() * 1440L);
      store.commit();
      store.compact();
    }
  }

  /** Whether all active edges have sent their rows, and other edges had time to contact the planner after its start. */
  private boolean allRowsReceived(double now) {
    List<Integer> activeEdges = activeEdges();
    return now >= startedAt + STARTUP_WAIT_SECONDS
        && !activeEdges.isEmpty()
        && activeEdges.stream().allMatch(e -> edges.get(e).caughtUp);
  }

  private void observe(double now) {
    if (!allRowsReceived(now)) {
      return;
    }
    // A running edge writes a row each minute, so a slot without rows is missing from the history
    // and
    // is skipped.
    while (!unobservedSlots.isEmpty()
        && localSlots.startOf(unobservedSlots.firstKey() + 1) + OBSERVATION_DELAY_SECONDS <= now) {
      Map.Entry<Long, Map<String, Integer>> first = unobservedSlots.pollFirstEntry();
      planMaker.observe(first.getKey(), first.getValue());
    }
  }

  private void plan(long slot, double slotStart, double now) {
    long startNanos = System.nanoTime();
    Map<String, Double> weights = new LinkedHashMap<>();
    activeEdges().forEach(e -> weights.putAll(edges.get(e).weights));
    // A worker that one edge knows to be draining gets no loads ahead, even if other edges list it.
    // An edge without a worker list is ignored.
    activeEdges().stream()
        .map(edges::get)
        .filter(e -> !e.weights.isEmpty())
        .forEach(e -> weights.keySet().retainAll(e.weights.keySet()));
    List<WorkerCapacity> workers = weights.entrySet().stream()
        .map(w -> new WorkerCapacity(
            w.getKey(),
            settings.getRunnerMemoryMb(),
            Integer.MAX_VALUE,
            w.getValue() > 0 ? w.getValue() : 1))
        .toList();
    double slotSeconds = settings.getSlotMinutes() * 60.0;
    boolean hasCurrentCalls = countedSlot == slot - 1;
    double coveredFraction = Math.max(0.01, Math.min(1, (now - countedSince) / slotSeconds));
    List<Order> orders =
        planMaker.plan(slot, hasCurrentCalls ? callsInSlot : Map.of(), coveredFraction, workers);
    holds = schedule.add(slotStart, orders, now);
    plannedSlot = slot;
    planUntil = slotStart + slotSeconds;
    version++;
    planMillis = (System.nanoTime() - startNanos) / 1e6;
    LOG.info(
        "plan {}/{} for slot {}: {} new holds of {}, {} functions foreseen, {} workers, made in {} ms",
        store.epoch(),
        version,
        slot,
        orders.size(),
        holds.size(),
        planMaker.forecasts().functions().size(),
        workers.size(),
        Math.round(planMillis));
  }

  /** A summary of the state, for operators. */
  public synchronized Map<String, Object> state() {
    Map<String, Object> state = new LinkedHashMap<>();
    state.put("epoch", store.epoch());
    state.put("version", version);
    state.put("slot", version == 0 ? null : plannedSlot);
    state.put("holds", holds.size());
    state.put("functions", planMaker.forecasts().functions().size());
    state.put(
        "observed",
        planMaker.forecasts().lastSlot() == Long.MIN_VALUE
            ? null
            : planMaker.forecasts().lastSlot());
    state.put("rows", store.rowCount());
    state.put("edges", activeEdges());
    state.put("plan_ms", planMillis);
    return state;
  }

  /** The forecast of a function for the next slot and the confidence in it. */
  public synchronized Map<String, Object> forecast(String function) {
    long slot = localSlots.slotAt((long) nowSeconds()) + 1;
    Forecasts.Forecast forecast = planMaker.forecasts().forecast(function, slot);
    Map<String, Object> values = new LinkedHashMap<>();
    values.put("function", function);
    values.put("slot", slot);
    values.put("mean", forecast.mean());
    values.put("upper", forecast.upper());
    values.put("by", forecast.forecasterName());
    values.put("calls_believed", planMaker.confidence().callsFactor(function));
    values.put("any_believed", planMaker.confidence().occurrenceFactor(function));
    return values;
  }

  /** The totals of all stored loads ahead. */
  public synchronized LoadAheadSummary account() throws IOException {
    LoadAheadSummary summary = new LoadAheadSummary();
    store.forEachLoad(summary::add);
    return summary;
  }

  /** The totals of the loads ahead stored in a directory that no planner has open. */
  public static LoadAheadSummary account(Path directory) throws IOException {
    try (PlannerStore store = PlannerStore.open(directory)) {
      LoadAheadSummary summary = new LoadAheadSummary();
      store.forEachLoad(summary::add);
      return summary;
    }
  }

  @Override
  public synchronized void close() {
    store.close();
  }
}
