package gorseladder.node.front;

import gorseladder.RouterApi.Effect;
import gorseladder.admission.ReadTurns;
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
import gorseladder.repeats.Repeats;
import gorseladder.repeats.Repeats.RecordedMessage;
import gorseladder.repeats.SentIds;
import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Counts;
import gorseladder.runtime.HttpServer;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.TurnQueue;
import gorseladder.threads.ThreadSharing.Holder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The platform's entry point: FastCGI 1.0 over TCP with a thread for each connection. It turns requests into calls and
 * final answers into responses; it makes no decisions about workers. Its limits are configured or protect the process;
 * requests and connections beyond them are refused at once and counted.
 */
public final class FastCgiFront implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(FastCgiFront.class);
  /** Answered with status 200 once calls can be served. */
  static final String LIVENESS_PATH = "/status/live";
  /** Limit for a connection without any request; its client must see the end within 3 s. */
  private static final long SILENT_TIMEOUT_MICROS = 2_000_000;
  /**
   * Clients close connections after 4 s of idleness; this side waits longer, so that the two do not close at the same
   * time.
   */
  private static final long IDLE_TIMEOUT_MICROS = 6_000_000;

  /** Memory of a call beside its body: its facts, attempts and timers, and what the router knows of it. */
  private static final int CALL_BYTES = 2_560;

  private static final int MAX_CLOSED_PER_CHECK = 16;
  private static final long WRITE_TIMEOUT_MICROS = 2_000_000;
  /** An answer counts as late if it is written this long after its deadline: more than the slack of the platform. */
  private static final long LATE_MARGIN_MICROS = 50_000;

  /** Turns a complete request into the facts of a call, see {@link RequestReader#read}. */
  public interface Reader {
    Facts read(Map<String, String> params, byte[] body, long arrivedAt)
        throws RequestReader.Unusable;
  }

  /** Notified of each accepted call before the core is. */
  public interface CallListener {
    void callAccepted(NodeCall call);
  }

  private final Reader reader;
  private final Core<NodeCall> core;
  private final Executor writers;
  private final CallListener callListener;
  private final int maxConnections;
  private final int maxHeldCalls;
  private final MessageBudgets budgets;
  private volatile BooleanSupplier memoryReclaimer = () -> false;
  private final StallDetector stallDetector;
  private final RuleLog rules;
  private final Map<SocketChannel, FrontConnection> connections = new ConcurrentHashMap<>();
  private final PartialRequests partialRequests = new PartialRequests();
  private final TurnQueue readTurns;
  private final ReadBuffers readBuffers = new ReadBuffers();
  private final Map<String, NodeCall> heldCalls = new ConcurrentHashMap<>();
  /** Ids of calls that may have run and whose clients have left; guarded by itself. */
  private final SentIds abandonedIds;
  /** Ids of calls that may have run and were answered; guarded by itself. */
  private final SentIds answeredIds;

  private final AtomicLong callIds = new AtomicLong();
  private final Counts counts = new Counts();
  private final AtomicLong refusalsForRoom = new AtomicLong();
  private final AtomicBoolean reclaiming = new AtomicBoolean();
  private volatile boolean live;
  private HttpServer server;
  private ThreadReclaimer threadReclaimer;

  /**
   * Creates a front that starts with {@link #listen}.
   *
   * @param maxConnections limit of client connections; beyond it idle ones are closed, first those without any request
   * @param maxHeldCalls limit of calls held, as configured by the platform
   * @param maxBytes limit of the memory used for all clients: partial requests, bodies of calls held and answers that
   *     are not written yet
   * @param maxSentIds ids of calls that may have run that are remembered
   */
  public FastCgiFront(
      Reader reader,
      Core<NodeCall> core,
      Executor writers,
      int maxConnections,
      int maxHeldCalls,
      long maxBytes,
      int maxSentIds,
      StallDetector stallDetector,
      RuleLog rules,
      CallListener callListener) {
    this.reader = reader;
    this.core = core;
    this.writers = writers;
    this.maxConnections = maxConnections;
    this.maxHeldCalls = maxHeldCalls;
    this.budgets = new MessageBudgets(maxBytes);
    this.abandonedIds = new SentIds(maxSentIds / 2);
    this.answeredIds = new SentIds(maxSentIds / 2);
    this.stallDetector = stallDetector;
    this.rules = rules;
    this.callListener = callListener;
    ReadTurns<TurnQueue.Turn> turns =
        new ReadTurns<>(ReadTurns.limitFor(Runtime.getRuntime().availableProcessors()));
    this.readTurns = new TurnQueue(
        turn -> turns.tryStart(turn, turn.isYielding()), turns::finish, ReadTurns.MAX_HELD_MICROS);
  }

  /**
   * Starts accepting connections and calls.
   *
   * @param reclaimer closes an idle connection if a client waits for a thread
   */
  public void listen(
      InetSocketAddress address,
      int stackBytes,
      ThreadCache.Share threads,
      ThreadReclaimer reclaimer)
      throws IOException {
    live = true;
    threadReclaimer = reclaimer;
    server = HttpServer.listen(address, "front", stackBytes, threads, new ConnectionHandler());
  }

  /** The address on which the front listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  /**
   * Counts connections when they are accepted, one at a time, so that concurrent connections cannot exceed the limit.
   */
  private final class ConnectionHandler implements HttpServer.Handler {
    @Override
    public boolean admit(SocketChannel channel, long waitedSince) {
      if (connections.size() >= maxConnections && !closeLongestIdle()) {
        refusedForRoom("no room for a connection");
        return false;
      }
      // It may have arrived during a stall of the process that ended just before accepting began,
      // however long this connection waited after that.
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

  /**
   * Adds a connection; its thread is to run it.
   *
   * @param since since when data on it may have waited
   */
  FrontConnection addConnection(SocketChannel channel, long since) {
    FrontConnection connection = new FrontConnection(this, channel, since);
    connections.put(channel, connection);
    return connection;
  }

  /** Serves a connection that was not accepted by the listener until it ends, on the calling thread. */
  public void serve(SocketChannel channel) throws IOException {
    addConnection(channel, Clock.micros()).run();
  }

  /** A connection and a snapshot of the start of its idle time. */
  private record Candidate(FrontConnection connection, long idleSince) {}

  /**
   * Closes the connection with the longest idle time, first those without any request; returns false if all are in use.
   */
  private boolean closeLongestIdle() {
    List<Candidate> candidates = new ArrayList<>();
    for (FrontConnection connection : connections.values()) {
      // Read once: the value changes with each answer, and a change during the sort makes it fail.
      candidates.add(new Candidate(connection, connection.idleSince()));
    }
    candidates.removeIf(candidate -> candidate.idleSince() == Long.MAX_VALUE);
    candidates.sort((a, b) -> Long.compare(a.idleSince(), b.idleSince()));
    return candidates.stream().anyMatch(candidate -> candidate.connection().closeIfIdle());
  }

  /** The connections that hold a thread and have no open request, or only unfinished ones. */
  public List<IdleConnection> idleConnections(long now) {
    List<IdleConnection> idle = new ArrayList<>();
    for (FrontConnection connection : connections.values()) {
      long since = connection.unusedSince();
      if (connection.hasThread() && since < Long.MAX_VALUE) {
        Holder holder = new Holder(now - since, false, connection.hasServed());
        idle.add(new IdleConnection(holder, () -> connection.closeIfUnused(since)));
      }
    }
    return idle;
  }

  /** Called when a connection has ended with this many unanswered requests. */
  void connectionClosed(SocketChannel channel, CloseReason reason, int openRequests) {
    connections.remove(channel);
    counts.count("closed: " + reason.word());
    LOG.debug("client connection closed: {}, {} requests open", reason.word(), openRequests);
    if (openRequests > 0 && reason.isOwnDecision()) {
      rules.closedWithRequests(openRequests, reason.word());
    }
  }

  /** The earliest time at which bytes that are read now may have arrived. */
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
   * Accepts a complete request as a call.
   *
   * @param onFinalAnswer called once with the final answer; on any thread, possibly before this method returns
   * @param onCallAccepted called with the call before it can end
   * @throws RequestReader.Unusable if the request cannot be used; nothing was accepted then
   */
  void acceptRequest(
      Map<String, String> params,
      byte[] body,
      Arrival arrival,
      BiConsumer<NodeCall, FinalAnswer> onFinalAnswer,
      Consumer<NodeCall> onCallAccepted)
      throws RequestReader.Unusable {
    Facts facts = limitRepeat(reader.read(params, body, arrival.at()));
    NodeCall call = new NodeCall(
        callIds.incrementAndGet(),
        facts,
        RequestReader.idempotencyKey(params),
        arrival.clientSeenFrom(),
        (c, end) -> {
          rememberIfSent(c, end);
          heldCalls.remove(facts.message(), c);
          callEnded(c, end);
          onFinalAnswer.accept(c, end);
        });
    if (heldCalls.putIfAbsent(facts.message(), call) != null) {
      throw new RequestReader.Unusable(Reason.CONFLICT, "the id is open already");
    }
    if (sentAt(facts) > 0 && facts.requestClass().effect() == Effect.UNSAFE) {
      // The earlier call with this id has ended since it was looked for.
      heldCalls.remove(facts.message(), call);
      throw mayHaveRun();
    }
    // Given back when its attempts have ended too, which may be long after its answer.
    budgets.calls().forceTake(CALL_BYTES + body.length);
    call.setWhenReleased(() -> budgets.calls().giveBack(CALL_BYTES + body.length));
    onCallAccepted.accept(call);
    callListener.callAccepted(call);
    LOG.debug(
        "request={} taken, class={} time_ms={}",
        facts.message(),
        facts.requestClass().name(),
        (facts.deadlineAt() - Clock.micros()) / 1_000);
    // Requests that may never be complete make room for one that is.
    while (budgets.all().isExceeded() && partialRequests.evict()) {
      LOG.trace("made room for a call");
    }
    ByteBudget all = budgets.all();
    Verdict verdict = Permits.mayTake(heldCalls.size(), maxHeldCalls, all.used(), all.limit());
    if (!verdict.allowed()) {
      refusedForRoom("no room for a call");
    }
    if (!verdict.allowed() || !core.offer(call)) {
      call.finish(FinalAnswer.withoutRetryAdvice(Reason.BUSY), Clock.micros());
      call.onReleased();
    }
  }

  /**
   * Decides whether an id that may have run may run again, and for how long.
   *
   * @throws RequestReader.Unusable if it may not, or if too many ids have to be remembered at the moment
   */
  private Facts limitRepeat(Facts facts) throws RequestReader.Unusable {
    if (facts.requestClass().effect() == Effect.SAFE) {
      return facts;
    }
    long now = Clock.micros();
    long sentAt = sentAt(facts);
    if (sentAt == 0) {
      synchronized (abandonedIds) {
        if (!abandonedIds.mayForget(now)) {
          refusedForRoom("no room for an id");
          throw new RequestReader.Unusable(Reason.BUSY, "no room for an id");
        }
      }
      return facts;
    }
    RecordedMessage earlier = new RecordedMessage(Repeats.Phase.CLOSED, false, true, sentAt, true);
    Repeats.Decision decision = Repeats.onDelivery(
        facts.requestClass(), false, earlier, now, Math.max(1, facts.deadlineAt() - now));
    if (decision.action() != Repeats.Action.RUN) {
      throw mayHaveRun();
    }
    return facts.until(now + decision.timeLimit());
  }

  private static RequestReader.Unusable mayHaveRun() {
    return new RequestReader.Unusable(Reason.FAILED_UNKNOWN_EFFECT, "the id may have run already");
  }

  /** When a call with the id of this one, which has ended, was sent; 0 if that is not known. */
  private long sentAt(Facts facts) {
    long id = Long.parseUnsignedLong(facts.message(), 16);
    long sentAt;
    synchronized (abandonedIds) {
      sentAt = abandonedIds.sentAt(id);
    }
    if (sentAt > 0) {
      return sentAt;
    }
    synchronized (answeredIds) {
      return answeredIds.sentAt(id);
    }
  }

  /** Remembers the id of a call that ended and may have run, before the id counts as free. */
  private void rememberIfSent(NodeCall call, FinalAnswer end) {
    long sentAt = call.mayHaveRunSince();
    if (sentAt > 0 && call.facts().requestClass().effect() != Effect.SAFE) {
      SentIds ids = end.reason().kind == Reason.Kind.GONE ? abandonedIds : answeredIds;
      synchronized (ids) {
        ids.add(Long.parseUnsignedLong(call.facts().message(), 16), sentAt);
      }
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

  /** The final answer of a call was handed to the operating system. */
  void answerWritten(NodeCall call, long at) {
    Facts facts = call.facts();
    if (at > facts.deadlineAt() + LATE_MARGIN_MICROS) {
      count("answered late");
    }
    AnswerTimeline steps =
        new AnswerTimeline(facts.takenAt(), call.readAt(), call.consideredAt(), call.endedAt(), at);
    rules.answered(facts.message(), at, facts.deadlineAt(), steps);
  }

  /** The client of a call has left. */
  void clientGone(NodeCall call) {
    call.finish(FinalAnswer.withoutRetryAdvice(Reason.GONE), Clock.micros());
    core.clientGone(call);
  }

  /** The turns of the threads that read and parse what clients sent. */
  TurnQueue readTurns() {
    return readTurns;
  }

  /** The buffers of the threads that have a turn to read. */
  ReadBuffers readBuffers() {
    return readBuffers;
  }

  PartialRequests partialRequests() {
    return partialRequests;
  }

  // ---- memory used for clients

  /** Takes bytes for a partial request if the limits allow it. */
  boolean tryReserve(int bytes) {
    return bytes == 0 || budgets.unfinishedRequests().tryTake(bytes);
  }

  /**
   * Takes bytes for a partial request; beyond the limits memory is reclaimed first. Returns false if there is too
   * little.
   */
  boolean reserve(int bytes) {
    while (!tryReserve(bytes)) {
      if (!reclaimMemory()) {
        return false;
      }
    }
    return true;
  }

  /** Gives back bytes of a request. */
  void giveBack(long bytes) {
    budgets.unfinishedRequests().giveBack(bytes);
  }

  /** The budgets of the memory that is used for clients and for the answers of runners. */
  public MessageBudgets budgets() {
    return budgets;
  }

  /** Sets what frees memory when there is no partial request to refuse. */
  public void setMemoryReclaimer(BooleanSupplier reclaimer) {
    memoryReclaimer = reclaimer;
  }

  /**
   * Frees memory of the budget: refuses partial requests, then asks the memory reclaimer. Returns false if nothing was
   * freed.
   */
  public boolean reclaimMemory() {
    return partialRequests.evict() || memoryReclaimer.getAsBoolean();
  }

  /** Takes bytes for an answer, which is kept even beyond the limit; {@link #checkTimeouts} reclaims memory later. */
  void reserveAnswer(int bytes) {
    budgets.answers().forceTake(bytes);
  }

  /** Whether answers that need not be kept may wait to be written. */
  boolean hasRoomForAnswers() {
    return !budgets.isExceeded();
  }

  /** Gives back bytes of answers that were written or dropped. */
  void giveBackAnswer(long bytes) {
    budgets.answers().giveBack(bytes);
  }

  /** Frees memory if the budget is exceeded; by one thread at a time, since it looks at all connections. */
  void reclaimIfExceeded() {
    if (budgets.isExceeded() && reclaiming.compareAndSet(false, true)) {
      try {
        reclaimAnswerMemory();
      } finally {
        reclaiming.set(false);
      }
    }
  }

  /** While the budget is exceeded, frees memory, first where most of it is; ends when there is none to free. */
  private void reclaimAnswerMemory() {
    boolean freed = true;
    for (int tries = 0; freed && budgets.isExceeded() && tries < MAX_CLOSED_PER_CHECK; tries++) {
      boolean mostlyAnswers = budgets.answers().isExceeded()
          || budgets.answers().used() > budgets.unfinishedRequests().used();
      freed = mostlyAnswers && closeMostUnread() || reclaimMemory() || closeMostUnread();
    }
  }

  /** Closes the connection whose client leaves most unread; returns false if there is none. */
  private boolean closeMostUnread() {
    long now = Clock.micros();
    boolean closed = connections.values().stream()
        .max((a, b) -> Long.compare(a.unreadAnswerBytes(now), b.unreadAnswerBytes(now)))
        .filter(FrontConnection::closeIfAnswersUnread)
        .isPresent();
    if (closed) {
      refusedForRoom("closed for its unread answers");
    }
    return closed;
  }

  /** Counts an event for the log. */
  void count(String what) {
    counts.count(what);
  }

  /** Counts something that was refused for want of room. */
  void refusedForRoom(String what) {
    refusalsForRoom.incrementAndGet();
    count(what);
  }

  /** How often something was refused for want of room so far. */
  public long refusalsForRoom() {
    return refusalsForRoom.get();
  }

  /**
   * Refuses calls past their deadline that the core has not considered: nothing of them was sent, and their clients
   * must get an answer however long the core is busy.
   */
  private void refuseUnconsidered(long now) {
    for (NodeCall call : heldCalls.values()) {
      if (call.consideredAt() == 0 && now >= call.facts().deadlineAt()) {
        call.finish(FinalAnswer.withoutRetryAdvice(Reason.BUSY), now);
      }
    }
  }

  /** Applies the time limits of calls and connections; called periodically. */
  public void checkTimeouts() {
    long now = Clock.micros();
    refuseUnconsidered(now);
    for (FrontConnection connection : connections.values()) {
      connection.checkTimeouts(now, SILENT_TIMEOUT_MICROS, IDLE_TIMEOUT_MICROS);
      connection.closeIfWriteStuck(now, WRITE_TIMEOUT_MICROS);
    }
    reclaimIfExceeded();
  }

  /** Numbers of calls held, connections and counted events, for the log. */
  public String summary() {
    return connections.size() + " connections, " + heldCalls.size() + " calls held, "
        + budgets.describe() + ", " + partialRequests.evictions()
        + " evictions, " + readTurns.summary() + ", " + counts;
  }

  /** Number of calls without a final answer. */
  public int heldCallCount() {
    return heldCalls.size();
  }

  /** Whether a client may still wait for an answer: a call is held, bytes are unread, or an answer is not written. */
  public boolean owesAnswers() {
    return !heldCalls.isEmpty()
        || connections.values().stream().anyMatch(FrontConnection::owesAnswers);
  }

  /** Number of open connections. */
  public int connections() {
    return connections.size();
  }

  /** Stops accepting connections; open ones remain. */
  public void stopAccepting() {
    server.stopAccepting();
  }

  /** Half-closes each connection without an open request; returns true once all connections have ended. */
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
