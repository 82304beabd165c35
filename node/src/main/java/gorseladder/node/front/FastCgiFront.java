package gorseladder.node.front;

import gorseladder.answers.Reason;
import gorseladder.core.Call.Facts;
import gorseladder.core.Core;
import gorseladder.core.FinalAnswer;
import gorseladder.node.NodeCall;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Counts;
import gorseladder.runtime.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.Comparator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The platform's front: FastCGI 1.0 over TCP, a thread for each connection. It turns requests into calls and final answers
 * into responses, and decides nothing about workers. Its own bounds are told ones or protect the process; what passes them is
 * refused at once and counted.
 */
public final class FastCgiFront implements AutoCloseable {
  /** Answered with 200 once calls can be served. */
  static final String LIVE = "/status/live";
  /** What a connection that says nothing gets before it is closed; its client is owed an end within 3 s. */
  private static final long SILENT = 2_000_000;
  /** Clients close connections idle for 4 s; ours comes later, so that the two do not cross. */
  private static final long IDLE = 6_000_000;
  private static final long STUCK = 2_000_000;

  /** Hears of calls taken, before the core does. */
  public interface Hearer {
    void taken(NodeCall call);
  }

  private final RequestReader reader;
  private final Core<NodeCall> core;
  private final Executor writers;
  private final Hearer hearer;
  private final int mostConnections;
  private final int mostHeld;
  private final long mostBodyBytes;
  private final Set<FrontConnection> connections = ConcurrentHashMap.newKeySet();
  private final Map<String, NodeCall> held = new ConcurrentHashMap<>();
  private final AtomicLong ids = new AtomicLong();
  private final AtomicLong bodyBytes = new AtomicLong();
  private final Counts counts = new Counts();
  private volatile boolean live;
  private HttpServer server;

  /**
   * A front that begins with {@link #listen}.
   *
   * @param mostConnections connections of clients at the most; beyond it the silent ones go first
   * @param mostHeld calls held at the most, as the platform tells
   * @param mostBodyBytes bytes of bodies held at the most
   */
  public FastCgiFront(RequestReader reader, Core<NodeCall> core, Executor writers, int mostConnections, int mostHeld,
      long mostBodyBytes, Hearer hearer) {
    this.reader = reader;
    this.core = core;
    this.writers = writers;
    this.mostConnections = mostConnections;
    this.mostHeld = mostHeld;
    this.mostBodyBytes = mostBodyBytes;
    this.hearer = hearer;
  }

  /** Listens; calls are taken from now on. */
  public void listen(InetSocketAddress at, int stackBytes) throws IOException {
    server = HttpServer.listen(at, "front", stackBytes, this::serve);
    live = true;
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  private void serve(SocketChannel channel) throws IOException {
    channel.socket().setTcpNoDelay(true);
    if (connections.size() >= mostConnections && !makeRoom()) {
      count("no room for a connection");
      return;
    }
    FrontConnection connection = new FrontConnection(this, channel);
    connections.add(connection);
    connection.run();
  }

  /** Closes the connection that was idle longest, those that never asked first; false where every one has a request open. */
  private synchronized boolean makeRoom() {
    FrontConnection first = connections.stream().min(Comparator.comparingLong(FrontConnection::idleSince)).orElse(null);
    if (first == null || first.idleSince() == Long.MAX_VALUE) {
      return false;
    }
    count("connection closed for room");
    first.close();
    return true;
  }

  void closed(FrontConnection connection) {
    connections.remove(connection);
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
  void take(Map<String, String> params, byte[] body, long arrivedAt, BiConsumer<NodeCall, FinalAnswer> onEnd,
      Consumer<NodeCall> taken) throws RequestReader.Unusable {
    Facts facts = reader.read(params, body, arrivedAt);
    NodeCall call = new NodeCall(ids.incrementAndGet(), facts, RequestReader.key(params), (c, end) -> {
      if (held.remove(facts.message(), c)) {
        bodyBytes.addAndGet(-body.length);
      }
      count(end.reason().word());
      onEnd.accept(c, end);
    });
    if (held.putIfAbsent(facts.message(), call) != null) {
      throw new RequestReader.Unusable(Reason.CONFLICT, "the id is open already");
    }
    long bytes = bodyBytes.addAndGet(body.length);
    taken.accept(call);
    hearer.taken(call);
    if (held.size() > mostHeld || bytes > mostBodyBytes || !core.offer(call)) {
      call.finish(FinalAnswer.silent(Reason.BUSY), Clock.micros());
    }
  }

  /** The client of a call left. */
  void gone(NodeCall call) {
    call.finish(FinalAnswer.silent(Reason.GONE), Clock.micros());
    core.clientGone(call);
  }

  /** Counts something for the log. */
  void count(String what) {
    counts.count(what);
  }

  /** Looks at the time limits of connections; called now and then. */
  public void tidy() {
    long now = Clock.micros();
    for (FrontConnection connection : connections) {
      connection.check(now, SILENT, IDLE);
      connection.closeIfStuck(now, STUCK);
    }
  }

  /** Calls held, connections, and what was counted, for the log. */
  public String story() {
    return connections.size() + " connections, " + held.size() + " calls held, " + counts;
  }

  /** Calls that have no final answer. */
  public int held() {
    return held.size();
  }

  /** Connections that are open. */
  public int connections() {
    return connections.size();
  }

  /** True where no request is open and every answer is written. */
  public boolean quiet() {
    return held.isEmpty() && connections.stream().allMatch(c -> c.unanswered() == 0 && c.flushed());
  }

  /** Takes no new connections; open ones go on. */
  public void stopAccepting() {
    server.stopAccepting();
  }

  /** Tells every client that nothing more comes. */
  public void finish() {
    connections.forEach(FrontConnection::finish);
  }

  @Override
  public void close() {
    if (server != null) {
      server.close();
    }
    connections.forEach(FrontConnection::close);
  }
}
