package gorseladder.runtime;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections and serves each on a thread of its own with a small stack. If the system has no thread, a
 * connection waits for one; connections with data to read are served first, and for them the handler is asked to
 * reclaim a thread from an idle connection.
 *
 * <p>Thread safe.
 */
public final class HttpServer implements Closeable {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  private static final long MAX_JOIN_MILLIS = 2_000;
  /** Pause before a failed request for a system resource is repeated. */
  private static final long RETRY_PAUSE_MILLIS = 20;

  /** Tries to serve waiting connections after accepting has ended; with the pause about one second. */
  private static final int MAX_FINAL_TRIES = 50;

  /**
   * Consecutive failed calls to accept that are made without a pause. With a pause after each failure, the queue of
   * connections grew faster than they were accepted, and clients behind a crowd were answered after their
   * deadline. The cost is a few useless calls.
   */
  private static final int MAX_TRIES_WITHOUT_PAUSE = 10;

  /** Threads that are reclaimed before the next look; each search for one walks all connections. */
  private static final int MAX_RECLAIMS_PER_PASS = 16;

  /** Idle threads kept if no thread cache is given. */
  private static final int MIN_IDLE_THREADS = 4;

  /** Serves the connections. */
  public interface Handler {
    /** Serves a connection on a thread of its own; the connection is closed when this method returns. */
    void serve(SocketChannel connection) throws IOException;

    /**
     * Serves a connection on a thread of its own; the connection is closed when this method returns.
     *
     * @param earliestArrival the earliest time at which the data that can be read now may have arrived
     *     ({@link Clock#micros()}), since the connection may have waited to be accepted or for its thread
     */
    default void serve(SocketChannel connection, long earliestArrival) throws IOException {
      serve(connection);
    }

    /**
     * Decides whether an accepted connection is kept; false closes it. Called on the accepting thread for one
     * connection at a time, so that concurrent connections cannot exceed a limit that is checked here. Must not block.
     *
     * @param waitedSince since when the connection, and data sent on it, may have waited to be accepted
     */
    default boolean admit(SocketChannel connection, long waitedSince) {
      return true;
    }

    /** Called when an admitted connection is closed without being served, because the system has no thread for it. */
    default void unserved(SocketChannel connection) {}

    /**
     * Closes an idle connection, if possible, so that its thread can serve a waiting connection with data to read. Must
     * not block.
     *
     * @param waited how long that connection has waited, in microseconds
     */
    default void reclaimThread(long waited) {}
  }

  private final ServerSocketChannel server;
  private final Selector selector;
  private final Handler handler;
  private final ThreadCache.Share threads;
  private final boolean ownsThreads;
  private final Set<SocketChannel> open = ConcurrentHashMap.newKeySet();
  /** Accepted connections that wait for a thread; used by the accepting thread only. */
  private final ArrayDeque<WaitingConnection> waitingConnections = new ArrayDeque<>();

  private final Thread acceptor;
  private final CountDownLatch addressFree = new CountDownLatch(1);
  private volatile boolean stopped;
  /** Whether connections wait for a thread. */
  private volatile boolean waiting;
  /** Since when accepting fails, 0 while it succeeds; used by the accepting thread only. */
  private long acceptFailsSince;
  /** Connections accepted so far; used by the accepting thread only. */
  private long accepted;

  /** A connection that waits for a thread. */
  private static final class WaitingConnection {
    private final SocketChannel connection;
    private long earliestArrival;
    private boolean hasData;

    /** A connection on which no data can have arrived before {@code waitedSince}. */
    private WaitingConnection(SocketChannel connection, long waitedSince) {
      this.connection = connection;
      this.earliestArrival = waitedSince;
    }

    /** Whether the connection has data to read. */
    private boolean hasData() {
      if (!hasData) {
        hasData = UnreadBytes.on(connection);
        earliestArrival = hasData ? earliestArrival : Clock.micros();
      }
      return hasData;
    }

    /** The earliest time at which its data may have arrived: the last check that found none. */
    private long earliestArrival() {
      return earliestArrival;
    }
  }

