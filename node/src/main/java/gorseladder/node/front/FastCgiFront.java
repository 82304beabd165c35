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
  static final String LIVENESS_PATH = "/status/live";
  /** What a connection that says nothing gets before it is closed; its client is owed an end within 3 s. */
  private static final long SILENT_TIMEOUT_MICROS = 2_000_000;
  /** Clients close connections idle for 4 s; ours comes later, so that the two do not cross. */
  private static final long IDLE_TIMEOUT_MICROS = 6_000_000;

  private static final int MAX_CLOSED_PER_CHECK = 16;
  private static final long WRITE_TIMEOUT_MICROS = 2_000_000;
  /** Past its client's time by more than the platform's slack an answer is counted as late. */
  private static final long LATE_MARGIN_MICROS = 50_000;

  /** Turns a request that arrived whole into a call's facts, as {@link RequestReader#read} does. */
  public interface Reader {
    Facts read(Map<String, String> params, byte[] body, long arrivedAt)
        throws RequestReader.Unusable;
  }

  /** Hears of calls taken, before the core does. */
  public interface CallListener {
    void callTaken(NodeCall call);
  }

  private final Reader reader;
  private final Core<NodeCall> core;
  private final Executor writers;
  private final CallListener callListener;
  private final int maxConnections;
  private final int maxHeldCalls;
  private final ByteBudget budget;
  private volatile BooleanSupplier memoryReclaimer = () -> false;
  private final StallDetector stallDetector;
  private final RuleLog rules;
  private final Map<SocketChannel, FrontConnection> connections = new ConcurrentHashMap<>();
  private final Map<String, NodeCall> heldCalls = new ConcurrentHashMap<>();
  private final AtomicLong callIds = new AtomicLong();
  private final Counts counts = new Counts();
  private volatile boolean live;
  private HttpServer server;
  private ThreadReclaimer threadReclaimer;

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
      int maxConnections,
      int maxHeldCalls,
      long maxBytes,
      StallDetector stallDetector,
      RuleLog rules,
      CallListener callListener) {
    this.reader = reader;
    this.core = core;
    this.writers = writers;
    this.maxConnections = maxConnections;
    this.maxHeldCalls = maxHeldCalls;
    this.budget = new ByteBudget(maxBytes);
    this.stallDetector = stallDetector;
    this.rules = rules;
    this.callListener = callListener;
  }

  /**
   * Listens; calls are taken from now on.
   *
   * @param shares ends a connection for a client that waits for a thread
   */
  public void listen(
      InetSocketAddress address, int stackBytes, ThreadCache threads, ThreadReclaimer reclaimer)
      throws IOException {
    live = true;
    threadReclaimer = reclaimer;
    server = HttpServer.listen(address, "front", stackBytes, threads, new ConnectionHandler());
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Connections are counted where they are accepted, one at a time: many at once cannot pass the bound together. */
  private final class ConnectionHandler implements HttpServer.Handler {
    @Override
    public boolean admit(SocketChannel channel, long waitedSince) {
      if (connections.size() >= maxConnections && !closeLongestIdle()) {
        count("no room for a connection");
        return false;
      }
      // It may have come in a pause that ended just before accepting began, however long it then
      // takes to come to this one.
      addConnection(channel, Math.min(waitedSince, stallDetector.earliestArrival(waitedSince)));
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
      count(threadReclaimer.reclaim(waited) ? "closed for its thread" : "no thread");
    }
  }

  private FrontConnection addConnection(SocketChannel channel, long since) {
    FrontConnection connection = new FrontConnection(this, channel, since);
    connections.put(channel, connection);
    return connection;
  }

  /** Serves a connection that came by no listener until its end, on the calling thread. */
  public void serve(SocketChannel channel) throws IOException {
    addConnection(channel, Clock.micros()).run();
  }
  /** A connection, and since when it was idle as it was looked at. */
  private record Candidate(FrontConnection connection, long idleSince) {}

  /** Closes the connection that was idle longest, those that never asked first; false where every one is in use. */
  private boolean closeLongestIdle() {
    List<Candidate> candidates = new ArrayList<>();
    for (FrontConnection connection : connections.values()) {
      // Read once: it changes with each answer, and what changes while it is sorted makes the sort
      // fail.
      candidates.add(new Candidate(connection, connection.idleSince()));
    }
    candidates.removeIf(candidate -> candidate.idleSince() == Long.MAX_VALUE);
    candidates.sort((a, b) -> Long.compare(a.idleSince(), b.idleSince()));
    return candidates.stream().anyMatch(candidate -> candidate.connection().closeIfIdle());
  }

  /** Connections that hold a thread and on which nothing is asked. */
  public List<IdleConnection> idleConnections(long now) {
    List<IdleConnection> idle = new ArrayList<>();
    for (FrontConnection connection : connections.values()) {
      long since = connection.idleSince();
      if (connection.hasThread() && since < Long.MAX_VALUE) {
        idle.add(new IdleConnection(new Holder(now - since, false), connection::closeIfIdle));
      }
    }
    return idle;
  }

  /** A connection has ended, with so many requests that have no answer. */
  void connectionClosed(SocketChannel channel, CloseReason reason, int openRequests) {
    connections.remove(channel);
    counts.count("closed: " + reason.word());
    LOG.debug("client connection closed: {}, {} requests open", reason.word(), openRequests);
    if (openRequests > 0 && reason.isOwnDecision()) {
      rules.closedWithRequests(openRequests, reason.word());
    }
  }

  /** The earliest time at which something may have come that is read now. */
  long earliestArrival(long now) {
    return stallDetector.earliestArrival(now);
  }

  Executor writers() {
    return writers;
  }

  int maxConnections() {
    return maxConnections;
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
  void acceptRequest(
      Map<String, String> params,
      byte[] body,
      Arrival arrival,
      BiConsumer<NodeCall, FinalAnswer> onFinalAnswer,
      Consumer<NodeCall> onCallTaken)
      throws RequestReader.Unusable {
    Facts facts = reader.read(params, body, arrival.at());
    NodeCall call = new NodeCall(
        callIds.incrementAndGet(),
        facts,
        RequestReader.idempotencyKey(params),
        arrival.clientSeenFrom(),
        (c, end) -> {
          if (heldCalls.remove(facts.message(), c)) {
            budget.giveBack(body.length);
          }
          callEnded(c, end);
          onFinalAnswer.accept(c, end);
        });
    if (heldCalls.putIfAbsent(facts.message(), call) != null) {
      throw new RequestReader.Unusable(Reason.CONFLICT, "the id is open already");
    }
    budget.forceTake(body.length);
    onCallTaken.accept(call);
    callListener.callTaken(call);
    LOG.debug(
        "request={} taken, class={} time_ms={}",
        facts.message(),
        facts.requestClass().name(),
        (facts.deadlineAt() - Clock.micros()) / 1_000);
    Verdict verdict =
        Permits.mayTake(heldCalls.size(), maxHeldCalls, budget.used(), budget.limit());
    if (!verdict.allowed() || !core.offer(call)) {
      call.finish(FinalAnswer.withoutRetryAdvice(Reason.BUSY), Clock.micros());
    }
  }

  private void callEnded(NodeCall call, FinalAnswer end) {
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
  void answerWritten(NodeCall call, long at) {
    Facts facts = call.facts();
    if (at > facts.deadlineAt() + LATE_MARGIN_MICROS) {
      count("answered late");
    }
    AnswerTimeline steps =
        new AnswerTimeline(facts.takenAt(), call.readAt(), call.consideredAt(), call.endedAt(), at);
    rules.answered(facts.message(), at, facts.deadlineAt(), steps);
  }

  /** The client of a call left. */
  void clientGone(NodeCall call) {
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
      if (!reclaimMemory()) {
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
  public void setMemoryReclaimer(BooleanSupplier reclaimer) {
    memoryReclaimer = reclaimer;
  }

  /** Past the bound of bytes, lets go of what is worth least; false where there is nothing. */
  public boolean reclaimMemory() {
    return refuseOldestPartialRequests() || memoryReclaimer.getAsBoolean();
  }

  /** Takes bytes of an answer, which is owed whether there is room or not; {@link #check} makes room later. */
  void forceReserve(int bytes) {
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
  boolean refuseOldestPartialRequests() {
    FrontConnection oldest = null;
    long since = Long.MAX_VALUE;
    for (FrontConnection connection : connections.values()) {
      long at = connection.oldestPartialSince();
      if (at < since) {
        since = at;
        oldest = connection;
      }
    }
    if (oldest != null) {
      oldest.refusePartialRequests();
    }
    return oldest != null;
  }

  /** Past the bound by answers that nobody reads, closes the connection that has most of them. */
  private void reclaimAnswerMemory() {
    for (int tries = 0; budget.used() > budget.limit() && tries < MAX_CLOSED_PER_CHECK; tries++) {
      if (!reclaimMemory()) {
        connections.values().stream()
            .max((a, b) -> Long.compare(a.unwrittenBytes(), b.unwrittenBytes()))
            .filter(FrontConnection::closeIfAnswersUnread)
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
    for (NodeCall call : heldCalls.values()) {
      if (call.consideredAt() == 0 && now >= call.facts().deadlineAt()) {
        call.finish(FinalAnswer.withoutRetryAdvice(Reason.BUSY), now);
      }
    }
  }

  /** Looks at the time limits of calls and connections; called now and then. */
  public void checkTimeouts() {
    long now = Clock.micros();
    refuseUnconsidered(now);
    for (FrontConnection connection : connections.values()) {
      connection.checkTimeouts(now, SILENT_TIMEOUT_MICROS, IDLE_TIMEOUT_MICROS);
      connection.closeIfWriteStuck(now, WRITE_TIMEOUT_MICROS);
    }
    reclaimAnswerMemory();
  }

  /** Calls held, connections, and what was counted, for the log. */
  public String summary() {
    return connections.size() + " connections, " + heldCalls.size() + " calls held, "
        + budget.used() + " bytes kept, " + counts;
  }

  /** Calls that have no final answer. */
  public int heldCallCount() {
    return heldCalls.size();
  }

  /** True where a client may still wait for something: a call held, bytes unread, an answer not written. */
  public boolean owesAnswers() {
    return !heldCalls.isEmpty()
        || connections.values().stream().anyMatch(FrontConnection::owesAnswers);
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
