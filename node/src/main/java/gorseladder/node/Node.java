package gorseladder.node;

import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.core.Core;
import gorseladder.core.RuleLog;
import gorseladder.core.StallDetector;
import gorseladder.core.ThreadReclaimer;
import gorseladder.node.changelog.ChangeLogFollower;
import gorseladder.node.front.FastCgiFront;
import gorseladder.node.peers.TierLink;
import gorseladder.node.runners.RunnerLinks;
import gorseladder.rules.Rule;
import gorseladder.runtime.Clock;
import gorseladder.runtime.LocalShortage;
import gorseladder.runtime.Retry;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.Watchdog;
import gorseladder.runtime.Writers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One dispatcher of the platform: front, core, runner links, change log and peers, put together and taken apart. */
public final class Node implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Node.class);
  private static final int STACK_BYTES = 128 << 10;
  /** Threads for connections, of clients and to runners, that stand ready from the start. */
  private static final int MIN_IDLE_THREADS = 16;

  private static final long CHECK_INTERVAL_MICROS = 200_000;
  /** A pause of the process, in microseconds, that may have made answers late and is worth a line. */
  private static final long REPORTED_STALL_MICROS = 150_000;
  /** After SIGTERM new connections and requests still come for 0.6 s at the most; a margin on top. */
  private static final long ACCEPT_AFTER_STOP_MICROS = 900_000;
  /**
   * The longest deadline counts as so much at the most when SIGKILL is timed, and comes no sooner than {@link #KILLED}.
   */
  private static final long MAX_COUNTED_DEADLINE_MICROS = 3_000_000;

  private static final long KILL_GRACE_MICROS = 700_000;
  /** So long before SIGKILL what is still held gets its final answer. */
  private static final long ANSWER_BEFORE_KILL_MICROS = 400_000;
  /**
   * So long before SIGKILL it ends where clients are owed nothing and only have not closed. Guards against an end of
   * the process that takes longer than usual, as on a busy machine.
   */
  private static final long EXIT_BEFORE_KILL_MICROS = 300_000;
  /** So long before SIGKILL it ends though clients are owed something: what is left is not answered in time. */
  private static final long LATEST_EXIT_BEFORE_KILL_MICROS = 50_000;

  private static final long DRAIN_POLL_MICROS = 5_000;
  /** Seconds between two lines of what it holds; 0, as usual, for none. */
  private static final long SUMMARY_INTERVAL_SECONDS = Long.getLong("gorseladder.node.summary", 0);

  private final NodeConfig config;
  private final Watchdog watchdog;
  private final CallPath path;
  private final Writers writers;
  private final StallDetector stallDetector;
  private final ThreadCache connectionThreads;
  private final RuleLog rules = new RuleLog();
  private final RunnerLinks links;
  private final Core<NodeCall> core;
  private final ChangeLogFollower changeLog;
  private final FastCgiFront front;
  private final TierLink peers;
  private long maxLagMicros;
  private long summaryAt;
  private volatile boolean closed;
  private volatile Supplier<String> configurationSummary = () -> "none";
  /** News of the list told to the core; the thread's that follows the change log. */
  private long listUpdateCount;
  /** The list as it was known at the start. */
  private volatile WorkerListUpdate initialList;

  /**
   * Starts a dispatcher; it is live when this returns.
   *
   * @throws IOException where an address cannot be listened on; the text says which
   */
  public Node(NodeConfig config) throws IOException {
    this.config = config;
    watchdog = new Watchdog("watchdog", STACK_BYTES);
    stallDetector = new StallDetector(watchdog);
    connectionThreads = new ThreadCache("connection", MIN_IDLE_THREADS, STACK_BYTES);
    path =
        new CallPath(config, watchdog, stallDetector, rules, connectionThreads, this::sendToPeers);
    writers = path.writers();
    links = path.links();
    core = path.core();
    front = path.front();
    changeLog =
        new ChangeLogFollower(config.changeLog(), config.seed(), new ChangeLogFollower.Hearer() {
          @Override
          public void runner(WorkerEntry entry, InetSocketAddress address, long at) {
            links.told(entry, address, listUpdateCount + 1, at);
          }

          @Override
          public void list(WorkerListUpdate workers) {
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
            () -> new TierLink(
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
    ThreadReclaimer threadReclaimer = new ThreadReclaimer(front::idleConnections, links::idle);
    links.shareThreadsBy(threadReclaimer);
    Retry.whileTransient(LocalShortage::is, () -> {
      front.listen(config.listen(), STACK_BYTES, connectionThreads, threadReclaimer);
      return front;
    });
    LOG.info("{} is live after {} calls of warm-up; {}", config.name(), warmUpCalls, summary());
    scheduleCheck();
  }

  private void sendToPeers(String text) {
    if (peers != null) {
      peers.tell(text);
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
        writers.growIfBlocked();
        links.check();
        front.checkTimeouts();
        changeLog.noteSilence();
        scheduleCheck();
      }
    });
  }

  /** Where it was told to, says what it holds now and then, with its own pauses since the last time. */
  private void logSummary() {
    if (SUMMARY_INTERVAL_SECONDS > 0 && Clock.micros() >= summaryAt) {
      summaryAt = Clock.micros() + SUMMARY_INTERVAL_SECONDS * 1_000_000;
      LOG.info(
          "{}; longest wait for the core {} us, longest pause {} us; {}",
          config.name(),
          core.takeMaxWaitMicros(),
          maxLagMicros,
          summary());
      maxLagMicros = 0;
    }
  }

  /** Where clients connect. */
  public InetSocketAddress address() {
    return front.address();
  }

  /** The configuration was replaced: follows the change log where it is now. */
  public void followChangeLogAt(InetSocketAddress address) {
    changeLog.moveTo(address);
  }

  /** Where the change log is followed. */
  public InetSocketAddress changeLogAddress() {
    return changeLog.address();
  }

  /** True while the change log tells something. */
  public boolean isChangeLogHeard() {
    return changeLog.isHeard();
  }

  /** Has something more told in the line of {@link #summary}. */
  public void setConfigurationSummary(Supplier<String> summary) {
    configurationSummary = summary;
  }

  /** True where no call is held and no attempt is out. */
  public boolean isIdle() {
    return front.heldCallCount() == 0 && links.callsOut() == 0;
  }

  /** Calls with an attempt out, also one that still waits for its connection. */
  public int callsInFlight() {
    return links.callsOut();
  }

  /** Runners that links are kept to. */
  public Set<String> runners() {
    return links.runners();
  }

  /** Clients' connections that are open. */
  public int connections() {
    return front.connections();
  }

  /** What it holds, believes and counted, for the log. */
  public String summary() {
    return "front: " + front.summary() + "; links: " + links.summary() + "; change log: "
        + changeLog.summary() + "; configuration: " + configurationSummary.get() + "; pauses "
        + stallDetector.stalls() + "; vain starts of threads " + connectionThreads.failedStarts()
        + "; rules broken " + rules.counts();
  }

  /** How often a rule was broken as far as this dispatcher can see; empty where none was. */
  public Map<Rule, Long> brokenRules() {
    return rules.counts();
  }

  /**
   * Stops in order. It goes on taking until no new calls can come, accepts what the system holds and closes the
   * listener; then each connection is half-closed as soon as nothing is asked on it. What is still held a moment before
   * SIGKILL may come gets its final answer there and then. Returns when all connections have ended, or soon after that
   * moment: at once where nothing is owed any more.
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
    boolean refused = false;
    while (!front.drain()) {
      // Looked at first: after a pause of the process it may be later than any of the bounds, and
      // what is held is still to be answered.
      if (!refused && Clock.micros() >= refuseAt) {
        refused = true;
        core.refuseAll();
      } else if (Clock.micros()
          >= killAt
              - (front.owesAnswers() ? LATEST_EXIT_BEFORE_KILL_MICROS : EXIT_BEFORE_KILL_MICROS)) {
        break;
      }
      sleepUntil(Clock.micros() + DRAIN_POLL_MICROS);
    }
    LOG.info("{} stops after {} ms; {}", config.name(), (Clock.micros() - start) / 1000, summary());
    close();
  }

  private static void sleepUntil(long time) throws InterruptedException {
    long left = time - Clock.micros();
    if (left > 0) {
      Thread.sleep(left / 1000, (int) (left % 1000) * 1000);
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
