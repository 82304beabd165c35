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
import java.util.concurrent.ThreadFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts connections and gives each a thread of its own with a small stack. Any thread. */
public final class HttpServer implements Closeable {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  private static final long MOST_JOIN_MILLIS = 2_000;
  /** Before the system is asked again for what it did not have. */
  private static final long PAUSE_MILLIS = 20;

  private static final int LAST_TRIES = 8;

  /** What is done with connections. */
  public interface Handler {
    /** Serves one, on a thread of its own; it is closed when this returns. */
    void serve(SocketChannel connection) throws IOException;

    /**
     * A connection was accepted; false turns it away. On the accepting thread and for one connection at a time, so that what is
     * counted here cannot be passed by many at once. Must not block.
     *
     * @param waitedSince since when the connection may have waited to be accepted, with what was sent on it
     */
    default boolean admit(SocketChannel connection, long waitedSince) {
      return true;
    }

    /** A connection that was admitted ends unserved: the system has no thread for it. */
    default void unserved(SocketChannel connection) {}
  }

  private final ServerSocketChannel server;
  private final Selector selector;
  private final Handler handler;
  private final ThreadFactory threads;
  private final Set<SocketChannel> open = ConcurrentHashMap.newKeySet();
  /** Connections accepted for which there was no thread yet; the accepting thread's own. */
  private final ArrayDeque<SocketChannel> unstarted = new ArrayDeque<>();

  private final Thread acceptor;
  private volatile boolean stopped;
  /** Since when accepting fails; 0 while it does not. The accepting thread's own. */
  private long failingSince;

  private HttpServer(
      ServerSocketChannel server, Selector selector, String name, int stackBytes, Handler handler) {
    this.server = server;
    this.selector = selector;
    this.handler = handler;
    this.threads = Threads.factory(name, stackBytes);
    this.acceptor = Threads.start(name + "-accept", stackBytes, this::accept);
  }

  /** Listens; the port may be 0. */
  public static HttpServer listen(
      InetSocketAddress at, String name, int stackBytes, Handler handler) throws IOException {
    ServerSocketChannel server = ServerSocketChannel.open();
    try {
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      server.bind(at, 1024);
      server.configureBlocking(false);
      Selector selector = Selector.open();
      server.register(selector, SelectionKey.OP_ACCEPT);
      return new HttpServer(server, selector, name, stackBytes, handler);
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
    try (selector;
        server) {
      while (!stopped) {
        await();
        startWaiting();
        acceptAll();
      }
      // What the system had accepted before the listener goes belongs to clients that may have
      // asked already; also where accepting fails just now.
      acceptAll();
      for (int tries = 0;
          (failingSince > 0 || !unstarted.isEmpty()) && tries < LAST_TRIES;
          tries++) {
        pause();
        startWaiting();
        acceptAll();
      }
      for (SocketChannel connection : unstarted) {
        LOG.error("no thread for a connection before the end");
        open.remove(connection);
        handler.unserved(connection);
        connection.close();
      }
    } catch (IOException e) {
      LOG.error("accepting ended", e);
    }
  }

  /** Waits until there is something to accept. */
  private void await() {
    try {
      selector.select(unstarted.isEmpty() ? 0 : PAUSE_MILLIS);
      selector.selectedKeys().clear();
    } catch (IOException | RuntimeException e) {
      LOG.warn("waiting for connections failed: {}", e.toString());
      pause();
    }
  }

  /** Accepts all that the system holds ready. What fails here is over in a moment: the listener stands as long as the program. */
  private void acceptAll() {
    // All that waits now may have waited since accepting began to fail.
    long waitedSince = failingSince > 0 ? failingSince : Clock.micros();
    try {
      for (SocketChannel connection = server.accept();
          connection != null;
          connection = server.accept()) {
        if (handler.admit(connection, waitedSince)) {
          open.add(connection);
          start(connection);
        } else {
          connection.close();
        }
      }
      failingSince = 0;
    } catch (IOException | RuntimeException | OutOfMemoryError e) {
      if (failingSince == 0) {
        LOG.warn("accept failed: {}", e.toString());
        failingSince = waitedSince;
      }
      pause();
    }
  }

  /**
   * Starts the thread of a connection. Where the system has none for a moment the connection waits for one: on it a client may
   * have asked already.
   */
  private void start(SocketChannel connection) {
    if (!Threads.mayStart(threads.newThread(() -> serve(connection)))) {
      unstarted.addLast(connection);
    }
  }

  private void startWaiting() {
    for (int left = unstarted.size(); left > 0; left--) {
      start(unstarted.pollFirst());
    }
  }

  private void pause() {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void serve(SocketChannel connection) {
    try (connection) {
      handler.serve(connection);
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
      acceptor.join(MOST_JOIN_MILLIS);
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
  }
}
