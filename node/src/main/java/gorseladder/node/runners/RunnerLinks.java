package gorseladder.node.runners;

import gorseladder.RouterApi.Limits;
import gorseladder.RouterApi.Loaded;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.attempts.AttemptOutcomes.Ending;
import gorseladder.attempts.ConnectionChoice;
import gorseladder.core.Core.AttemptEnd;
import gorseladder.core.RuleLog;
import gorseladder.core.StallDetector;
import gorseladder.core.ThreadReclaimer;
import gorseladder.core.ThreadReclaimer.IdleConnection;
import gorseladder.gate.SendGate;
import gorseladder.node.NodeCall;
import gorseladder.node.NodeConfig;
import gorseladder.permits.Verdict;
import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Counts;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.Watchdog;
import gorseladder.threads.ConnectionWait;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends attempts and load orders to the runners: one link for each runner, with several connections. {@link
 * gorseladder.attempts.AttemptOutcomes} decides the outcome of an ending, {@link gorseladder.attempts.ConnectionChoice}
 * which connection carries a call, and {@link SendGate} whether bytes may still be sent.
 *
 * <p>Thread safe; no method blocks.
 */
public final class RunnerLinks implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(RunnerLinks.class);
  /** A connection is closed if one write takes longer; the runner does not read then. */
  private static final long MAX_WRITE_MICROS = 1_000_000;

  /** Receives exactly one end for each attempt and each load order. */
  public interface Listener {
    void attemptEnded(AttemptEnd<NodeCall> end);

    void loadEnded(Loaded loaded);
  }

  private final SendGate gate;
  private final Watchdog watchdog;
  private final LinkSettings settings;
  private final NodeConfig.Links config;
  private final Limits limits;
  /** Links to the runners on the list. Changed under the gate's lock, so that a link and the gate change together. */
  private final Map<String, Link> links = new ConcurrentHashMap<>();
  /** Links to runners that are gone or have a new address, until their last connection is closed. */
  private final Set<Link> retiredLinks = ConcurrentHashMap.newKeySet();

  /** Whether a runner was reported since the last clean-up, or a link is still retiring. Guarded by the gate's lock. */
  private boolean cleanUpPending;

  private final Map<NodeCall, Map<Integer, AttemptRequest>> inFlight = new ConcurrentHashMap<>();
  private final StallDetector stallDetector;
  private final RuleLog rules;
  private final Counts denied = new Counts();
  private final AtomicLong lastOrderNumber = new AtomicLong();
  private final Counts closeReasons = new Counts();
  private final AtomicLong connectionRetries = new AtomicLong();
  private volatile Listener listener;
  private volatile ThreadReclaimer threadReclaimer = new ThreadReclaimer();
  private volatile ByteBudget answerBudget = new ByteBudget(Long.MAX_VALUE);
  private volatile BooleanSupplier freeAnswerMemory = this::closeLargestAnswer;
  private volatile ChannelSource channels = SocketChannel::open;

  /**
   * Creates links without runners.
   *
   * @param config settings of the platform
   * @param descriptors maximum number of descriptors for all links together
   * @param maxAnswerBytes maximum size of the body of an answer
   * @param threads each connection occupies one
   */
  public RunnerLinks(
      NodeConfig.Links config,
      Limits limits,
      SendGate gate,
      StallDetector stallDetector,
      RuleLog rules,
      Watchdog watchdog,
      Executor writers,
      int descriptors,
      int maxAnswerBytes,
      ThreadCache threads) {
    this.config = config;
    this.limits = limits;
    this.gate = gate;
    this.stallDetector = stallDetector;
    this.rules = rules;
    this.watchdog = watchdog;
    this.settings = new LinkSettings(
        config.connectTimeout(),
        ConnectionChoice.localIdleLimit(config.idleTimeout()),
        config.maxCallsPerConnection(),
        maxAnswerBytes,
        new Semaphore(descriptors),
        () -> channels.open(),
        threads,
        writers,
        this::countClose,
        () -> new AnswerMemory(answerBudget, freeAnswerMemory),
        LOG::warn);
  }

  /** Sets the receiver of ends; once, before anything is sent. */
  public void setListener(Listener listener) {
    this.listener = listener;
  }

  /** Sets what opens the channels of connections; before anything is sent. */
  public void setChannelSource(ChannelSource source) {
    channels = source;
  }

  /** Sets what closes an idle connection, so that its thread is free for a new one to a runner. */
  public void setThreadReclaimer(ThreadReclaimer threadReclaimer) {
    this.threadReclaimer = threadReclaimer;
  }

  /**
   * Limits the memory for unfinished answers of runners.
   *
   * @param budget shared with the bytes kept for clients
   * @param freeMemory called when the budget is exhausted; returns false if nothing could be freed
   */
  public void limitAnswerMemory(ByteBudget budget, BooleanSupplier freeMemory) {
    answerBudget = budget;
    freeAnswerMemory = freeMemory;
  }

  /**
   * Closes the connection whose unfinished answers take most memory; returns false if there are none.
   *
   * <p>The drawback: it may hit a large answer that is nearly complete, and the requests on its connection may have
   * run.
   */
  public boolean closeLargestAnswer() {
    LinkConnection largest = LinkConnection.withMostAnswerBytes(
        Stream.concat(links.values().stream(), retiredLinks.stream())
            .map(Link::withMostAnswerBytes)
            .filter(Objects::nonNull));
    if (largest == null || largest.answerBytes() == 0) {
      return false;
    }
    largest.close(Ending.BROKEN, "no room for its answer");
    return true;
  }

  SendGate gate() {
    return gate;
  }

  RuleLog rules() {
    return rules;
  }

  /** Whether two attempts of a call may be sent at the same time. */
  boolean mayDuplicate() {
    return limits.duplicates();
  }

  /** The time from which on it is known what clients did; before it this process was stalled. */
  long clientsKnownSince(long now) {
    return stallDetector.clientsKnownSince(now);
  }

  /** Counts a request that the check just before sending denied. */
  void countDenied(Verdict verdict) {
    denied.count(verdict.word());
  }

  /** Runs a short task after a delay in microseconds. */
  void after(long micros, Runnable task) {
    watchdog.after(micros, task);
  }

  boolean reportsCopyStatus() {
    return config.reportsCopyStatus();
  }

  boolean reportsConcurrency() {
    return config.reportsConcurrency();
  }

  /**
   * Applies what the list says of a runner.
   *
   * @param listUpdate number of the list update that contains it, from 1
   * @param at when the bytes of the update arrived in this process
   */
  public void runnerReported(
      WorkerEntry entry, InetSocketAddress address, long listUpdate, long at) {
    String uid = entry.worker();
    Phase phase = entry.phase();
    Link before;
    synchronized (gate) {
      gate.phaseReported(uid, phase, at);
      cleanUpPending = true;
      if (phase != Phase.GONE) {
        gate.startReported(uid, entry.startedAt(), listUpdate, at);
      }
      before = links.get(uid);
      if (phase != Phase.GONE && before != null && before.address().equals(address)) {
        return;
      }
      if (before != null) {
        retiredLinks.add(before);
      }
      // A runner that comes back, at any address, gets a new link: a retired one accepts no
      // requests.
      if (phase == Phase.GONE) {
        links.remove(uid);
      } else {
        links.put(uid, new Link(uid, address, settings));
      }
    }
    if (before != null) {
      before.retire();
    }
  }

  /** Records an accepted call, which adds its share to the load ration. */
  public void callAccepted(long at) {
    synchronized (gate) {
      gate.callAccepted(at);
    }
  }

  /** Starts an attempt; with a timeout of 0 it lasts until the deadline of the call. */
  public void send(NodeCall call, int number, String worker, long timeout) {
    long deadline = call.facts().deadlineAt();
    long now = Clock.micros();
    long expiresAt = timeout > 0 ? Math.min(deadline, now + timeout) : deadline;
    AttemptRequest attempt = new AttemptRequest(this, call, number, worker, expiresAt);
    inFlight.computeIfAbsent(call, c -> new ConcurrentHashMap<>()).put(number, attempt);
    start(attempt, expiresAt - now);
  }

  private void start(RunnerRequest request, long timeout) {
    request.setDeadline(
        watchdog.after(Math.max(0, timeout), () -> request.giveUp(Ending.TIMED_OUT)),
        Clock.micros() + timeout);
    submitOrRetry(request);
  }

  /** Hands a request to a connection of its runner; if this machine lacks a resource for one, the request waits. */
  void submitOrRetry(RunnerRequest request) {
    if (!request.isEnded() && !submit(request)) {
      retryLater(request, noConnectionEnding(request.worker()));
    }
  }

  /** The ending of a request without a connection: if the list has its runner, a local resource is missing. */
  private Ending noConnectionEnding(String worker) {
    return links.containsKey(worker) ? Ending.NO_RESOURCE : Ending.CONNECT_FAILED;
  }

  /**
   * Tries again after the delay that {@link ConnectionWait} allows; otherwise gives the request up. Each further try
   * without success closes an idle connection for the thread that it occupies.
   */
  void retryLater(RunnerRequest request, Ending ending) {
    long now = Clock.micros();
    long waited = now - request.createdAt();
    long delay = ending == Ending.NO_RESOURCE
        ? ConnectionWait.retryDelay(waited, request.remaining(now))
        : -1;
    if (delay < 0) {
      request.giveUp(ending);
      return;
    }
    connectionRetries.incrementAndGet();
    after(delay, () -> {
      if (!request.isEnded() && !submit(request)) {
        threadReclaimer.reclaim(waited);
        retryLater(request, noConnectionEnding(request.worker()));
      }
    });
  }

  /** Hands a request to a connection of its runner; returns false if none is available. */
  boolean submit(RunnerRequest request) {
    Link link = links.get(request.worker());
    return link != null && (link.submit(request) || freeDescriptor() && link.submit(request));
  }

  /**
   * If no descriptor is left, closes the connection that has been idle for longest, which is worth least. Returns false
   * if descriptors are left or no connection is idle.
   */
  private boolean freeDescriptor() {
    long now = Clock.micros();
    return settings.descriptors().availablePermits() == 0
        && links.values().stream()
            .map(Link::longestIdle)
            .filter(Objects::nonNull)
            .max((a, b) -> Long.compare(a.idle(now), b.idle(now)))
            .map(LinkConnection::closeIfIdle)
            .orElse(false);
  }

  /** Open connections without requests in flight. */
  public List<IdleConnection> idleConnections(long now) {
    return links.values().stream()
        .flatMap(link -> link.idleConnections(now).stream())
        .toList();
  }

  /** Cancels an attempt; its end is still reported. */
  public void cancel(NodeCall call, int number) {
    AttemptRequest attempt = inFlight.getOrDefault(call, Map.of()).get(number);
    if (attempt != null) {
      attempt.giveUp(Ending.CANCELLED);
    }
  }

  /**
   * Orders a runner to hold copies of a function; the end is reported by {@link Listener#loadEnded}.
   *
   * @param listUpdates number of list updates known when the order was decided
   */
  public void load(String worker, String function, int copies, long listUpdates) {
    start(
        new LoadOrder(
            this, "l" + lastOrderNumber.incrementAndGet(), worker, function, copies, listUpdates),
        limits.orderTimeout());
  }

  void attemptEnded(AttemptRequest attempt, AttemptEnd<NodeCall> end) {
    inFlight.computeIfPresent(attempt.call(), (c, attempts) -> {
      attempts.remove(attempt.number());
      return attempts.isEmpty() ? null : attempts;
    });
    listener.attemptEnded(end);
  }

  void loadEnded(Loaded loaded) {
    listener.loadEnded(loaded);
  }

  private void countClose(boolean everOpen, String why) {
    closeReasons.count(everOpen ? why : "never came up");
  }

  /** Closes connections that are idle or stuck for too long, and forgets runners that are gone; called periodically. */
  public void cleanUp() {
    long now = Clock.micros();
    links.values().forEach(link -> link.closeIdleOrStuck(now, MAX_WRITE_MICROS));
    retiredLinks.forEach(link -> link.closeIdleOrStuck(now, MAX_WRITE_MICROS));
    synchronized (gate) {
      if (!cleanUpPending) {
        return;
      }
      retiredLinks.removeIf(Link::isFinished);
      cleanUpPending = !retiredLinks.isEmpty();
      Set<String> retiring = retiredLinks.stream().map(Link::uid).collect(Collectors.toSet());
      gate.retainWorkers(uid -> links.containsKey(uid) || retiring.contains(uid));
    }
  }

  /** Runners, connections, calls in flight, and why connections were closed, for the log. */
  public String summary() {
    int connections = links.values().stream().mapToInt(Link::connectionCount).sum();
    synchronized (gate) {
      return links.size() + " runners, " + connections + " connections, " + inFlight.size()
          + " calls out, ended " + closeReasons + ", stopped at the last look "
          + gate.refusedCalls()
          + " calls " + gate.refusedOrders() + " orders, held back " + denied
          + ", looked again for a connection " + connectionRetries;
    }
  }

  /** Ids of the runners on the list, for tests. */
  public Set<String> runners() {
    return Set.copyOf(links.keySet());
  }

  /** Number of calls with an attempt in flight. */
  public int callsInFlight() {
    return inFlight.size();
  }

  @Override
  public void close() {
    links.values().forEach(Link::close);
    retiredLinks.forEach(Link::close);
  }
}
