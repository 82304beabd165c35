package gorseladder.node.front;

import gorseladder.answers.Reason;
import gorseladder.core.Call.Facts;
import gorseladder.core.Core;
import gorseladder.core.FinalAnswer;
import gorseladder.core.RuleLog;
import gorseladder.core.StallDetector;
import gorseladder.core.ThreadReclaimer;
import gorseladder.core.ThreadReclaimer.IdleConnection;
import gorseladder.node.NodeCall;
import gorseladder.permits.Permits;
import gorseladder.permits.Verdict;
import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Counts;
import gorseladder.runtime.HttpServer;
import gorseladder.runtime.ThreadCache;
import gorseladder.threads.ThreadSharing.Holder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The platform's front: FastCGI 1.0 over TCP, a thread for each connection. It turns requests into calls and final
 * answers into responses, and decides nothing about workers. Its own bounds are told ones or protect the process; what
 * passes them is refused at once and counted.
 */
public final class FastCgiFront implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(FastCgiFront.class);
  /** Answered with 200 once calls can be served. */
  static final String LIVE = "/status/live";
  /** What a connection that says nothing gets before it is closed; its client is owed an end within 3 s. */
  private static final long SILENT = 2_000_000;
  /** Clients close connections idle for 4 s; ours comes later, so that the two do not cross. */
  private static final long IDLE = 6_000_000;

  private static final int MOST_CLOSED_AT_ONCE = 16;
  private static final long STUCK = 2_000_000;
  /** Past its client's time by more than the platform's slack an answer is counted as late. */
  private static final long LATE = 50_000;

  /** Turns a request that arrived whole into a call's facts, as {@link RequestReader#read} does. */
  public interface Reader {
    Facts read(Map<String, String> params, byte[] body, long arrivedAt)
        throws RequestReader.Unusable;
  }

  /** Hears of calls taken, before the core does. */
  public interface Hearer {
    void taken(NodeCall call);
  }

  private final Reader reader;
  private final Core<NodeCall> core;
  private final Executor writers;
  private final Hearer hearer;
  private final int mostConnections;
  private final int mostHeld;
  private final ByteBudget budget;
  private volatile BooleanSupplier otherRoom = () -> false;
  private final StallDetector pauses;
  private final RuleLog rules;
  private final Map<SocketChannel, FrontConnection> connections = new ConcurrentHashMap<>();
  private final Map<String, NodeCall> held = new ConcurrentHashMap<>();
  private final AtomicLong ids = new AtomicLong();
  private final Counts counts = new Counts();
  private volatile boolean live;
  private HttpServer server;
  private ThreadReclaimer sharer;

  /**
   * A front that begins with {@link #listen}.
   *
   * @param mostConnections connections of clients at the most; beyond it the silent ones go first
   * @param mostHeld calls held at the most, as the platform tells
   * @param mostBytes bytes at the most that all clients together have this front keep: requests that are being read,
   *     bodies of calls held, answers not written yet
   */
  public FastCgiFront(
      Reader reader,
      Core<NodeCall> core,
      Executor writers,
      int mostConnections,
      int mostHeld,
      long mostBytes,
      StallDetector pauses,
      RuleLog rules,
      Hearer hearer) {
    this.reader = reader;
    this.core = core;
    this.writers = writers;
    this.mostConnections = mostConnections;
    this.mostHeld = mostHeld;
    this.budget = new ByteBudget(mostBytes);
    this.pauses = pauses;
    this.rules = rules;
    this.hearer = hearer;
  }

  /**
   * Listens; calls are taken from now on.
   *
   * @param shares ends a connection for a client that waits for a thread
   */
  public void listen(
      InetSocketAddress at, int stackBytes, ThreadCache threads, ThreadReclaimer shares)
      throws IOException {
    live = true;
    sharer = shares;
    server = HttpServer.listen(at, "front", stackBytes, threads, new Accepted());
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Connections are counted where they are accepted, one at a time: many at once cannot pass the bound together. */
  private final class Accepted implements HttpServer.Handler {
    @Override
    public boolean admit(SocketChannel channel, long waitedSince) {
      if (connections.size() >= mostConnections && !makeRoom()) {
        count("no room for a connection");
        return false;
      }
      // It may have come in a pause that ended just before accepting began, however long it then
      // takes to come to this one.
      add(channel, Math.min(waitedSince, pauses.earliestArrival(waitedSince)));
      return true;
    }

    @Override
    public void serve(SocketChannel channel) throws IOException {
      FrontConnection connection = connections.get(channel);
      if (connection != null) {
        connection.run();
      }
    }

    @Override
    public void unserved(SocketChannel channel) {
      FrontConnection connection = connections.get(channel);
      if (connection != null) {
        connection.close();
      }
    }

    @Override
    public void reclaimThread(long waited) {
      count(sharer.reclaim(waited) ? "closed for its thread" : "no thread");
    }
  }

  private FrontConnection add(SocketChannel channel, long since) {
    FrontConnection connection = new FrontConnection(this, channel, since);
    connections.put(channel, connection);
    return connection;
  }

  /** Serves a connection that came by no listener until its end, on the calling thread. */
  public void serve(SocketChannel channel) throws IOException {
    add(channel, Clock.micros()).run();
  }
  /** A connection, and since when it was idle as it was looked at. */
  private record Candidate(FrontConnection connection, long idleSince) {}

  /** Closes the connection that was idle longest, those that never asked first; false where every one is in use. */
  private boolean makeRoom() {
    List<Candidate> candidates = new ArrayList<>();
    for (FrontConnection connection : connections.values()) {
      // Read once: it changes with each answer, and what changes while it is sorted makes the sort
      // fail.
      candidates.add(new Candidate(connection, connection.idleSince()));
    }
    candidates.removeIf(candidate -> candidate.idleSince() == Long.MAX_VALUE);
    candidates.sort((a, b) -> Long.compare(a.idleSince(), b.idleSince()));
    return candidates.stream().anyMatch(candidate -> candidate.connection().closeIfFree());
  }

  /** Connections that hold a thread and on which nothing is asked. */
  public List<IdleConnection> idle(long now) {
    List<IdleConnection> idle = new ArrayList<>();
    for (FrontConnection connection : connections.values()) {
      long since = connection.idleSince();
      if (connection.hasThread() && since < Long.MAX_VALUE) {
        idle.add(new IdleConnection(new Holder(now - since, false), connection::closeIfFree));
      }
    }
    return idle;
  }

  /** A connection has ended, with so many requests that have no answer. */
  void closed(SocketChannel channel, CloseReason why, int open) {
    connections.remove(channel);
    counts.count("closed: " + why.word());
    LOG.debug("client connection closed: {}, {} requests open", why.word(), open);
    if (open > 0 && why.ownChoice()) {
      rules.closedWithRequests(open, why.word());
    }
  }

  /** The earliest time at which something may have come that is read now. */
  long cameAt(long now) {
    return pauses.earliestArrival(now);
  }

  Executor writers() {
    return writers;
  }

  int mostConnections() {
    return mostConnections;
  }

  boolean live() {
    return live;
  }

  /**
   * Takes a request that arrived whole.
   *
   * @param onEnd hears the final answer once; on any thread, perhaps before this returns
   * @param taken hears of the call before it can end
   * @throws RequestReader.Unusable where it cannot be used; nothing was taken then
   */
  void take(
      Map<String, String> params,
      byte[] body,
      Arrival arrival,
      BiConsumer<NodeCall, FinalAnswer> onEnd,
      Consumer<NodeCall> taken)
      throws RequestReader.Unusable {
    Facts facts = reader.read(params, body, arrival.at());
    NodeCall call = new NodeCall(
        ids.incrementAndGet(),
        facts,
        RequestReader.key(params),
        arrival.clientSeenFrom(),
        (c, end) -> {
          if (held.remove(facts.message(), c)) {
            budget.giveBack(body.length);
          }
          ended(c, end);
          onEnd.accept(c, end);
        });
    if (held.putIfAbsent(facts.message(), call) != null) {
      throw new RequestReader.Unusable(Reason.CONFLICT, "the id is open already");
    }
    budget.forceTake(body.length);
    taken.accept(call);
    hearer.taken(call);
    LOG.debug(
        "request={} taken, class={} time_ms={}",
        facts.message(),
        facts.requestClass().name(),
        (facts.deadlineAt() - Clock.micros()) / 1_000);
    Verdict mayTake = Permits.mayTake(held.size(), mostHeld, budget.used(), budget.limit());
    if (!mayTake.allowed() || !core.offer(call)) {
      call.finish(FinalAnswer.withoutRetryAdvice(Reason.BUSY), Clock.micros());
    }
  }

  private void ended(NodeCall call, FinalAnswer end) {
    Facts facts = call.facts();
    count(end.reason().word());
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "request={} ended: {} attempts={}",
          facts.message(),
          end.reason().word(),
          String.join(" ", call.describeAttempts()));
    }
  }

  /** The final answer of a call was handed to the system. */
  void written(NodeCall call, long at) {
    Facts facts = call.facts();
    if (at > facts.deadlineAt() + LATE) {
      count("answered late");
    }
    AnswerTimeline steps =
        new AnswerTimeline(facts.takenAt(), call.readAt(), call.consideredAt(), call.endedAt(), at);
    rules.answered(facts.message(), at, facts.deadlineAt(), steps);
  }

  /** The client of a call left. */
  void gone(NodeCall call) {
    call.finish(FinalAnswer.withoutRetryAdvice(Reason.GONE), Clock.micros());
    core.clientGone(call);
  }

  // ---- bytes that clients have it keep

  /** Takes so many bytes of the budget where there is room. */
  boolean tryReserve(int bytes) {
    return bytes == 0 || budget.tryTake(bytes);
  }

  /** The same; where there is no room the oldest half requests make some. */
  boolean reserve(int bytes) {
    while (!tryReserve(bytes)) {
      if (!makeRoomForBytes()) {
        return false;
      }
    }
    return true;
  }

  /** What all clients have it keep; to be shared with whoever keeps bytes for runners. */
  public ByteBudget budget() {
    return budget;
  }

  /** Names who makes room for bytes of clients where no half request does. */
  public void roomAlsoBy(BooleanSupplier other) {
    otherRoom = other;
  }

  /** Past the bound of bytes, lets go of what is worth least; false where there is nothing. */
  public boolean makeRoomForBytes() {
    return refuseOldestHalf() || otherRoom.getAsBoolean();
  }

  /** Takes bytes of an answer, which is owed whether there is room or not; {@link #check} makes room later. */
  void take(int bytes) {
    budget.forceTake(bytes);
  }

  void giveBack(long bytes) {
    budget.giveBack(bytes);
  }

  /**
   * Refuses the half requests of the connection that has the oldest one; false where there is none.
   *
   * <p>Guards against clients that send requests without their ends: each is small, and all together were more than the
   * memory. It could harm clients on slow lines while such a crowd is there; they are told that trying again is
   * harmless.
   */
  boolean refuseOldestHalf() {
    FrontConnection oldest = null;
    long since = Long.MAX_VALUE;
    for (FrontConnection connection : connections.values()) {
      long at = connection.oldestHalfSince();
      if (at < since) {
        since = at;
        oldest = connection;
      }
    }
    if (oldest != null) {
      oldest.refuseHalves();
    }
    return oldest != null;
  }

  /** Past the bound by answers that nobody reads, closes the connection that has most of them. */
  private void makeRoomForAnswers() {
    for (int tries = 0; budget.used() > budget.limit() && tries < MOST_CLOSED_AT_ONCE; tries++) {
      if (!makeRoomForBytes()) {
        connections.values().stream()
            .max((a, b) -> Long.compare(a.unwritten(), b.unwritten()))
            .filter(FrontConnection::closeUnread)
            .ifPresent(connection -> count("closed for its unread answers"));
      }
    }
  }

  /** Counts something for the log. */
  void count(String what) {
    counts.count(what);
  }

  /**
   * Refuses the calls whose time is over and which the core has not looked at: nothing of them has left, and their
   * clients wait for an answer whatever keeps the core.
   */
  private void refuseUnconsidered(long now) {
    for (NodeCall call : held.values()) {
      if (call.consideredAt() == 0 && now >= call.facts().deadlineAt()) {
        call.finish(FinalAnswer.withoutRetryAdvice(Reason.BUSY), now);
      }
    }
  }

  /** Looks at the time limits of calls and connections; called now and then. */
  public void check() {
    long now = Clock.micros();
    refuseUnconsidered(now);
    for (FrontConnection connection : connections.values()) {
      connection.check(now, SILENT, IDLE);
      connection.closeIfStuck(now, STUCK);
    }
    makeRoomForAnswers();
  }

  /** Calls held, connections, and what was counted, for the log. */
  public String summary() {
    return connections.size() + " connections, " + held.size() + " calls held, " + budget.used()
        + " bytes kept, " + counts;
  }

  /** Calls that have no final answer. */
  public int held() {
    return held.size();
  }

  /** True where a client may still wait for something: a call held, bytes unread, an answer not written. */
  public boolean owes() {
    return !held.isEmpty() || connections.values().stream().anyMatch(FrontConnection::owes);
  }

  /** Connections that are open. */
  public int connections() {
    return connections.size();
  }

  /** Takes no new connections; open ones go on. */
  public void stopAccepting() {
    server.stopAccepting();
  }

  /** Tells every client of whom nothing is open that nothing more comes; true once all connections have ended. */
  public boolean drain() {
    connections.values().forEach(FrontConnection::drain);
    return connections.isEmpty();
  }

  @Override
  public void close() {
    if (server != null) {
      server.close();
    }
    connections.values().forEach(FrontConnection::close);
  }
}
