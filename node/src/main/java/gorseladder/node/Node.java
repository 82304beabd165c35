package gorseladder.node;

import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.core.Core;
import gorseladder.core.GracefulStop;
import gorseladder.core.RuleLog;
import gorseladder.core.StallDetector;
import gorseladder.core.ThreadReclaimer;
import gorseladder.memory.MemoryPlan;
import gorseladder.node.changelog.ChangeLogFollower;
import gorseladder.node.front.FastCgiFront;
import gorseladder.node.peers.PeerLink;
import gorseladder.node.runners.RunnerLinks;
import gorseladder.rules.Rule;
import gorseladder.runtime.Clock;
import gorseladder.runtime.LocalShortage;
import gorseladder.runtime.ProcessMemory;
import gorseladder.runtime.Retry;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.Threads;
import gorseladder.runtime.Watchdog;
import gorseladder.runtime.Writers;
import gorseladder.stops.StopSequence;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One dispatcher of the platform: starts, connects and stops front, core, runner links, change log and peers. */
public final class Node implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Node.class);
  private static final int STACK_BYTES = 128 << 10;
  /** Threads for connections of clients and to runners that exist from the start. */
  private static final int MIN_IDLE_THREADS = 16;

  private static final long CHECK_INTERVAL_MICROS = 200_000;
  /** A stall of the process that may have delayed answers and is logged. */
  private static final long REPORTED_STALL_MICROS = 150_000;
  /** After SIGTERM new connections and requests arrive for up to 0.6 s; this adds a margin. */
  private static final long ACCEPT_AFTER_STOP_MICROS = 900_000;
  /**
   * SIGKILL comes no sooner after SIGTERM than the longest deadline, of which at most this counts, plus the kill grace.
   */
  private static final long MAX_COUNTED_DEADLINE_MICROS = 3_000_000;

  private static final long KILL_GRACE_MICROS = 700_000;
  /** Time before SIGKILL at which all calls still held get their final answer. */
  private static final long ANSWER_BEFORE_KILL_MICROS = 400_000;
  /**
   * Time before SIGKILL at which the process exits if no client waits for an answer and some have just not closed their
   * connections. Leaves time for an exit that takes longer than usual, as on a busy machine.
   */
  private static final long EXIT_BEFORE_KILL_MICROS = 300_000;
  /** Time before SIGKILL at which the process exits even if clients wait; their answers would be too late. */
  private static final long LATEST_EXIT_BEFORE_KILL_MICROS = 50_000;

  /** Seconds between two summaries in the log; 0 for none. */
  private static final long SUMMARY_INTERVAL_SECONDS = Long.getLong("gorseladder.node.summary", 10);

  private final NodeConfig config;
  private final Watchdog watchdog;
  private final CallPath path;
  private final Writers writers;
  private final StallDetector stallDetector;
  private final ThreadCache connectionThreads;
  private final RuleLog rules = new RuleLog();
  private final MemoryLog memoryLog;
  private final RunnerLinks links;
  private final Core<NodeCall> core;
  private final ChangeLogFollower changeLog;
  private final FastCgiFront front;
  private final PeerLink peers;
  private long maxLagMicros;
  private long summaryAt;
  private volatile boolean closed;
  private volatile Supplier<String> configurationSummary = () -> "none";
  /** Number of worker list updates passed to the core; used by the thread that follows the change log. */
  private long listUpdateCount;
  /** The worker list as it was known at the start. */
  private volatile WorkerListUpdate initialList;

  /**
   * Starts a dispatcher; it is live when this returns.
   *
   * @throws IOException if it cannot listen at an address; the message names the address
   */
  public Node(NodeConfig config) throws IOException {
    this.config = config;
    watchdog = new Watchdog("watchdog", STACK_BYTES);
    stallDetector = new StallDetector(watchdog);
    MemoryPlan plan = MemoryPlan.of(config.memoryBytes(), Runtime.getRuntime().maxMemory());
    connectionThreads = new ThreadCache(
        "connection",
        MIN_IDLE_THREADS,
        plan.connectionThreads(),
        Threads.factory("connection", STACK_BYTES));
    path = new CallPath(
        config, plan, watchdog, stallDetector, rules, connectionThreads, this::sendToPeers);
    writers = path.writers();
    links = path.links();
    core = path.core();
    front = path.front();
    memoryLog = new MemoryLog(
        config.name(),
        new ProcessMemory(config.memoryBytes()),
        config.memoryBytes(),
        front::refusalsForRoom,
        this::summary);
    summaryAt = Clock.micros() + SUMMARY_INTERVAL_SECONDS * 1_000_000;
    changeLog = new ChangeLogFollower(
        config.changeLog(),
        config.seed(),
        plan.maxListLineBytes(),
        new ChangeLogFollower.Listener() {
          @Override
          public void runnerChanged(WorkerEntry entry, InetSocketAddress address, long at) {
            links.runnerReported(entry, address, listUpdateCount + 1, at);
          }

          @Override
          public void listChanged(WorkerListUpdate workers) {
            listUpdateCount++;
            initialList = listUpdateCount == 1 ? workers : initialList;
            core.workerListChanged(workers);
          }
        });
    boolean hasPeers = config.routerSettings().limits().peers()
        && config.peerListen() != null
        && config.peersAll() != null;
    peers = hasPeers
        ? Retry.whileTransient(
            LocalShortage::is,
            () -> new PeerLink(
                config.peerListen(),
                config.peers(),
                config.peersAll(),
                config.routerSettings().ordinal(),
                STACK_BYTES,
                core::peerMessage))
        : null;
    changeLog.start(config.knownSeq(), config.knownEvents(), STACK_BYTES);
    int warmUpCalls = WarmUp.run(
        config, initialList, watchdog, stallDetector, connectionThreads, WarmUp.MAX_MICROS);
    ThreadReclaimer threadReclaimer =
        new ThreadReclaimer(front::idleConnections, links::idleConnections);
    links.setThreadReclaimer(threadReclaimer);
    // The first look at the pools loads and makes classes, which takes the core's time once calls
    // come.
    LOG.info("{}: {}; {}", config.name(), plan.describe(), memoryLog.describe());
    Retry.whileTransient(LocalShortage::is, () -> {
      front.listen(
          config.listen(),
          STACK_BYTES,
          connectionThreads.share(plan.clientThreads()),
          threadReclaimer);
      return front;
    });
    LOG.info("{} is live after {} calls of warm-up; {}", config.name(), warmUpCalls, summary());
    scheduleCheck();
  }

  private void sendToPeers(String text) {
    if (peers != null) {
      peers.send(text);
    }
  }

  private void scheduleCheck() {
    long dueAt = Clock.micros() + CHECK_INTERVAL_MICROS;
    watchdog.after(CHECK_INTERVAL_MICROS, () -> {
      if (!closed) {
        long lag = Clock.micros() - dueAt;
        maxLagMicros = Math.max(maxLagMicros, lag);
        if (lag > REPORTED_STALL_MICROS) {
          LOG.warn(
              "{} stood still for {} ms, calls waited {} us for the core; {}",
              config.name(),
              lag / 1000,
              core.takeMaxWaitMicros(),
              summary());
        }
        logSummary();
        memoryLog.check(Clock.micros());
        writers.growIfBlocked();
        links.cleanUp();
        front.checkTimeouts();
        changeLog.warnIfSilent();
        scheduleCheck();
      }
    });
  }

  /** Logs a summary at the configured interval, with the longest stall since the last one. */
  private void logSummary() {
    if (SUMMARY_INTERVAL_SECONDS > 0 && Clock.micros() >= summaryAt) {
      summaryAt = Clock.micros() + SUMMARY_INTERVAL_SECONDS * 1_000_000;
      LOG.info(
          "{}; {}; longest wait for the core {} us, longest pause {} us; {}",
          config.name(),
          memoryLog.describe(),
          core.takeMaxWaitMicros(),
          maxLagMicros,
          summary());
      maxLagMicros = 0;
    }
  }

  /** The address to which clients connect. */
  public InetSocketAddress address() {
    return front.address();
  }

  /** Follows the change log at this address from now on, after a change of the configuration. */
  public void followChangeLogAt(InetSocketAddress address) {
    changeLog.moveTo(address);
  }

  /** The address at which the change log is followed. */
  public InetSocketAddress changeLogAddress() {
    return changeLog.address();
  }

  /** Whether the change log currently sends events. */
  public boolean isChangeLogHeard() {
    return changeLog.isReceiving();
  }

  /** Sets the source of the text about the configuration in {@link #summary}. */
  public void setConfigurationSummary(Supplier<String> summary) {
    configurationSummary = summary;
  }

  /** Whether no call is held and no attempt is in progress. */
  public boolean isIdle() {
    return front.heldCallCount() == 0 && links.callsInFlight() == 0;
  }

  /** Number of calls with an attempt in progress, including those that wait for a connection. */
  public int callsInFlight() {
    return links.callsInFlight();
  }

  /** The runners to which links exist. */
  public Set<String> runners() {
    return links.runners();
  }

  /** Number of open client connections. */
  public int connections() {
    return front.connections();
  }

  /** The state and the counts of all components, for the log. */
  public String summary() {
    return "front: " + front.summary() + "; links: " + links.summary() + "; change log: "
        + changeLog.summary() + "; configuration: " + configurationSummary.get() + "; pauses "
        + stallDetector.stalls() + "; vain starts of threads " + connectionThreads.failedStarts()
        + "; rules broken " + rules.counts();
  }

  /** How often each rule was broken, as far as this dispatcher can detect it; empty if none was. */
  public Map<Rule, Long> brokenRules() {
    return rules.counts();
  }

  /**
   * Stops gracefully. The dispatcher accepts requests until no new ones can arrive, accepts the connections that the
   * system has queued and closes the listener; then each connection is half-closed as soon as it has no open request.
   * Shortly before SIGKILL may come, all calls still held get their final answer. Returns when all connections have
   * ended, or soon after those answers: at once if no client waits for one any more.
   */
  public void stop() throws InterruptedException {
    long start = Clock.micros();
    long maxDeadline = config.routerSettings().classes().stream()
        .mapToLong(c -> c.deadline())
        .max()
        .orElse(0);
    long killAt = start + Math.min(maxDeadline, MAX_COUNTED_DEADLINE_MICROS) + KILL_GRACE_MICROS;
    long refuseAt = killAt - ANSWER_BEFORE_KILL_MICROS;
    sleepUntil(Math.min(start + ACCEPT_AFTER_STOP_MICROS, refuseAt));
    front.stopAccepting();
    StopSequence.Moments moments = new StopSequence.Moments(
        refuseAt, killAt - EXIT_BEFORE_KILL_MICROS, killAt - LATEST_EXIT_BEFORE_KILL_MICROS);
    GracefulStop.run(new StopSequence(moments), new HeldCalls());
    LOG.info("{}", memoryLog.describe());
    LOG.info("{} stops after {} ms; {}", config.name(), (Clock.micros() - start) / 1000, summary());
    close();
  }

  private final class HeldCalls implements GracefulStop.Stoppable {
    @Override
    public boolean drain() {
      return front.drain();
    }

    @Override
    public boolean owesAnswers() {
      return front.owesAnswers();
    }

    @Override
    public void refuseHeldCalls(long recordBy) {
      core.refuseAll();
    }
  }

  private static void sleepUntil(long time) throws InterruptedException {
    long remaining = time - Clock.micros();
    if (remaining > 0) {
      Thread.sleep(remaining / 1000, (int) (remaining % 1000) * 1000);
    }
  }

  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    path.close();
    if (peers != null) {
      peers.close();
    }
    changeLog.close();
    stallDetector.stop();
    watchdog.close();
    connectionThreads.close();
    LOG.debug("{} is closed", config.name());
  }
}
