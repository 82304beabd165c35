package gorseladder.edge.plans;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import gorseladder.ahead.FunctionStats;
import gorseladder.ahead.LoadAheadAccounting;
import gorseladder.ahead.Plan;
import gorseladder.config.Address;
import gorseladder.config.exchange.Answer;
import gorseladder.config.exchange.Ask;
import gorseladder.config.exchange.LoadAhead;
import gorseladder.config.exchange.Worker;
import gorseladder.config.proto.EdgeSettings;
import gorseladder.core.Core;
import gorseladder.core.Core.PlannerReport;
import gorseladder.edge.core.TakenCall;
import gorseladder.edge.history.CallHistory;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.runtime.Threads;
import gorseladder.store.history.History;
import gorseladder.store.history.HistoryRow;
import gorseladder.wire.http1.BadMessage;
import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.http1.HeadWriter;
import gorseladder.wire.http1.HttpLimits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Periodically exchanges data with the planner: sends it rows of history, function statistics and the accounting of
 * loads ahead, and passes the plan that it returns to the core. If the planner is unavailable, the current plan
 * expires, and what could not be sent is sent later. The link has its own thread, so that a slow planner delays no
 * call.
 */
public final class PlannerLink implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(PlannerLink.class);
  private static final long CONNECT_MILLIS = 1_000;
  private static final long ANSWER_MICROS = 10_000_000;
  private static final long COLLECT_SECONDS = 5;
  private static final int MAX_ROWS = 20_000;
  /** Records of loads ahead kept while the planner is unavailable; the oldest are dropped with a log line. */
  private static final int MAX_LOADS = 20_000;

  private static final int MAX_BACKOFF_STEPS = 6;

  private record NumberedLoad(long number, LoadAheadAccounting.Entry entry, long orderedAtWall) {}

  private final InetSocketAddress address;
  private final EdgeSettings settings;
  private final long openCount;
  private final Core<TakenCall> core;
  private final History history;
  private final Random random = new Random();
  private final ArrayDeque<NumberedLoad> loads = new ArrayDeque<>();
  private Map<String, FunctionStats.Snapshot> unsentStats = Map.of();
  private long lastLoadNumber;
  private long nextRow;
  private int failures;
  private volatile HttpConnection connection;
  private volatile boolean stopped;
  private Thread thread;

  /**
   * Creates a link; {@link #start} starts it.
   *
   * @param openCount identifies this run of the edge
   */
  public PlannerLink(
      EdgeSettings settings, long openCount, Core<TakenCall> core, CallHistory history) {
    this.address = Address.parse(settings.getPlanner().getAddress());
    this.settings = settings;
    this.openCount = openCount;
    this.core = core;
    this.history = history.history();
  }

  /** Starts the exchanges. */
  public void start() {
    thread = Threads.start(
        "planner-link", Math.max(256 << 10, settings.getLimits().getStackBytes()), this::run);
  }

  private void run() {
    try {
      while (!stopped) {
        boolean more = false;
        try {
          more = exchangeOnce();
          if (failures > 0) {
            LOG.info("the planner answers again");
          }
          failures = 0;
        } catch (IOException | BadMessage | RuntimeException | Error e) {
          // Every error is retried, since nothing would restart this thread.
          if (failures++ == 0 && !stopped) {
            LOG.warn(
                "the planner at {} does not answer ({}); the plan in hand runs out, calls go on",
                Address.print(address),
                e.toString());
          }
          closeConnection();
        }
        if (!more) {
          // The random delay spreads the retries of edges that lost the planner at the same time.
          long base = settings.getPlanner().getAskMs() << Math.min(failures, MAX_BACKOFF_STEPS) / 2;
          Thread.sleep(base / 2 + (long) (random.nextDouble() * base));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void closeConnection() {
    HttpConnection c = connection;
    connection = null;
    if (c != null) {
      c.close();
    }
  }

  /** Makes one exchange; returns true if more rows are waiting to be sent. */
  private boolean exchangeOnce() throws IOException, BadMessage, InterruptedException {
    PlannerReport report = collect();
    History.Batch batch = history.read(nextRow, MAX_ROWS);
    boolean caughtUp = batch.next() >= history.nextNumber();
    Ask.Builder ask = Ask.newBuilder()
        .setOrdinal(settings.getOrdinal())
        .setEdges(settings.getEdges())
        .setBoot(openCount)
        .setHistory(history.identity())
        .setAsked(nextRow)
        .setFrom(batch.from())
        .setNext(batch.next())
        .setCaughtUp(caughtUp)
        .setEpoch(report.epoch())
        .setVersion(report.version());
    for (HistoryRow row : batch.rows()) {
      ask.addRow(ByteString.copyFrom(row.toBytes()));
    }
    unsentStats = report.functionStats();
    report
        .functionStats()
        .forEach((f, s) -> ask.addSeen(gorseladder.config.exchange.Seen.newBuilder()
            .setFunction(f)
            .setCalls(s.calls())
            .setMemoryMb(s.memoryMb())
            .setLanes(s.lanes())
            .setWorkUs((long) s.workMicros())
            .setLoadUs((long) s.loadMicros())));
    report
        .workers()
        .forEach(w -> ask.addWorker(Worker.newBuilder().setName(w.worker()).setWeight(w.weight())));
    loads.forEach(l -> ask.addLoad(toProto(l)));
    Answer answer = exchange(ask.build().toByteArray());
    unsentStats = Map.of();
    loads.removeIf(l -> l.number() <= answer.getLoadsKept());
    boolean cursorMoved =
        !answer.getHistory().equals(history.identity()) || answer.getWant() != batch.next();
    nextRow = answer.getHistory().equals(history.identity()) ? answer.getWant() : 0;
    if (answer.hasPlan()) {
      core.takePlan(plan(answer.getPlan(), Clock.micros()));
    }
    return cursorMoved || !caughtUp;
  }

  /** Collects the report of the core, including the statistics that an earlier exchange could not send. */
  private PlannerReport collect() throws IOException, InterruptedException {
    CompletableFuture<PlannerReport> future = new CompletableFuture<>();
    Map<String, FunctionStats.Snapshot> unsent = unsentStats;
    unsentStats = Map.of();
    core.collectReport(unsent, future::complete);
    try {
      PlannerReport report = future.get(COLLECT_SECONDS, TimeUnit.SECONDS);
      long wallOffset = Clock.wallMicros() - Clock.micros();
      for (LoadAheadAccounting.Entry e : report.loads()) {
        loads.addLast(new NumberedLoad(++lastLoadNumber, e, e.orderedAt() + wallOffset));
      }
      if (loads.size() > MAX_LOADS) {
        LOG.warn(
            "{} records of loads ahead are dropped: no planner took them",
            loads.size() - MAX_LOADS);
        while (loads.size() > MAX_LOADS) {
          loads.removeFirst();
        }
      }
      return report;
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("the core did not answer", e);
    }
  }

  private static LoadAhead toProto(NumberedLoad l) {
    LoadAheadAccounting.Entry e = l.entry();
    return LoadAhead.newBuilder()
        .setNumber(l.number())
        .setWorker(e.worker())
        .setFunction(e.function())
        .setOrderedAt(l.orderedAtWall())
        .setLoadUs(e.loadMicros())
        .setMegabyteSeconds(e.megabyteSeconds())
        .setRenewals(e.renewals())
        .setFound(e.found())
        .setSavedUs(e.savedMicros())
        .setPushedOut(e.evictions())
        .setPushedUs(e.evictedLoadMicros())
        .build();
  }

  private Answer exchange(byte[] body) throws IOException, BadMessage {
    HttpConnection c = connection;
    if (c == null || c.peerGone()) {
      closeConnection();
      c = HttpConnection.open(address, CONNECT_MILLIS, HttpLimits.INTERNAL);
      connection = c;
    }
    c.write(HeadWriter.request("POST", "/v1/exchange", Address.print(address))
        .field("Content-Type", "application/x-protobuf")
        .with(body));
    Head head = c.readResponse(Clock.micros() + ANSWER_MICROS);
    byte[] content = c.readBody(
        BodyParser.forResponse(head, HttpLimits.INTERNAL), Clock.micros() + ANSWER_MICROS);
    if (head.status() != 200) {
      throw new IOException("status " + head.status());
    }
    try {
      return Answer.parseFrom(content);
    } catch (InvalidProtocolBufferException e) {
      throw new IOException("the response is not a valid answer message", e);
    }
  }

  private static Plan plan(gorseladder.config.exchange.Plan p, long now) {
    List<Plan.Item> items = new ArrayList<>();
    p.getItemList()
        .forEach(i -> items.add(new Plan.Item(
            i.getWorker(),
            i.getFunction(),
            i.getCopies(),
            i.getLanes(),
            now + i.getFromMs() * 1000,
            now + i.getUntilMs() * 1000,
            i.getLoadUs(),
            i.getMemoryMb(),
            i.getMine())));
    return new Plan(p.getEpoch(), p.getVersion(), now + p.getLivesMs() * 1000, items);
  }

  @Override
  public void close() {
    stopped = true;
    closeConnection();
    if (thread != null) {
      thread.interrupt();
    }
  }
}
