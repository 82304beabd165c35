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
 * Takes what edges tell, keeps it, foresees and plans. What it decides is decided in {@link PlanMaker}; here is only
 * when, from what and for whom. Any thread; one at a time does anything.
 *
 * <p>A slot is observed once it has been over for a while and no edge that asks has rows left to tell, so that a
 * planner that was away reads what it missed first. Rows that come later still are kept and count at the next start.
 */
public final class Planner implements Closeable {
  private static final Logger LOG = LoggerFactory.getLogger(Planner.class);
  /** Seconds after a slot's end by which its last minute was written and told. */
  private static final long LATE = 90;
  /** Seconds after the start in which edges are waited for. */
  private static final long GATHER = 10;

  private static final int MOST_NAME = 512;
  private static final int MOST_EDGES = 10_000;

  /** What is known of an edge. */
  private static final class EdgeSeen {
    private double heardAt;
    private boolean caughtUp;
    private Map<String, Double> weights = new LinkedHashMap<>();
  }

  private final PlannerSettings settings;
  private final LocalSlots local;
  private final LongSupplier wall;
  private final PlannerStore store;
  private final PlanMaker maker;
  private final Schedule schedule = new Schedule();
  private final TreeMap<Integer, EdgeSeen> edges = new TreeMap<>();
  private final TreeMap<Long, Map<String, Integer>> unobserved = new TreeMap<>();
  private final double startedAt;
  private Map<String, Integer> soFar = new HashMap<>();
  private long soFarSlot;
  private double soFarSince;
  private long plannedFor = Long.MIN_VALUE;
  private long version;
  private List<ScheduledHold> holds = List.of();
  private double planUntil;
  private double planMillis;
  private double tidiedAt;