  private HttpServer(
      ServerSocketChannel server,
      Selector selector,
      String name,
      int stackBytes,
      ThreadCache.Share sharedThreads,
      Handler handler) {
    this.server = server;
    this.selector = selector;
    this.handler = handler;
    this.ownsThreads = sharedThreads == null;
    this.threads = sharedThreads == null
        ? new ThreadCache(name, MIN_IDLE_THREADS, stackBytes).share(Integer.MAX_VALUE)
        : sharedThreads;
    threads.whenFree(this::wakeIfWaiting);
    this.acceptor = Threads.start(name + "-accept", stackBytes, this::accept);
  }

  /** Listens with threads of its own; the port may be 0. */
  public static HttpServer listen(
      InetSocketAddress at, String name, int stackBytes, Handler handler) throws IOException {
    return listen(at, name, stackBytes, null, handler);
  }

  /** Listens with shared threads, or with threads of its own if {@code threads} is null; the port may be 0. */
  public static HttpServer listen(
      InetSocketAddress at, String name, int stackBytes, ThreadCache.Share threads, Handler handler)
      throws IOException {
    ServerSocketChannel server = ServerSocketChannel.open();
    try {
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      server.bind(at, 1024);
      server.configureBlocking(false);
      Selector selector = Selector.open();
      server.register(selector, SelectionKey.OP_ACCEPT);
      return new HttpServer(server, selector, name, stackBytes, threads, handler);
    } catch (IOException e) {
      server.close();
      throw new IOException("cannot listen at " + at + ": " + e.getMessage(), e);
    }
  }

  /** The address on which the server listens. */
  public InetSocketAddress address() {
    try {
      return (InetSocketAddress) server.getLocalAddress();
    } catch (IOException e) {
      throw new IllegalStateException("closed", e);
    }
  }

  /** Number of open connections. */
  public int connections() {
    return open.size();
  }

  /** Whether bytes on an open connection, with or without a thread, wait to be read. */
  public boolean hasUnreadBytes() {
    return open.stream().anyMatch(UnreadBytes::on);
  }

  private void accept() {
    try {
      try (selector;
          server) {
        while (!stopped) {
          Threads.guarded("listener", this::awaitConnections);
          Threads.guarded("listener", this::startWaiting);
          acceptAll();
        }
        // Connections in the backlog may already carry requests, so they are accepted before the
        // listener is closed, even if accepting fails at the moment.
        acceptAll();
        for (int tries = 0; acceptFailsSince > 0 && tries < MAX_FINAL_TRIES; tries++) {
          pause();
          acceptAll();
        }
      }
      addressFree.countDown();
      serveRemaining();
    } catch (IOException e) {
      LOG.error("accepting ended", e);
    } finally {
      addressFree.countDown();
    }
  }

  /** After accepting has ended: serves waiting connections that have data, and closes the others. */
  private void serveRemaining() throws IOException {
    for (int tries = 0; !waitingConnections.isEmpty() && tries < MAX_FINAL_TRIES; tries++) {
      for (int left = waitingConnections.size(); left > 0; left--) {
        WaitingConnection candidate = waitingConnections.pollFirst();
        if (candidate.hasData()) {
          waitingConnections.addLast(candidate);
        } else {
          endUnserved(candidate.connection);
        }
      }
      startWaiting();
      pause();
    }
    for (WaitingConnection candidate : waitingConnections) {
      LOG.error("no thread for a connection before the end");
      endUnserved(candidate.connection);
    }
  }

  private void endUnserved(SocketChannel connection) throws IOException {
    open.remove(connection);
    handler.unserved(connection);
    connection.close();
  }

  /** Waits for a connection to accept, or for the next try if connections wait for a thread. */
  private void awaitConnections() {
    try {
      selector.select(waitingConnections.isEmpty() ? 0 : RETRY_PAUSE_MILLIS);
      selector.selectedKeys().clear();
    } catch (IOException | RuntimeException e) {
      LOG.warn("waiting for connections failed: {}", e.toString());
      pause();
    }
  }

