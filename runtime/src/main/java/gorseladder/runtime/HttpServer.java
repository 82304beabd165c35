package gorseladder.runtime;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts connections and gives each a thread of its own with a small stack. Any thread. */
public final class HttpServer implements Closeable {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  private static final long MOST_JOIN_MILLIS = 2_000;

  /** What is done with a connection; it is closed when this returns. */
  public interface Handler {
    void serve(SocketChannel connection) throws IOException;
  }

  private final ServerSocketChannel server;
  private final Handler handler;
  private final ThreadFactory threads;
  private final Set<SocketChannel> open = ConcurrentHashMap.newKeySet();
  private final Thread acceptor;
  private volatile boolean stopped;

  private HttpServer(ServerSocketChannel server, String name, int stackBytes, Handler handler) {
    this.server = server;
    this.handler = handler;
    this.threads = Threads.factory(name, stackBytes);
    this.acceptor = Threads.start(name + "-accept", stackBytes, this::accept);
  }

  /** Listens; the port may be 0. */
  public static HttpServer listen(InetSocketAddress at, String name, int stackBytes, Handler handler)
      throws IOException {
    ServerSocketChannel server = ServerSocketChannel.open();
    try {
      server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      server.bind(at, 1024);
    } catch (IOException e) {
      server.close();
      throw new IOException("cannot listen at " + at + ": " + e.getMessage(), e);
    }
    return new HttpServer(server, name, stackBytes, handler);
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
    while (!stopped) {
      try {
        SocketChannel connection = server.accept();
        open.add(connection);
        start(connection);
      } catch (IOException e) {
        if (!stopped) {
          LOG.warn("accept failed: {}", e.toString());
          pause();
        }
      }
    }
  }

  /** The system may have no thread left; then this one connection is turned away and the others go on. */
  private void start(SocketChannel connection) throws IOException {
    try {
      threads.newThread(() -> serve(connection)).start();
    } catch (OutOfMemoryError e) {
      LOG.error("no thread for a connection", e);
      open.remove(connection);
      connection.close();
      pause();
    }
  }

  private void pause() {
    try {
      Thread.sleep(20);
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

  /** Stops accepting; open connections go on. The address is free once this returns. */
  public void stopAccepting() {
    stopped = true;
    try {
      server.close();
      // The system holds the address until the thread that waits in accept has come back.
      acceptor.join(MOST_JOIN_MILLIS);
    } catch (IOException e) {
      LOG.debug("closing the listener: {}", e.toString());
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