  /**
   * Opens the store and reads its history.
   *
   * @param wall microseconds since 1970
   * @throws IOException where the store cannot be used
   */
  public Planner(PlannerSettings settings, LongSupplier wall) throws IOException {
    this.settings = settings;
    this.wall = wall;
    this.local = new LocalSlots(ZoneId.of(settings.getTimeZone()), settings.getSlotMinutes());
    Map<Integer, String> dates = new HashMap<>();
    for (KnownDate d : settings.getDateList()) {
      dates.put(LocalSlots.day(LocalDate.parse(d.getDay())), d.getName());
    }
    maker = new PlanMaker(
        new SlotCalendar(local.perDay(), LocalSlots.firstWeekday(), dates),
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
    startedAt = now();
    soFarSince = startedAt;
    soFarSlot = local.slot((long) startedAt);
    store.eachRow((edge, row) -> count(row));
    store.eachFact((function, bytes) -> {
      try {
        learn(Seen.parseFrom(bytes));
      } catch (InvalidProtocolBufferException e) {
        LOG.warn("what was known of {} cannot be read and is learned anew", function);
      }
    });
    LOG.info(
        "planner epoch {}; {} rows of history, {} slots to observe",
        store.epoch(),
        store.rows(),
        unobserved.size());
  }

  private double now() {
    return wall.getAsLong() / 1e6;
  }

  /** A compacted row covers an hour: its calls are spread over the slots of that hour. */
  private void count(HistoryRow row) {
    int parts = Math.max(1, row.minutes() / settings.getSlotMinutes());
    for (int i = 0; i < parts; i++) {
      long slot = local.slot((row.startMinute() + (long) i * settings.getSlotMinutes()) * 60);
      long calls = row.calls() * (i + 1) / parts - row.calls() * i / parts;
      if (slot > maker.forecasts().lastSlot()) {
        Map<String, Integer> counts = unobserved.computeIfAbsent(slot, s -> new HashMap<>());
        if (calls > 0 && !row.function().isEmpty()) {
          counts.merge(row.function(), (int) Math.min(calls, Integer.MAX_VALUE / 2), Integer::sum);
        }
      }
    }
  }

  private void learn(Seen s) {
    maker.learn(
        s.getFunction(),
        new CopyProfile(s.getMemoryMb(), s.getLanes(), s.getWorkUs() / 1e6, s.getLoadUs() / 1e6));
  }

  /**
   * Takes what an edge tells and answers with what it should hold.
   *
   * @throws IllegalArgumentException where it is no sensible message; nothing of it was taken
   */
  public synchronized Answer exchange(Ask ask) {
    require(ask.hasOrdinal() && ask.getOrdinal() >= 0 && ask.getOrdinal() < MOST_EDGES, "ordinal");
    require(
        !ask.getHistory().isEmpty()
            && ask.getHistory().length() <= MOST_NAME
            && ask.getHistory().indexOf(' ') < 0,
        "history");
    require(
        ask.getAsked() >= 0 && ask.getFrom() >= 0 && ask.getNext() >= ask.getFrom(),
        "asked, from or next");
    List<HistoryRow> rows = new ArrayList<>();
    for (ByteString bytes : ask.getRowList()) {
      rows.add(HistoryRow.of(bytes.toByteArray()));
    }
    for (Seen s : ask.getSeenList()) {
      require(
          !s.getFunction().isEmpty()
              && s.getFunction().length() <= MOST_NAME
              && s.getLanes() >= 1
              && s.getMemoryMb() >= 0
              && s.getWorkUs() >= 0
              && s.getLoadUs() >= 0
              && s.getCalls() >= 0,
          "seen");
    }
    EdgeSeen edge = edges.computeIfAbsent(ask.getOrdinal(), o -> new EdgeSeen());
    edge.heardAt = now();
    edge.weights = new LinkedHashMap<>();
    ask.getWorkerList().forEach(w -> edge.weights.put(w.getName(), w.getWeight()));
    takeRows(ask, rows);
    takeSeen(ask);
    for (LoadAhead load : ask.getLoadList()) {
      store.load(ask.getOrdinal(), ask.getBoot(), load);
    }
    store.commit();
    PlannerStore.Cursor cursor = store.cursor(ask.getOrdinal());
    edge.caughtUp = ask.getCaughtUp()
        && cursor.next() >= ask.getNext()
        && cursor.history().equals(ask.getHistory());
    Answer.Builder answer = Answer.newBuilder()
        .setHistory(cursor.history())
        .setWant(cursor.next())
        .setLoadsKept(store.loadsKept(ask.getOrdinal(), ask.getBoot()));
    boolean has = ask.getEpoch() == store.epoch() && ask.getVersion() == version;
    if (version > 0 && !has && planUntil > now()) {
      answer.setPlan(print(ask.getOrdinal()));
    }
    return answer.build();
  }

  private static void require(boolean holds, String field) {
    if (!holds) {
      throw new IllegalArgumentException("impossible message: " + field);
    }
  }

  /** Rows count only where they were read from what is wanted; else the answer says what that is. */
  private void takeRows(Ask ask, List<HistoryRow> rows) {
    PlannerStore.Cursor cursor = store.cursor(ask.getOrdinal());
    if (!cursor.history().equals(ask.getHistory())) {
      cursor = new PlannerStore.Cursor(ask.getHistory(), 0);
      store.take(ask.getOrdinal(), ask.getHistory(), 0, 0, List.of());
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
      // What was read there was compacted since: it comes whole once more, in hours.
      store.forgetFrom(ask.getOrdinal(), ask.getHistory(), ask.getFrom());
    }
    store.take(ask.getOrdinal(), ask.getHistory(), ask.getFrom(), ask.getNext(), rows);
    rows.forEach(this::count);
  }

  private void takeSeen(Ask ask) {
    long slot = local.slot((long) now());
    if (slot != soFarSlot) {
      soFar = new HashMap<>();
      soFarSlot = slot;
      soFarSince = now();
    }
    for (Seen s : ask.getSeenList()) {
      soFar.merge(s.getFunction(), s.getCalls(), Integer::sum);
      learn(s);
      store.fact(s.getFunction(), s.toBuilder().clearCalls().build().toByteArray());
    }
  }

  private Plan print(int edge) {
    double now = now();
    List<Integer> asking = asking();
    Plan.Builder plan = Plan.newBuilder()
        .setEpoch(store.epoch())
        .setVersion(version)
        .setLivesMs((long) ((planUntil - now) * 1000));
    for (ScheduledHold t : holds) {
      Order o = t.order();
      long until = (long) ((t.until() - now) * 1000);
      int owner = asking.isEmpty()
          ? edge
          : asking.get(Math.floorMod(o.placed().function().hashCode(), asking.size()));
      if (until > 0) {
        plan.addItem(Item.newBuilder()
            .setWorker(o.placed().worker())
            .setFunction(o.placed().function())
            .setLanes(o.profile().lanes())
            .setFromMs((long) ((t.from() - now) * 1000))
            .setUntilMs(until)
            .setLoadUs((long) (o.profile().loadSeconds() * 1e6))
            .setMemoryMb(o.profile().memoryMb())
            .setMine(owner == edge));
      }
    }
    return plan.build();
  }

  /** Edges that asked of late. */
  private List<Integer> asking() {
    double since = now() - settings.getEdgeSilentMs() / 1000.0;
    return edges.entrySet().stream()
        .filter(e -> e.getValue().heardAt >= since)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Observes what is over and plans what comes; called a few times a second. */
  public synchronized void tick() {
    double now = now();
    observe(now);
    long next = local.slot((long) now) + 1;
    double begins = local.begins(next);
    if (next > plannedFor && now >= begins - maker.leadSeconds() && ready(now)) {
      plan(next, begins, now);
    }
    if (now - tidiedAt > 600) {
      tidiedAt = now;
      store.dropBefore((long) (now / 60) - settings.getKeepDays() * 1440L);
      store.commit();
      store.compact();
    }
  }

  /** Every edge that asks has told its rows, and those that may ask had the time to. */
  private boolean ready(double now) {
    List<Integer> asking = asking();
    return now >= startedAt + GATHER
        && !asking.isEmpty()
        && asking.stream().allMatch(e -> edges.get(e).caughtUp);
  }

  private void observe(double now) {
    if (!ready(now)) {
      return;
    }
    // An edge that ran wrote a row each minute, so a slot without any is a hole, which teaches
    // nothing.
    while (!unobserved.isEmpty() && local.begins(unobserved.firstKey() + 1) + LATE <= now) {
      Map.Entry<Long, Map<String, Integer>> first = unobserved.pollFirstEntry();
      maker.observe(first.getKey(), first.getValue());
    }
  }

  private void plan(long slot, double begins, double now) {
    long began = System.nanoTime();
    Map<String, Double> weights = new LinkedHashMap<>();
    asking().forEach(e -> weights.putAll(edges.get(e).weights));
    // A worker that one edge knows to drain is not loaded ahead, whatever the others know; an
    // edge without a list knows nothing.
    asking().stream()
        .map(edges::get)
        .filter(e -> !e.weights.isEmpty())
        .forEach(e -> weights.keySet().retainAll(e.weights.keySet()));
    List<WorkerCapacity> hosts = weights.entrySet().stream()
        .map(w -> new WorkerCapacity(
            w.getKey(),
            settings.getRunnerMemoryMb(),
            Integer.MAX_VALUE,
            w.getValue() > 0 ? w.getValue() : 1))
        .toList();
    double length = settings.getSlotMinutes() * 60.0;
    boolean known = soFarSlot == slot - 1;
    double part = Math.max(0.01, Math.min(1, (now - soFarSince) / length));
    List<Order> orders = maker.plan(slot, known ? soFar : Map.of(), part, hosts);
    holds = schedule.add(begins, orders, now);
    plannedFor = slot;
    planUntil = begins + length;
    version++;
    planMillis = (System.nanoTime() - began) / 1e6;
    LOG.info(
        "plan {}/{} for slot {}: {} new holds of {}, {} functions foreseen, {} workers, made in {} ms",
        store.epoch(),
        version,
        slot,
        orders.size(),
        holds.size(),
        maker.forecasts().functions().size(),
        hosts.size(),
        Math.round(planMillis));
  }

  /** The state in short, for whoever asks. */
  public synchronized Map<String, Object> state() {
    Map<String, Object> state = new LinkedHashMap<>();
    state.put("epoch", store.epoch());
    state.put("version", version);
    state.put("slot", version == 0 ? null : plannedFor);
    state.put("holds", holds.size());
    state.put("functions", maker.forecasts().functions().size());
    state.put(
        "observed",
        maker.forecasts().lastSlot() == Long.MIN_VALUE
            ? null
            : maker.forecasts().lastSlot());
    state.put("rows", store.rows());
    state.put("edges", asking());
    state.put("plan_ms", planMillis);
    return state;
  }

  /** What is expected of a function in the next slot, and how far that is believed. */
  public synchronized Map<String, Object> forecast(String function) {
    long slot = local.slot((long) now()) + 1;
    Forecasts.Forecast e = maker.forecasts().forecast(function, slot);
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("function", function);
    out.put("slot", slot);
    out.put("mean", e.mean());
    out.put("upper", e.upper());
    out.put("by", e.forecasterName());
    out.put("calls_believed", maker.confidence().callsFactor(function));
    out.put("any_believed", maker.confidence().occurrenceFactor(function));
    return out;
  }

  /** The account of all loads ahead that are kept. */
  public synchronized LoadAheadSummary account() throws IOException {
    LoadAheadSummary sheet = new LoadAheadSummary();
    store.eachLoad(sheet::add);
    return sheet;
  }

  /** The account in a directory that no planner holds open. */
  public static LoadAheadSummary account(Path directory) throws IOException {
    try (PlannerStore store = PlannerStore.open(directory)) {
      LoadAheadSummary sheet = new LoadAheadSummary();
      store.eachLoad(sheet::add);
      return sheet;
    }
  }

  @Override
  public synchronized void close() {
    store.close();
  }
}