  /** Accepts all connections in the backlog. Failures are transient and do not end the listener. */
  private void acceptAll() {
    for (int failures = 0; failures < MAX_TRIES_WITHOUT_PAUSE; failures++) {
      long before = accepted;
      if (acceptUntilNone()) {
        return;
      }
      failures = accepted > before ? 0 : failures;
    }
    pause();
  }

  /** Accepts until the backlog is empty; returns false if a call failed, in which case more may wait. */
  private boolean acceptUntilNone() {
    // Every connection in the backlog may have waited since accepting began to fail.
    long waitedSince = acceptFailsSince > 0 ? acceptFailsSince : Clock.micros();
    try {
      for (SocketChannel connection = server.accept();
          connection != null;
          connection = server.accept()) {
        accepted++;
        if (handler.admit(connection, waitedSince)) {
          open.add(connection);
          start(new WaitingConnection(connection, waitedSince));
        } else {
          connection.close();
        }
      }
      acceptFailsSince = 0;
      return true;
    } catch (IOException | RuntimeException | Error e) {
      if (acceptFailsSince == 0) {
        LOG.warn("accept failed: {}", e.toString());
        acceptFailsSince = waitedSince;
      }
      return false;
    }
  }

  /**
   * Gives a connection its thread. If there is none at the moment, the connection waits, since it may already carry a
   * request.
   */
  private void start(WaitingConnection candidate) {
    if (!tryGiveThread(candidate)) {
      waitingConnections.addLast(candidate);
      waiting = true;
    }
  }

  /**
   * Gives a connection a thread, if one is available. A connection without data gets none of the last idle threads:
   * many such connections would take the threads that clients with requests, and connections to runners, need.
   */
  private boolean tryGiveThread(WaitingConnection candidate) {
    boolean hasData = candidate.hasData();
    long earliestArrival = candidate.earliestArrival();
    Runnable serving = () -> serve(candidate.connection, earliestArrival);
    return hasData ? threads.execute(serving) : threads.executeIfSpare(serving);
  }

  /** Gives threads to waiting connections, first to those that have data. */
  private void startWaiting() {
    waitingConnections.removeIf(
        candidate -> !candidate.connection.isOpen() && open.remove(candidate.connection));
    if (!waitingConnections.isEmpty()) {
      startWaiting(true);
      startWaiting(false);
    }
    waiting = !waitingConnections.isEmpty();
  }

  private void startWaiting(boolean withDataOnly) {
    int reclaims = 0;
    for (int left = waitingConnections.size(); left > 0; left--) {
      WaitingConnection candidate = waitingConnections.pollFirst();
      boolean eligible = candidate.hasData() || !withDataOnly;
      if (!eligible || !tryGiveThread(candidate)) {
        waitingConnections.addLast(candidate);
        if (eligible && withDataOnly && reclaims++ < MAX_RECLAIMS_PER_PASS) {
          handler.reclaimThread(Clock.micros() - candidate.earliestArrival());
        }
      }
    }
  }

  /** Called when a thread becomes free, so that the accepting thread can give it to a waiting connection. */
  private void wakeIfWaiting() {
    if (waiting) {
      selector.wakeup();
    }
  }

  private void pause() {
    try {
      Thread.sleep(RETRY_PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void serve(SocketChannel connection, long earliestArrival) {
    try (connection) {
      handler.serve(connection, earliestArrival);
    } catch (IOException e) {
      LOG.debug("connection ended: {}", e.toString());
    } finally {
      open.remove(connection);
    }
  }

  /** Accepts the backlog, then stops accepting and frees the address; open connections continue. */
  public void stopAccepting() {
    stopped = true;
    selector.wakeup();
    try {
      if (!addressFree.await(MAX_JOIN_MILLIS, TimeUnit.MILLISECONDS)) {
        LOG.warn("accepting has not ended after {} ms", MAX_JOIN_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Stops accepting and closes every connection. */
  @Override
  public void close() {
    stopAccepting();
    for (SocketChannel connection : open) {
      try {
        connection.close();
      } catch (IOException e) {
        LOG.debug("closing a connection: {}", e.toString());
      }
    }
    if (ownsThreads) {
      threads.close();
    }
  }
}
