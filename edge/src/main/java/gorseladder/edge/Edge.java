package gorseladder.edge;

import gorseladder.RouterApi;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.answers.RetryAdvice;
import gorseladder.config.Address;
import gorseladder.config.SettingsFile;
import gorseladder.config.proto.EdgeSettings;
import gorseladder.core.Core;
import gorseladder.core.GracefulStop;
import gorseladder.core.RuleLog;
import gorseladder.core.StallDetector;
import gorseladder.edge.core.AdmissionCheck;
import gorseladder.edge.core.EndpointHistory;
import gorseladder.edge.core.Intake;
import gorseladder.edge.core.TakenCall;
import gorseladder.edge.front.CallLog;
import gorseladder.edge.front.UnfinishedRequests;
import gorseladder.edge.front.WebhookFront;
import gorseladder.edge.history.CallHistory;
import gorseladder.edge.list.ListWatcher;
import gorseladder.edge.peers.PeerLink;
import gorseladder.edge.plans.PlannerLink;
import gorseladder.edge.runners.Runners;
import gorseladder.edge.runners.UnfinishedAnswers;
import gorseladder.gate.SendGate;
import gorseladder.rules.Rule;
import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpServer;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.Watchdog;
import gorseladder.stops.StopSequence;
import gorseladder.store.Ledger;
import gorseladder.store.history.History;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An edge: creates, connects and closes the ledger, the runner connections, the core, the worker list, the peer link
 * and the webhook front.
 */
