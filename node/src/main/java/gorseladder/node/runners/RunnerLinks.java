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
 * Carries attempts and load orders to the runners: one link a runner, several connections a link. What an end is worth
 * is judged by {@link gorseladder.attempts.AttemptOutcomes}, which connection may carry a call by
 * {@link gorseladder.attempts.ConnectionChoice}, and whether bytes may still leave by {@link SendGate}.
 *
 * <p>Any thread; nothing here blocks.
 */
public final class RunnerLinks implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(RunnerLinks.class);
  /** A write that stands still for so long ends its connection. */
  private static final long STUCK = 1_000_000;

  /** Who hears the ends: exactly one for each attempt and each order. */
  public interface Listener {
    void attemptEnded(AttemptEnd<NodeCall> end);

    void loadEnded(Loaded loaded);
  }

  private final SendGate gate;
  private final Watchdog watchdog;
  private final LinkSettings settings;
  private final NodeConfig.Links told;
  private final Limits limits;
  /**
   * Links to runners that the list has. Changed with the gate's lock, so that a link and its gate are told together.
   */
  private final Map<String, Link> links = new ConcurrentHashMap<>();
  /** Links to runners that have gone, or have another address now, until nothing is out on them. */
  private final Set<Link> leaving = ConcurrentHashMap.newKeySet();

  /** True where a runner was told of since the last look, or one is leaving; the gate's lock. */
  private boolean mayForget;

  private final Map<NodeCall, Map<Integer, AttemptRequest>> out = new ConcurrentHashMap<>();
  private final StallDetector pauses;
  private final RuleLog rules;
  private final Counts heldBack = new Counts();
  private final AtomicLong tags = new AtomicLong();
  private final Counts closes = new Counts();
  private final AtomicLong waits = new AtomicLong();
  private volatile Listener listener;
  private volatile ThreadReclaimer threadReclaimer = new ThreadReclaimer();
  private volatile ByteBudget answerBudget = new ByteBudget(Long.MAX_VALUE);
  private volatile BooleanSupplier makeRoom = this::closeLargestAnswer;
  private volatile ChannelSource channels = SocketChannel::open;

  /**
   * Links by what the platform told.
   *
   * @param descriptors descriptors that all links together may hold
   * @param mostAnswer bytes of an answer's body at the most
   * @param threads each connection has one
   */
  public RunnerLinks(
      NodeConfig.Links told,
      Limits limits,
      SendGate gate,
      StallDetector pauses,
      RuleLog rules,
      Watchdog watchdog,
      Executor writers,
      int descriptors,
      int mostAnswer,
      ThreadCache threads) {
    this.told = told;
    this.limits = limits;
    this.gate = gate;
    this.pauses = pauses;
    this.rules = rules;
    this.watchdog = watchdog;
    this.settings = new LinkSettings(
        told.connect(),
        ConnectionChoice.localIdleLimit(told.idle()),
        told.multiplex(),
        mostAnswer,
        new Semaphore(descriptors),
        () -> channels.open(),
        threads,
        writers,
        this::closed,
        () -> new AnswerBytes(answerBudget, makeRoom),
        LOG::warn);
  }

  /** Names who hears the ends; once, before anything is sent. */
  public void setListener(Listener to) {
    listener = to;
  }

  /** Names what connections are opened on; before anything is sent. */
  public void setChannelSource(ChannelSource source) {
    channels = source;
  }

  /** Names who ends an idle connection, so that its thread is free for a new one to a runner. */
  public void setThreadReclaimer(ThreadReclaimer to) {
    threadReclaimer = to;
  }

  /**
   * Bounds the bytes of unfinished answers that runners have this process keep.
   *
   * @param budget shared with whoever keeps bytes for clients
   * @param makesRoom asked past the bound; false where it could make no room
   */
  public void limitAnswerMemory(ByteBudget budget, BooleanSupplier makesRoom) {
    answerBudget = budget;
    makeRoom = makesRoom;
  }

  /**
   * Ends the connection that has most bytes of unfinished answers kept; false where none has any.
   *
   * <p>It could harm an answer that is large and whole soon: what was out on its connection may have run.
   */
  public boolean closeLargestAnswer() {
    LinkConnection largest =
        LinkConnection.keepsMost(Stream.concat(links.values().stream(), leaving.stream())
            .map(Link::keepsMost)
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

  /** True where two attempts of a call may be out at a time. */
  boolean mayDuplicate() {
    return limits.duplicates();
  }

  /** From when on it is known what clients did before the last pause of this process. */
  long clientsSeenFrom(long now) {
    return pauses.clientsKnownSince(now);
  }

  /** Counts what was held back at the last look. */
  void heldBack(Verdict verdict) {
    heldBack.count(verdict.word());
  }

  /** Runs a short task after so many microseconds. */
  void after(long micros, Runnable task) {
    watchdog.after(micros, task);
  }

  boolean tellsNote() {
    return told.tellsNote();
  }

  boolean tellsCrowd() {
    return told.tellsCrowd();
  }

  /**
   * News of a runner.
   *
   * @param news the number of the list's news that it comes with, from 1
   * @param at when its bytes reached this process
   */
  public void runnerReported(WorkerEntry entry, InetSocketAddress address, long news, long at) {
    String uid = entry.worker();
    Phase phase = entry.phase();
    Link before;
    synchronized (gate) {
      gate.phaseReported(uid, phase, at);
      mayForget = true;
      if (phase != Phase.GONE) {
        gate.startReported(uid, entry.startedAt(), news, at);
      }
      before = links.get(uid);
      if (phase != Phase.GONE && before != null && before.address().equals(address)) {
        return;
      }
      if (before != null) {
        leaving.add(before);
      }
      // A runner that comes back, here or at another address, gets a link of its own: what has
      // gone takes nothing new.
      if (phase == Phase.GONE) {
        links.remove(uid);
      } else {
        links.put(uid, new Link(uid, address, settings));
      }
    }
    if (before != null) {
      before.goes();
    }
  }

  /** A call was taken; it earns its share of the load ration. */
  public void callAccepted(long at) {
    synchronized (gate) {
      gate.callAccepted(at);
    }
  }

  /** Starts an attempt; a timeout of 0 lasts until the client gives up. */
  public void send(NodeCall call, int number, String worker, long timeout) {
    long deadline = call.facts().deadlineAt();
    long now = Clock.micros();
    long until = timeout > 0 ? Math.min(deadline, now + timeout) : deadline;
    AttemptRequest attempt = new AttemptRequest(this, call, number, worker, until);
    out.computeIfAbsent(call, c -> new ConcurrentHashMap<>()).put(number, attempt);
    start(attempt, until - now);
  }

  private void start(RunnerRequest request, long time) {
    request.guard(
        watchdog.after(Math.max(0, time), () -> request.giveUp(Ending.TIMED_OUT)),
        Clock.micros() + time);
    carryOrWait(request);
  }

  /** Hands a request to a connection of its runner; where this machine lacks something for one the request waits. */
  void carryOrWait(RunnerRequest request) {
    if (!request.over() && !carry(request)) {
      waitToBeCarried(request, whyNotCarried(request.worker()));
    }
  }

  /** Where the list has the runner it is this machine that lacks something for a connection. */
  private Ending whyNotCarried(String worker) {
    return links.containsKey(worker) ? Ending.NO_RESOURCE : Ending.CONNECT_FAILED;
  }

  /**
   * Looks again a moment later, for as long as {@link ConnectionWait} says, and then gives the request up. At each
   * later look in vain an idle connection is ended for the thread that it holds.
   */
  void waitToBeCarried(RunnerRequest request, Ending why) {
    long now = Clock.micros();
    long waited = now - request.began();
    long look =
        why == Ending.NO_RESOURCE ? ConnectionWait.retryDelay(waited, request.left(now)) : -1;
    if (look < 0) {
      request.giveUp(why);
      return;
    }
    waits.incrementAndGet();
    after(look, () -> {
      if (!request.over() && !carry(request)) {
        threadReclaimer.reclaim(waited);
        waitToBeCarried(request, whyNotCarried(request.worker()));
      }
    });
  }

  /** Hands a request to a connection of its runner; false where none can be had. */
  boolean carry(RunnerRequest request) {
    Link link = links.get(request.worker());
    return link != null && (link.carry(request) || makeRoom() && link.carry(request));
  }

  /**
   * Where no descriptor is left, closes the connection that was idle longest: one that carries nothing is worth least.
   * False where there is no need or nothing to close.
   */
  private boolean makeRoom() {
    long now = Clock.micros();
    return settings.descriptors().availablePermits() == 0
        && links.values().stream()
            .map(Link::idlest)
            .filter(Objects::nonNull)
            .max((a, b) -> Long.compare(a.idle(now), b.idle(now)))
            .map(LinkConnection::closeIfFree)
            .orElse(false);
  }

  /** Connections on which nothing is out. */
  public List<IdleConnection> idleConnections(long now) {
    return links.values().stream()
        .flatMap(link -> link.idleConnections(now).stream())
        .toList();
  }

  /** Stops an attempt; its end still comes. */
  public void cancel(NodeCall call, int number) {
    AttemptRequest attempt = out.getOrDefault(call, Map.of()).get(number);
    if (attempt != null) {
      attempt.giveUp(Ending.CANCELLED);
    }
  }

  /**
   * Orders copies held; the end comes by {@link Listener#loadEnded}.
   *
   * @param news how many news of the list were known when it was decided
   */
  public void load(String worker, String function, int copies, long news) {
    start(
        new LoadOrder(this, "l" + tags.incrementAndGet(), worker, function, copies, news),
        limits.orderTimeout());
  }

  void ended(AttemptRequest attempt, AttemptEnd<NodeCall> end) {
    out.computeIfPresent(attempt.call(), (c, all) -> {
      all.remove(attempt.number());
      return all.isEmpty() ? null : all;
    });
    listener.attemptEnded(end);
  }

  void loaded(Loaded loaded) {
    listener.loadEnded(loaded);
  }

  private void closed(boolean everOpen, String why) {
    closes.count(everOpen ? why : "never came up");
  }

  /** Drops what belongs to runners that are gone and connections idle or stuck too long; called now and then. */
  public void cleanUp() {
    long now = Clock.micros();
    links.values().forEach(link -> link.check(now, STUCK));
    leaving.forEach(link -> link.check(now, STUCK));
    synchronized (gate) {
      if (!mayForget) {
        return;
      }
      leaving.removeIf(Link::finished);
      mayForget = !leaving.isEmpty();
      Set<String> last = leaving.stream().map(Link::uid).collect(Collectors.toSet());
      gate.retainWorkers(uid -> links.containsKey(uid) || last.contains(uid));
    }
  }

  /** Connections, attempts out, and how connections ended, for the log. */
  public String summary() {
    int standing = links.values().stream().mapToInt(Link::standing).sum();
    synchronized (gate) {
      return links.size() + " runners, " + standing + " connections, " + out.size()
          + " calls out, ended " + closes + ", stopped at the last look " + gate.refusedCalls()
          + " calls " + gate.refusedOrders() + " orders, held back " + heldBack
          + ", looked again for a connection " + waits;
    }
  }

  /** Runners that the list has, for tests. */
  public Set<String> runners() {
    return Set.copyOf(links.keySet());
  }

  /** Calls with an attempt out. */
  public int callsInFlight() {
    return out.size();
  }

  @Override
  public void close() {
    links.values().forEach(Link::close);
    leaving.forEach(Link::close);
  }
}
