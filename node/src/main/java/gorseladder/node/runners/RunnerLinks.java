package gorseladder.node.runners;

import gorseladder.RouterApi.Effect;
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
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
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
  private final Map<String, Link> links = new ConcurrentHashMap<>();
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
  public RunnerLinks(NodeConfig.Links told, Limits limits, SendGate gate, Watchdog watchdog, Executor writers,
      int descriptors, int mostAnswer, int stackBytes) {
    this.told = told;
    this.limits = limits;
    this.gate = gate;
    this.watchdog = watchdog;
    this.settings = new LinkSettings(told.connect(), ConnectionChoice.mostIdle(told.idle()), told.multiplex(), mostAnswer,
        new Semaphore(descriptors), Threads.factory("runner", stackBytes), writers, this::closed, LOG::warn);
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
    synchronized (gate) {
      gate.told(uid, phase, at);
    }
    if (phase != Phase.GONE) {
      links.computeIfAbsent(uid, u -> new Link(u, address, settings));
    } else if (links.containsKey(uid)) {
      links.get(uid).goes();
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
    trip.guard(watchdog.after(Math.max(0, until - now), () -> trip.giveUp(Ending.TIMED_OUT)));
    if (!carryAgain(trip)) {
      trip.giveUp(Ending.CONNECT_FAILED);
    }
  }

  /** Hands a trip to a connection of its runner; false where none can be had. */
  boolean carryAgain(Trip trip) {
    Link link = links.get(trip.worker());
    Effect effect = trip.call().facts().requestClass().effect();
    return link != null && link.carry(trip, trip.call(), effect);
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
    LoadOrder order = new LoadOrder(this, "l" + tags.incrementAndGet(), worker, function, copies);
    Link link = links.get(worker);
    watchdog.after(limits.orderTimeout(), () -> order.broken(Ending.TIMED_OUT));
    if (link == null || !link.carry(order, null, Effect.SAFE)) {
      order.broken(Ending.CONNECT_FAILED);
    }
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
    links.values().removeIf(Link::finished);
    synchronized (gate) {
      gate.forgetUnless(links::containsKey);
    }
  }

  /** Connections, attempts out, and how connections ended, for the log. */
  public String story() {
    int standing = links.values().stream().mapToInt(Link::standing).sum();
    synchronized (gate) {
      return links.size() + " runners, " + standing + " connections, " + out.size() + " calls out, ended " + closes
          + ", stopped at the last look " + gate.refusedCalls() + " calls " + gate.refusedOrders() + " orders";
    }
  }

  /** Runners, connections and calls that are held, for tests. */
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
  }
}