public final class Edge implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Edge.class);
  private static final long CHECK_INTERVAL_MICROS = 1_000_000;
  private static final int CORE_STACK_BYTES = 1 << 20;
  /** Idle threads that are started in advance, for client connections and for attempts each. */
  private static final int MIN_IDLE_THREADS = 16;

  /** Idle threads that are started in advance for reads from the ledger. */
  private static final int MIN_IDLE_READERS = 2;

  private final EdgeSettings settings;
  private final Watchdog watchdog;
  private final StallDetector stallDetector;
  private final Ledger ledger;
  private final CallHistory history;
  private final Runners runners;
  private final Intake intake;
  private final Core<TakenCall> core;
  private final ListWatcher listWatcher;
  private final PeerLink peerLink;
  private final PlannerLink plannerLink;
  private final ByteBudget messageBudget;
  private final WebhookFront front;
  private final HttpServer server;
  private final ThreadCache clientThreads;
  private final ThreadCache ledgerReaders;
  private final RuleLog ruleLog = new RuleLog();
  private final CallLog callLog = new CallLog(ruleLog);
  private final AtomicBoolean closed = new AtomicBoolean();
  private final Object closeLock = new Object();
  private String ledgerProblem;

  /**
   * Starts an edge.
   *
   * @param settings checked settings
   * @throws IOException if the ledger cannot be used or an address is taken; the message says which
   */
  public Edge(EdgeSettings settings) throws IOException {
    this(settings, EdgeSystem.defaults(settings.getLimits().getStackBytes()));
  }

  /** Starts an edge with a given ledger file system and given thread factories, for tests. */
  public Edge(EdgeSettings settings, EdgeSystem system) throws IOException {
    this.settings = settings;
    EdgeConfig config = new EdgeConfig(settings);
    messageBudget = new ByteBudget(config.messageBudgetBytes());
    UnfinishedRequests requests = new UnfinishedRequests(messageBudget);
    UnfinishedAnswers answers = new UnfinishedAnswers(messageBudget, requests::makeRoom);
    if (answers.maxAnswerBytes() < settings.getRunners().getMaxAnswerBytes()) {
      LOG.warn(
          "the message memory allows answers of {} bytes, less than runners.max_answer_bytes",
          answers.maxAnswerBytes());
    }
    Path directory = Path.of(settings.getDataDirectory());
    int stack = settings.getLimits().getStackBytes();
    ledger = Ledger.open(
        directory.resolve("ledger"),
        settings.getLedger().getSync(),
        settings.getLedger().getMaxMessages(),
        system.ledgerFiles());
    EndpointHistory endpoints;
    try {
      endpoints = EndpointHistory.open(
          directory, config.currentEndpoints(), ledger.clock().micros());
      history = new CallHistory(
          History.open(
              directory.resolve("history"),
              new History.Bounds(
                  settings.getHistory().getSegmentBytes(),
                  settings.getHistory().getFineMinutes(),
                  settings.getHistory().getMaxBytes())),
          stack);
    } catch (IOException e) {
      ledger.close();
      throw e;
    }
    watchdog = new Watchdog("watchdog", stack);
    stallDetector = new StallDetector(watchdog);
    runners = new Runners(
        config.runners(),
        answers,
        ledger,
        new SendGate(config.rules(settings.getRules())),
        this::workerAddress,
        watchdog,
        new ThreadCache("attempt", MIN_IDLE_THREADS, system.attemptThreads()),
        ruleLog);
    ledgerReaders = new ThreadCache("ledger-read", MIN_IDLE_READERS, stack);
    intake = new Intake(
        ledger,
        settings.getLimits().getMaxCalls(),
        settings.getLedger().getKeepS() * 1_000_000,
        settings.getLedger().getMaxKeptAnswerBytes(),
        EdgeConfig.toMicros(settings.getLimits().getAnswerReserveMs()),
        ledgerReaders,
        new CallListener());
    RouterApi.Settings router = config.router();
    long seed = System.nanoTime() ^ settings.getOrdinal();
    core = new Core<>(
        router,
        seed,
        new Outbound(),
        settings.getLimits().getMaxCalls(),
        settings.hasPlanner(),
        new RetryAdvice(router.limits().maxRetryAfter(), seed),
        CORE_STACK_BYTES);
    runners.setListener(new Runners.Listener() {
      @Override
      public void attemptEnded(Core.AttemptEnd<TakenCall> end) {
        history.attemptEnded(end);
        core.attemptEnded(end);
      }

      @Override
      public void loadEnded(RouterApi.Loaded loaded) {
        history.loadEnded(loaded);
        core.loadEnded(loaded);
      }
    });
    intake.setCore(core);
    listWatcher = new ListWatcher(
        Address.parse(settings.getWorkerList().getAddress()),
        settings.getWorkerList().getService(),
        "gorseladder-edge/" + settings.getOrdinal(),
        settings.getWorkerList().getWaitMs(),
        directory.resolve("workers.json"),
        stack,
        new WorkerListListener());
    plannerLink =
        settings.hasPlanner() ? new PlannerLink(settings, ledger.openCount(), core, history) : null;
    front = new WebhookFront(
        config.webhooks(endpoints),
        requests,
        new AdmissionCheck(config.admission()),
        intake,
        core,
        watchdog,
        stallDetector,
        callLog);
    clientThreads = new ThreadCache("webhook", MIN_IDLE_THREADS, system.clientThreads());
    PeerLink openedLink = null;
    HttpServer startedServer = null;
    try {
      openedLink = settings.hasPeers()
          ? new PeerLink(
              Address.parse(settings.getPeers().getListen()),
              settings.getOrdinal(),
              settings.getPeers().getPeerList().stream().map(Address::parse).toList(),
              stack,
              core::peerMessage)
          : null;
      listWatcher.start();
      startedServer = front.listen(Address.parse(settings.getListen()), clientThreads);
    } finally {
      peerLink = openedLink;
      server = startedServer;
      if (startedServer == null) {
        close();
      }
    }
    if (plannerLink != null) {
      plannerLink.start();
    }
    scheduleCheck();
    LOG.info(
        "edge {} takes webhooks at {}, up to {} bytes of messages; its ledger remembers {} messages, boot {}",
        settings.getOrdinal(),
        Address.print(address()),
        messageBudget.limit(),
        ledger.size(),
        ledger.openCount());
  }

  /** Loads a settings file with all checks that an edge needs. */
  public static SettingsFile load(Path file) {
    return SettingsFile.load(file, EdgeConfig::checkSecret);
  }

  private InetSocketAddress workerAddress(String worker) {
    return listWatcher.address(worker);
  }

  private final class CallListener implements Intake.Listener {
    @Override
    public void callAccepted(TakenCall call) {
      callLog.callAccepted();
      runners.callAccepted(Clock.micros());
    }

    @Override
    public void callEnded(TakenCall call) {
      callLog.callEnded(call);
      history.callEnded(call);
    }
  }

  private final class Outbound implements Core.Outbound<TakenCall> {
    @Override
    public void send(TakenCall call, int attempt, String worker, long timeout) {
      runners.send(call, attempt, worker, timeout);
    }

    @Override
    public void cancel(TakenCall call, int attempt) {
      runners.cancel(call, attempt);
    }

    @Override
    public void load(String worker, String function, int copies) {
      runners.load(worker, function, copies, core.workerListUpdateCount());
    }

    @Override
    public void tellPeers(String text) {
      if (peerLink != null) {
        peerLink.broadcast(text);
      }
    }

    @Override
    public void subscribeWorkerList() {
      // The worker list is followed from the start until the edge closes.
    }
  }

  private final class WorkerListListener implements ListWatcher.Listener {
    /** Number of list updates given to the core; used only by the thread that watches the list. */
    private long updateCount;

    @Override
    public void workerReported(String worker, Phase phase, long startedAt, long receivedAt) {
      runners.workerReported(worker, phase, startedAt, updateCount + 1, receivedAt);
    }

    @Override
    public void listReceived(WorkerListUpdate workers) {
      updateCount++;
      core.workerListChanged(workers);
    }
  }

  private void scheduleCheck() {
    watchdog.after(CHECK_INTERVAL_MICROS, () -> {
      if (!closed.get()) {
        runners.cleanUp();
        ledger.expireUntil(ledger.clock().micros());
        logLedgerProblem();
        scheduleCheck();
      }
    });
  }

  private void logLedgerProblem() {
    String problem = ledger.writeProblem();
    if (!Objects.equals(problem, ledgerProblem)) {
      LOG.warn(
          "the ledger {}",
          problem == null
              ? "is written again"
              : "has trouble with its files, which are tried again: " + problem);
      ledgerProblem = problem;
    }
  }

  /** Returns the address that accepts webhooks. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Returns the bytes of memory that requests and answers use now. */
  public long messageBytes() {
    return messageBudget.used();
  }

  /** Returns the number of calls since the start, by the names used in the log. */
  public Map<String, Long> counts() {
    return callLog.counts();
  }

  /** Returns how often this edge saw each rule broken; empty if none was. */
  public Map<Rule, Long> rulesBroken() {
    return ruleLog.counts();
  }

  /**
   * Stops accepting calls, answers the accepted ones and closes, at the latest after {@code stop_ms}. Calls that are
   * still in progress shortly before that get their final answer then, while there is time to write it. If the process
   * stood still past that moment, the answers get the same time to be written.
   */
  public void stop() throws InterruptedException {
    long duration = EdgeConfig.toMicros(settings.getLimits().getStopMs());
    StopSequence sequence = new StopSequence(StopSequence.Moments.within(Clock.micros(), duration));
    front.stop();
    intake.stop();
    server.stopAccepting();
    GracefulStop.run(sequence, new CallsInProgress());
    LOG.info(
        "edge {} stops with {} calls unanswered; counts {}; stopped at the last look: {}; rules broken {}",
        settings.getOrdinal(),
        intake.callsInProgress(),
        counts(),
        runners.gateSummary(),
        ruleLog.counts());
    close();
  }

  private final class CallsInProgress implements GracefulStop.Stoppable {
    @Override
    public boolean drain() {
      // Unread bytes first: a thread that takes them owes an answer by then.
      return !server.hasUnreadBytes()
          && !front.owesAnswers()
          && intake.callsInProgress() + front.inProgress() == 0;
    }

    @Override
    public boolean owesAnswers() {
      return server.hasUnreadBytes() || front.owesAnswers();
    }

    @Override
    public void refuseHeldCalls(long recordBy) {
      intake.endWaits(recordBy);
      core.refuseAll();
    }
  }

  /** Closes at once; calls in progress get no answer. Returns when everything is closed, also by another thread. */
  @Override
  public void close() {
    synchronized (closeLock) {
      if (!closed.getAndSet(true)) {
        closeComponents();
      }
    }
  }

  private void closeComponents() {
    if (server != null) {
      server.close();
    }
    clientThreads.close();
    ledgerReaders.close();
    if (peerLink != null) {
      peerLink.close();
    }
    if (plannerLink != null) {
      plannerLink.close();
    }
    listWatcher.close();
    core.close();
    runners.close();
    stallDetector.stop();
    watchdog.close();
    history.close();
    ledger.close();
  }
}
