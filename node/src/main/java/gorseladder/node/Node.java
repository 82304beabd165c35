package gorseladder.node;

import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.core.Core;
import gorseladder.core.RuleLog;
import gorseladder.core.StallDetector;
import gorseladder.core.ThreadReclaimer;
import gorseladder.node.changelog.ChangeLogFollower;
import gorseladder.node.front.FastCgiFront;
import gorseladder.node.peers.PeerLink;
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
  private static final int STACK = 128 << 10;
  /** Threads for connections, of clients and to runners, that stand ready from the start. */
  private static final int READY_THREADS = 16;

  private static final long CHECK_EVERY = 200_000;
  /** A pause of the process, in microseconds, that may have made answers late and is worth a line. */
  private static final long PAUSE = 150_000;
  /** After SIGTERM new connections and requests still come for 0.6 s at the most; a margin on top. */
  private static final long STOP_TAKING = 900_000;
  /**
   * The longest deadline counts as so much at the most when SIGKILL is timed, and comes no sooner than {@link #KILLED}.
   */
  private static final long LONGEST_COUNTED = 3_000_000;

  private static final long KILLED = 700_000;
  /** So long before SIGKILL what is still held gets its final answer. */
  private static final long ANSWER_BEFORE_KILL = 400_000;
  /**
   * So long before SIGKILL it ends where clients are owed nothing and only have not closed. Guards against an end of
   * the process that takes longer than usual, as on a busy machine.
   */
  private static final long LEAVE_BEFORE_KILL = 300_000;
  /** So long before SIGKILL it ends though clients are owed something: what is left is not answered in time. */
  private static final long LAST_BEFORE_KILL = 50_000;

  private static final long LOOK_AGAIN = 5_000;
  /** Seconds between two lines of what it holds; 0, as usual, for none. */
  private static final long SUMMARY_EVERY = Long.getLong("gorseladder.node.summary", 0);

  private final NodeConfig config;
  private final Watchdog watchdog;
  private final CallPath path;
  private final Writers writers;
  private final StallDetector pauses;
  private final ThreadCache connectionThreads;
  private final RuleLog rules = new RuleLog();
  private final RunnerLinks links;
  private final Core<NodeCall> core;
  private final ChangeLogFollower changeLog;
  private final FastCgiFront front;
  private final PeerLink peers;
  private long longestLag;
  private long summaryAt;
  private volatile boolean closed;
  private volatile Supplier<String> tellsMore = () -> "none";
  /** News of the list told to the core; the thread's that follows the change log. */
  private long newsTold;
  /** The list as it was known at the start. */
  private volatile WorkerListUpdate startList;

  /**
   * Starts a dispatcher; it is live when this returns.
   *
   * @throws IOException where an address cannot be listened on; the text says which
   */
  public Node(NodeConfig config) throws IOException {
    this.config = config;
    watchdog = new Watchdog("watchdog", STACK);
    pauses = new StallDetector(watchdog);
    connectionThreads = new ThreadCache("connection", READY_THREADS, STACK);
    path = new CallPath(config, watchdog, pauses, rules, connectionThreads, this::tellPeers);
    writers = path.writers();
    links = path.links();
    core = path.core();
    front = path.front();
    changeLog =
        new ChangeLogFollower(config.changeLog(), config.seed(), new ChangeLogFollower.Listener() {
          @Override
          public void runnerChanged(WorkerEntry entry, InetSocketAddress address, long at) {
            links.runnerReported(entry, address, newsTold + 1, at);
          }

          @Override
          public void listChanged(WorkerListUpdate workers) {
            newsTold++;
            startList = newsTold == 1 ? workers : startList;
            core.workerListChanged(workers);
          }
        });
    boolean mayTell = config.router().limits().peers()
        && config.peerListen() != null
        && config.peersAll() != null;
    peers = mayTell
        ? Retry.whileTransient(
            LocalShortage::is,
            () -> new PeerLink(
                config.peerListen(),
                config.peers(),
                config.peersAll(),
                config.router().ordinal(),
                STACK,
                core::peerMessage))
        : null;
    changeLog.start(config.knownSeq(), config.known(), STACK);
    int warmedUpBy =
        WarmUp.run(config, startList, watchdog, pauses, connectionThreads, WarmUp.MOST);
    ThreadReclaimer sharer = new ThreadReclaimer(front::idle, links::idleConnections);
    links.setThreadReclaimer(sharer);
    Retry.whileTransient(LocalShortage::is, () -> {
      front.listen(config.listen(), STACK, connectionThreads, sharer);
      return front;
    });
    LOG.info("{} is live after {} calls of warm-up; {}", config.name(), warmedUpBy, summary());
    checkLater();
  }

  private void tellPeers(String text) {
    if (peers != null) {
      peers.send(text);
    }
  }

  private void checkLater() {
    long due = Clock.micros() + CHECK_EVERY;
    watchdog.after(CHECK_EVERY, () -> {
      if (!closed) {
        long lag = Clock.micros() - due;
        longestLag = Math.max(longestLag, lag);
        if (lag > PAUSE) {
          LOG.warn(
              "{} stood still for {} ms, calls waited {} us for the core; {}",
              config.name(),
              lag / 1000,
              core.takeMaxWaitMicros(),
              summary());
        }
        logSummary();
        writers.growIfBlocked();
        links.cleanUp();
        front.check();
        changeLog.warnIfSilent();
        checkLater();
      }
    });
  }

  /** Where it was told to, says what it holds now and then, with its own pauses since the last time. */
  private void logSummary() {
    if (SUMMARY_EVERY > 0 && Clock.micros() >= summaryAt) {
      summaryAt = Clock.micros() + SUMMARY_EVERY * 1_000_000;
      LOG.info(
          "{}; longest wait for the core {} us, longest pause {} us; {}",
          config.name(),
          core.takeMaxWaitMicros(),
          longestLag,
          summary());
      longestLag = 0;
    }
  }

  /** Where clients connect. */
  public InetSocketAddress address() {
    return front.address();
  }

  /** The configuration was replaced: follows the change log where it is now. */
  public void changeLogAt(InetSocketAddress address) {
    changeLog.moveTo(address);
  }

  /** Where the change log is followed. */
  public InetSocketAddress changeLogAt() {
    return changeLog.address();
  }

  /** True while the change log tells something. */
  public boolean changeLogHeard() {
    return changeLog.isReceiving();
  }

  /** Has something more told in the line of {@link #summary}. */
  public void tellWith(Supplier<String> more) {
    tellsMore = more;
  }

  /** True where no call is held and no attempt is out. */
  public boolean idle() {
    return front.held() == 0 && links.callsInFlight() == 0;
  }

  /** Calls with an attempt out, also one that still waits for its connection. */
  public int callsOut() {
    return links.callsInFlight();
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
        + changeLog.summary() + "; configuration: " + tellsMore.get() + "; pauses "
        + pauses.stalls() + "; vain starts of threads " + connectionThreads.failedStarts()
        + "; rules broken " + rules.counts();
  }

  /** How often a rule was broken as far as this dispatcher can see; empty where none was. */
  public Map<Rule, Long> rulesBroken() {
    return rules.counts();
  }

  /**
   * Stops in order. It goes on taking until no new calls can come, accepts what the system holds and closes the
   * listener; then each connection is half-closed as soon as nothing is asked on it. What is still held a moment before
   * SIGKILL may come gets its final answer there and then. Returns when all connections have ended, or soon after that
   * moment: at once where nothing is owed any more.
   */
  public void stop() throws InterruptedException {
    long begun = Clock.micros();
    long longest =
        config.router().classes().stream().mapToLong(c -> c.deadline()).max().orElse(0);
    long kill = begun + Math.min(longest, LONGEST_COUNTED) + KILLED;
    long givesUp = kill - ANSWER_BEFORE_KILL;
    sleepUntil(Math.min(begun + STOP_TAKING, givesUp));
    front.stopAccepting();
    boolean givenUp = false;
    while (!front.drain()) {
      // Looked at first: after a pause of the process it may be later than any of the bounds, and
      // what is held is still to be answered.
      if (!givenUp && Clock.micros() >= givesUp) {
        givenUp = true;
        core.refuseAll();
      } else if (Clock.micros() >= kill - (front.owes() ? LAST_BEFORE_KILL : LEAVE_BEFORE_KILL)) {
        break;
      }
      sleepUntil(Clock.micros() + LOOK_AGAIN);
    }
    LOG.info("{} stops after {} ms; {}", config.name(), (Clock.micros() - begun) / 1000, summary());
    close();
  }

  private static void sleepUntil(long at) throws InterruptedException {
    long left = at - Clock.micros();
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
    pauses.stop();
    watchdog.close();
    connectionThreads.close();
    LOG.debug("{} is closed", config.name());
  }
}
