package gorseladder.node.runners;

import gorseladder.RouterApi.Limits;
import gorseladder.RouterApi.Loaded;
import gorseladder.RouterApi.Phase;
import gorseladder.attempts.AttemptFate.Ending;
import gorseladder.attempts.ConnectionChoice;
import gorseladder.core.Core.AttemptEnd;
import gorseladder.gate.SendGate;
import gorseladder.node.NodeCall;
import gorseladder.node.NodeConfig;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Counts;
import gorseladder.runtime.Threads;
import gorseladder.runtime.Watchdog;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries attempts and load orders to the runners: one link a runner, several connections a link. What an end is worth is
 * judged by {@link gorseladder.attempts.AttemptFate}, which connection may carry a call by
 * {@link gorseladder.attempts.ConnectionChoice}, and whether bytes may still leave by {@link SendGate}.
 *
 * <p>Any thread; nothing here blocks.
 */
public final class RunnerLinks implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(RunnerLinks.class);
  /** A write that stands still for so long ends its connection. */
  private static final long STUCK = 1_000_000;

  /** Who hears the ends: exactly one for each attempt and each order. */
  public interface Hearer {
    void attemptEnded(AttemptEnd<NodeCall> end);

    void loadEnded(Loaded loaded);
  }

  private final SendGate gate;
  private final Watchdog watchdog;
  private final LinkSettings settings;
  private final NodeConfig.Links told;
  private final Limits limits;
  /** Links to runners that the list has. Changed with the gate's lock, so that a link and its gate are told together. */
  private final Map<String, Link> links = new ConcurrentHashMap<>();
  /** Links to runners that have gone, or have another address now, until nothing is out on them. */
  private final Set<Link> leaving = ConcurrentHashMap.newKeySet();

  private final Map<NodeCall, Map<Integer, Trip>> out = new ConcurrentHashMap<>();
  private final AtomicLong tags = new AtomicLong();
  private final Counts closes = new Counts();
  private volatile Hearer hearer;

  /**
   * Links by what the platform told.
   *
   * @param descriptors descriptors that all links together may hold
   * @param mostAnswer bytes of an answer's body at the most
   */
  public RunnerLinks(
      NodeConfig.Links told,
      Limits limits,
      SendGate gate,
      Watchdog watchdog,
      Executor writers,
      int descriptors,
      int mostAnswer,
      int stackBytes) {
    this.told = told;
    this.limits = limits;
    this.gate = gate;
    this.watchdog = watchdog;
    this.settings = new LinkSettings(
        told.connect(),
        ConnectionChoice.mostIdle(told.idle()),
        told.multiplex(),
        mostAnswer,
        new Semaphore(descriptors),
        Threads.factory("runner", stackBytes),
        writers,
        this::closed,
        LOG::warn);
  }

  /** Names who hears the ends; once, before anything is sent. */
  public void reportTo(Hearer hears) {
    hearer = hears;
  }

  SendGate gate() {
    return gate;
  }

  boolean tellsNote() {
    return told.tellsNote();
  }

  boolean tellsCrowd() {
    return told.tellsCrowd();
  }

  /** News of a runner, with the time at which its bytes reached this process. */
  public void told(String uid, Phase phase, InetSocketAddress address, long at) {
    Link before;
    synchronized (gate) {
      gate.told(uid, phase, at);
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
  public void taken(long at) {
    synchronized (gate) {
      gate.taken(at);
    }
  }

  /** Starts an attempt; a timeout of 0 lasts until the client gives up. */
  public void send(NodeCall call, int number, String worker, long timeout) {
    long deadline = call.facts().deadlineAt();
    long now = Clock.micros();
    long until = timeout > 0 ? Math.min(deadline, now + timeout) : deadline;
    Trip trip = new Trip(this, call, number, worker, until);
    out.computeIfAbsent(call, c -> new ConcurrentHashMap<>()).put(number, trip);
    start(trip, until - now);
  }

  private void start(Errand errand, long time) {
    errand.guard(watchdog.after(Math.max(0, time), () -> errand.giveUp(Ending.TIMED_OUT)));
    if (!carry(errand)) {
      errand.giveUp(Ending.CONNECT_FAILED);
    }
  }

  /** Hands an errand to a connection of its runner; false where none can be had. */
  boolean carry(Errand errand) {
    Link link = links.get(errand.worker());
    return link != null && (link.carry(errand) || makeRoom() && link.carry(errand));
  }

  /**
   * Where no descriptor is left, closes the connection that was idle longest: one that carries nothing is worth least. False
   * where there is no need or nothing to close.
   */
  private boolean makeRoom() {
    long now = Clock.micros();
    return settings.descriptors().availablePermits() == 0
        && links.values().stream()
            .map(Link::idlest)
            .filter(Objects::nonNull)
            .max(Comparator.comparingLong(c -> c.idle(now)))
            .map(LinkConnection::closeIfFree)
            .orElse(false);
  }

  /** Stops an attempt; its end still comes. */
  public void cancel(NodeCall call, int number) {
    Trip trip = out.getOrDefault(call, Map.of()).get(number);
    if (trip != null) {
      trip.giveUp(Ending.CANCELLED);
    }
  }

  /** Orders copies held; the end comes by {@link Hearer#loadEnded}. */
  public void load(String worker, String function, int copies) {
    start(
        new LoadOrder(this, "l" + tags.incrementAndGet(), worker, function, copies),
        limits.orderTimeout());
  }

  void ended(Trip trip, AttemptEnd<NodeCall> end) {
    out.computeIfPresent(trip.call(), (c, all) -> {
      all.remove(trip.number());
      return all.isEmpty() ? null : all;
    });
    hearer.attemptEnded(end);
  }

  void loaded(Loaded loaded) {
    hearer.loadEnded(loaded);
  }

  private void closed(boolean everOpen, String why) {
    closes.count(everOpen ? why : "never came up");
  }

  /** Drops what belongs to runners that are gone and connections idle or stuck too long; called now and then. */
  public void tidy() {
    long now = Clock.micros();
    links.values().forEach(link -> link.tidy(now, STUCK));
    leaving.forEach(link -> link.tidy(now, STUCK));
    synchronized (gate) {
      leaving.removeIf(Link::finished);
      Set<String> last = leaving.stream().map(Link::uid).collect(Collectors.toSet());
      gate.forgetUnless(uid -> links.containsKey(uid) || last.contains(uid));
    }
  }

  /** Connections, attempts out, and how connections ended, for the log. */
  public String story() {
    int standing = links.values().stream().mapToInt(Link::standing).sum();
    synchronized (gate) {
      return links.size() + " runners, " + standing + " connections, " + out.size()
          + " calls out, ended " + closes + ", stopped at the last look " + gate.refusedCalls()
          + " calls " + gate.refusedOrders() + " orders";
    }
  }

  /** Runners that the list has, for tests. */
  public Set<String> runners() {
    return Set.copyOf(links.keySet());
  }

  /** Calls with an attempt out. */
  public int callsOut() {
    return out.size();
  }

  @Override
  public void close() {
    links.values().forEach(Link::close);
    leaving.forEach(Link::close);
  }
}
