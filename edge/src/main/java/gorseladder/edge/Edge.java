package gorseladder.edge;

import gorseladder.RouterApi;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.answers.RetryAdvice;
import gorseladder.config.Address;
import gorseladder.config.SettingsFile;
import gorseladder.config.proto.EdgeSettings;
import gorseladder.core.Core;
import gorseladder.core.RuleLog;
import gorseladder.core.StallDetector;
import gorseladder.edge.core.AdmissionCheck;
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
 * One edge: ledger, runner connections, core, worker list, peers and the webhook front, put together and taken apart.
 */
public final class Edge implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Edge.class);
  private static final long CHECK_EVERY = 1_000_000;
  private static final int CORE_STACK = 1 << 20;
  /** Threads for connections of clients, and as many for attempts, that stand ready from the start. */
  private static final int READY_THREADS = 16;

  /** Threads that read from the ledger and stand ready from the start. */
  private static final int READY_READERS = 2;

  private final EdgeSettings settings;
  private final Watchdog watchdog;
  private final StallDetector pauses;
  private final Ledger ledger;
  private final CallHistory history;
  private final Runners runners;
  private final Intake intake;
  private final Core<TakenCall> core;
  private final ListWatcher list;
  private final PeerLink peers;
  private final PlannerLink planner;
  private final ByteBudget messageBytes;
  private final WebhookFront front;
  private final HttpServer server;
  private final ThreadCache clientThreads;
  private final ThreadCache readers;
  private final RuleLog rules = new RuleLog();
  private final CallLog log = new CallLog(rules);
  private final AtomicBoolean closed = new AtomicBoolean();
  private String ledgerTrouble;

  /**
   * Starts an edge by checked settings.
   *
   * @throws IOException where the ledger cannot be used or an address is taken; the text says which
   */
  public Edge(EdgeSettings settings) throws IOException {
    this(settings, EdgeSystem.usual(settings.getLimits().getStackBytes()));
  }

  /** As above, on a machine that tests choose. */
  public Edge(EdgeSettings settings, EdgeSystem system) throws IOException {
    this.settings = settings;
    EdgeConfig config = new EdgeConfig(settings);
    messageBytes = new ByteBudget(config.messageBytes());
    UnfinishedRequests requests = new UnfinishedRequests(messageBytes);
    UnfinishedAnswers answers = new UnfinishedAnswers(messageBytes, requests::makeRoom);
    if (answers.longest() < settings.getRunners().getMaxAnswerBytes()) {
      LOG.warn(
          "there is memory for answers of {} bytes, and not of runners.max_answer_bytes",
          answers.longest());
    }
    Path directory = Path.of(settings.getDataDirectory());
    int stack = settings.getLimits().getStackBytes();
    ledger = Ledger.open(
        directory.resolve("ledger"),
        settings.getLedger().getSync(),
        settings.getLedger().getMaxMessages(),
        system.ledgerFiles());
    try {
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
    pauses = new StallDetector(watchdog);
    runners = new Runners(
        config.runners(),
        answers,
        ledger,
        new SendGate(config.rules(settings.getRules())),
        this::address,
        watchdog,
        new ThreadCache("attempt", READY_THREADS, system.attemptThreads()),
        rules);
    readers = new ThreadCache("ledger-read", READY_READERS, stack);
    intake = new Intake(
        ledger,
        settings.getLimits().getMaxCalls(),
        settings.getLedger().getKeepS() * 1_000_000,
        settings.getLedger().getMaxKeptAnswerBytes(),
        EdgeConfig.ms(settings.getLimits().getAnswerReserveMs()),
        readers,
        new Hearer());
    RouterApi.Settings router = config.router();
    long seed = System.nanoTime() ^ settings.getOrdinal();
    core = new Core<>(
        router,
        seed,
        new Outbound(),
        settings.getLimits().getMaxCalls(),
        settings.hasPlanner(),
        new RetryAdvice(router.limits().maxRetryAfter(), seed),
        CORE_STACK);
    runners.reportTo(new Runners.Hearer() {
      @Override
      public void attemptEnded(Core.AttemptEnd<TakenCall> end) {
        history.attempt(end);
        core.attemptEnded(end);
      }

      @Override
      public void loadEnded(RouterApi.Loaded loaded) {
        history.loaded(loaded);
        core.loadEnded(loaded);
      }
    });
    intake.admitTo(core);
    list = new ListWatcher(
        Address.parse(settings.getWorkerList().getAddress()),
        settings.getWorkerList().getService(),
        "gorseladder-edge/" + settings.getOrdinal(),
        settings.getWorkerList().getWaitMs(),
        directory.resolve("workers.json"),
        stack,
        new ListHearer());
    planner =
        settings.hasPlanner() ? new PlannerLink(settings, ledger.openCount(), core, history) : null;
    front = new WebhookFront(
        config.webhooks(),
        requests,
        new AdmissionCheck(config.admission()),
        intake,
        core,
        watchdog,
        pauses,
        log);
    clientThreads = new ThreadCache("webhook", READY_THREADS, system.clientThreads());
    PeerLink link = null;
    HttpServer listening = null;
    try {
      link = settings.hasPeers()
          ? new PeerLink(
              Address.parse(settings.getPeers().getListen()),
              settings.getOrdinal(),
              settings.getPeers().getPeerList().stream().map(Address::parse).toList(),
              stack,
              core::peerMessage)
          : null;
      list.start();
      listening = front.listen(Address.parse(settings.getListen()), clientThreads);
    } finally {
      peers = link;
      server = listening;
      if (listening == null) {
        close();
      }
    }
    if (planner != null) {
      planner.start();
    }
    checkLater();
    LOG.info(
        "edge {} takes webhooks at {}, up to {} bytes of messages; its ledger remembers {} messages, boot {}",
        settings.getOrdinal(),
        Address.print(address()),
        messageBytes.limit(),
        ledger.size(),
        ledger.openCount());
  }

  /** Loads a settings file with all checks that an edge needs. */
  public static SettingsFile load(Path file) {
    return SettingsFile.load(file, EdgeConfig::checkSecret);
  }

  private InetSocketAddress address(String worker) {
    return list.address(worker);
  }

  private final class Hearer implements Intake.Hearer {
    @Override
    public void taken(TakenCall call) {
      log.taken();
      runners.taken(Clock.micros());
    }

    @Override
    public void ended(TakenCall call) {
      log.ended(call);
      history.ended(call);
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
      if (peers != null) {
        peers.tell(text);
      }
    }

    @Override
    public void subscribeWorkerList() {
      // The list is followed from the start on and never given up.
    }
  }

  private final class ListHearer implements ListWatcher.Hearer {
    /** News of the list told to the core; the thread's that watches the list. */
    private long newsTold;

    @Override
    public void worker(String worker, Phase phase, long born, long at) {
      runners.told(worker, phase, born, newsTold + 1, at);
    }

    @Override
    public void list(WorkerListUpdate workers) {
      newsTold++;
      core.workerListChanged(workers);
    }
  }

  private void checkLater() {
    watchdog.after(CHECK_EVERY, () -> {
      if (!closed.get()) {
        runners.check();
        ledger.expireUntil(ledger.clock().micros());
        tellLedgerTrouble();
        checkLater();
      }
    });
  }

  private void tellLedgerTrouble() {
    String trouble = ledger.writeProblem();
    if (!Objects.equals(trouble, ledgerTrouble)) {
      LOG.warn(
          "the ledger {}",
          trouble == null
              ? "is written again"
              : "has trouble with its files, which are tried again: " + trouble);
      ledgerTrouble = trouble;
    }
  }

  /** Where webhooks are taken. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Bytes that requests and answers take at present. */
  public long messageBytes() {
    return messageBytes.used();
  }

  /** Counts since the start, by the words of the log. */
  public Map<String, Long> counts() {
    return log.counts();
  }

  /** How often a rule was broken as far as this edge can see; empty where none was. */
  public Map<Rule, Long> rulesBroken() {
    return rules.counts();
  }

  /** Takes nothing new, answers what was taken, then closes; at the latest after the told time. */
  public void stop() throws InterruptedException {
    front.stop();
    intake.stop();
    server.stopAccepting();
    long until = Clock.micros() + EdgeConfig.ms(settings.getLimits().getStopMs());
    while (intake.inHand() + front.inProgress() > 0 && Clock.micros() < until) {
      Thread.sleep(5);
    }
    LOG.info(
        "edge {} stops with {} calls unanswered; counts {}; stopped at the last look: {}; rules broken {}",
        settings.getOrdinal(),
        intake.inHand(),
        counts(),
        runners.gateSummary(),
        rules.counts());
    close();
  }

  /** Ends at once; calls in hand get no answer. */
  @Override
  public void close() {
    if (closed.getAndSet(true)) {
      return;
    }
    if (server != null) {
      server.close();
    }
    clientThreads.close();
    readers.close();
    if (peers != null) {
      peers.close();
    }
    if (planner != null) {
      planner.close();
    }
    list.close();
    core.close();
    runners.close();
    pauses.stop();
    watchdog.close();
    history.close();
    ledger.close();
  }
}
