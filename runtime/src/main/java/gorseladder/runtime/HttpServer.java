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
 * Accepts connections and gives each a thread of its own with a small stack. Where no thread can be had a connection
 * waits for one; those on which something can be read come first, and the handler is asked to end one that can be
 * spared for them.
 *
 * <p>Any thread.
 */
public final class HttpServer implements Closeable {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  private static final long MAX_JOIN_MILLIS = 2_000;
  /** Before the system is asked again for what it did not have. */
  private static final long RETRY_PAUSE_MILLIS = 20;

  /** After the end of accepting, so often what waits for a thread is looked at; with the pause about a second. */
  private static final int MAX_FINAL_TRIES = 50;

  /**
   * Of calls to accept that fail one after the other so many are made without a pause. Guards against a queue of
   * connections that grows faster than one is accepted after each pause, where many calls fail: clients that waited
   * behind a crowd were answered after their time. It costs a few vain calls.
   */
  private static final int MAX_TRIES_WITHOUT_PAUSE = 10;

  /** Threads that stand ready where no others are given. */
  private static final int MIN_IDLE_THREADS = 4;

  /** What is done with connections. */
  public interface Handler {
    /** Serves one, on a thread of its own; it is closed when this returns. */
    void serve(SocketChannel connection) throws IOException;

    /**
     * The same.
     *
     * @param earliest the earliest time at which what can be read now may have come ({@link Clock#micros()}): the
     *     connection may have waited to be accepted, or for its thread
     */
    default void serve(SocketChannel connection, long earliestArrival) throws IOException {
      serve(connection);
    }

    /**
     * A connection was accepted; false turns it away. On the accepting thread and for one connection at a time, so that
     * what is counted here cannot be passed by many at once. Must not block.
     *
     * @param waitedSince since when the connection may have waited to be accepted, with what was sent on it
     */
    default boolean admit(SocketChannel connection, long waitedSince) {
      return true;
    }

    /** A connection that was admitted ends unserved: the system has no thread for it. */
    default void unserved(SocketChannel connection) {}

    /**
     * A connection on which something can be read waits for a thread: ends one that has a thread and can be spared.
     * Must not block.
     *
     * @param waited for how long it has waited, in microseconds
     */
    default void reclaimThread(long waited) {}
  }

  private final ServerSocketChannel server;
  private final Selector selector;
  private final Handler handler;
  private final ThreadCache threads;
  private final boolean ownsThreads;
  private final Set<SocketChannel> open = ConcurrentHashMap.newKeySet();
  /** Connections accepted for which there was no thread yet; the accepting thread's own. */
  private final ArrayDeque<WaitingConnection> waitingConnections = new ArrayDeque<>();

  private final Thread acceptor;
  private final CountDownLatch addressFree = new CountDownLatch(1);
  private volatile boolean stopped;
  /** Connections wait for a thread. */
  private volatile boolean waiting;
  /** Since when accepting fails; 0 while it does not. The accepting thread's own. */
  private long acceptFailsSince;
  /** Connections accepted so far; the accepting thread's own. */
  private long accepted;

  /** A connection that has no thread yet. */
  private static final class WaitingConnection {
    private final SocketChannel connection;
    private long earliestArrival;
    private boolean hasData;

    /** One on which nothing can have come before that time. */
    private WaitingConnection(SocketChannel connection, long waitedSince) {
      this.connection = connection;
      this.earliestArrival = waitedSince;
    }

    /** True once something can be read on it. */
    private boolean hasData() {
      if (!hasData) {
        hasData = UnreadBytes.on(connection);
        earliestArrival = hasData ? earliestArrival : Clock.micros();
      }
      return hasData;
    }

    /** The earliest time at which what can be read on it may have come: when it was last looked at in vain. */
    private long earliestArrival() {
      return earliestArrival;
    }
  }

  private HttpServer(
      ServerSocketChannel server,
      Selector selector,
      String name,
      int stackBytes,
      ThreadCache sharedThreads,
      Handler handler) {
    this.server = server;
    this.selector = selector;
    this.handler = handler;
    this.ownsThreads = sharedThreads == null;
    this.threads =
        sharedThreads == null ? new ThreadCache(name, MIN_IDLE_THREADS, stackBytes) : sharedThreads;
    threads.whenFree(this::wakeIfWaiting);
    this.acceptor = Threads.start(name + "-accept", stackBytes, this::accept);
  }

  /** Listens, with threads of its own; the port may be 0. */
  public static HttpServer listen(
      InetSocketAddress at, String name, int stackBytes, Handler handler) throws IOException {
    return listen(at, name, stackBytes, null, handler);
  }

  /** Listens, with threads that serve others too; null for threads of its own. The port may be 0. */
  public static HttpServer listen(
      InetSocketAddress at, String name, int stackBytes, ThreadCache threads, Handler handler)
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

  /** Where it listens. */
  public InetSocketAddress address() {
    try {
      return (InetSocketAddress) server.getLocalAddress();
    } catch (IOException e) {
      throw new IllegalStateException("closed", e);
    }
  }

  /** Connections that are open. */
  public int connections() {
    return open.size();
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
        // What the system had accepted before the listener goes belongs to clients that may have
        // asked already; also where accepting fails just now.
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

  /** Nothing new comes: serves what waits for a thread and asked something, and ends the others. */
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

  /** Waits until there is something to accept. */
  private void awaitConnections() {
    try {
      selector.select(waitingConnections.isEmpty() ? 0 : RETRY_PAUSE_MILLIS);
      selector.selectedKeys().clear();
    } catch (IOException | RuntimeException e) {
      LOG.warn("waiting for connections failed: {}", e.toString());
      pause();
    }
  }

  /**
   * Accepts all that the system holds ready. What fails here is over in a moment: the listener stands as long as the
   * program.
   */
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

  /** Accepts until none waits; false where a call failed, and then more may wait. */
  private boolean acceptUntilNone() {
    // All that waits now may have waited since accepting began to fail.
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
   * Gives a connection its thread. Where there is none for a moment the connection waits for one: on it a client may
   * have asked already.
   */
  private void start(WaitingConnection candidate) {
    if (!tryGiveThread(candidate)) {
      waitingConnections.addLast(candidate);
      waiting = true;
    }
  }

  /**
   * Gives it a thread, where there is one for it. A silent connection gets none of the last: a crowd of them would take
   * what clients that ask, and connections that carry their calls, need.
   */
  private boolean tryGiveThread(WaitingConnection candidate) {
    boolean hasData = candidate.hasData();
    long earliestArrival = candidate.earliestArrival();
    Runnable serving = () -> serve(candidate.connection, earliestArrival);
    return hasData ? threads.execute(serving) : threads.executeIfSpare(serving);
  }

  /** Gives threads to connections that wait for one: those first on which something can be read. */
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
    for (int left = waitingConnections.size(); left > 0; left--) {
      WaitingConnection candidate = waitingConnections.pollFirst();
      boolean eligible = candidate.hasData() || !withDataOnly;
      if (!eligible || !tryGiveThread(candidate)) {
        waitingConnections.addLast(candidate);
        if (eligible && withDataOnly) {
          handler.reclaimThread(Clock.micros() - candidate.earliestArrival());
        }
      }
    }
  }

  /** A thread has become free: the accepting thread may give it to a connection that waits. */
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

  /** Stops accepting once all that the system holds is accepted; open connections go on. Then the address is free. */
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
