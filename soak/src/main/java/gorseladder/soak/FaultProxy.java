package gorseladder.soak;

import gorseladder.runtime.Clock;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Forwards connections to a backend; it can hold bytes back, reset open connections, refuse new ones or delay their
 * establishment. Two threads per connection. Thread-safe.
 */
final class FaultProxy implements Closeable {
  private static final int BUFFER_BYTES = 16_384;
  private static final int STACK_BYTES = 128 << 10;
  private static final int BACKLOG = 256;
  private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
    Thread thread = new Thread(null, task, "soak", STACK_BYTES);
    thread.setDaemon(true);
    return thread;
  });
  private static final int BLOCKER_CONNECT_MILLIS = 60;
  /**
   * A port that is free for a moment may be given to another loopback socket; binding is retried for about a second.
   */
  private static final int MAX_BIND_RETRIES = 100;

  private static final int BIND_PAUSE_MILLIS = 10;

  private final InetSocketAddress target;
  private final int port;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private final List<Evidence.Span> holds = new ArrayList<>();
  private final List<Socket> blockers = new ArrayList<>();
  private volatile ServerSocket server;
  private volatile long holdUntil;
  private volatile long acceptedCount;
  private volatile long firstAnswerDelay;
  private volatile long blockedSince;
  private volatile boolean closed;

  /** Creates a proxy on a free port of the loopback interface. */
  FaultProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    server = listen(0, BACKLOG);
    port = server.getLocalPort();
    accept(server);
  }

  private static ServerSocket listen(int port, int backlog) throws IOException {
    ServerSocket listening = new ServerSocket();
    listening.setReuseAddress(true);
    listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), backlog);
    return listening;
  }

  /** The address on which the proxy listens. */
  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** The number of connections accepted so far. */
  long acceptedCount() {
    return acceptedCount;
  }

  /** Runs a task on a pooled thread; threads are reused because connections come and go by the hundred. */
  static void start(String name, Runnable task) {
    THREADS.execute(() -> {
      Thread.currentThread().setName(name);
      task.run();
    });
  }

  private static void pauseBeforeBind() throws IOException {
    try {
      Thread.sleep(BIND_PAUSE_MILLIS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private void accept(ServerSocket from) {
    start("proxy-accept", () -> {
      try {
        while (true) {
          Socket client = from.accept();
          acceptedCount++;
          forward(client);
        }
      } catch (IOException e) {
        // The server socket was closed.
      }
    });
  }

  private void forward(Socket client) {
    Socket backend = new Socket();
    openSockets.add(client);
    openSockets.add(backend);
    start("proxy-connect", () -> {
      try {
        backend.connect(target);
        client.setTcpNoDelay(true);
        backend.setTcpNoDelay(true);
        start("proxy-back", () -> copyAnswers(backend, client));
        copy(client, backend);
      } catch (IOException e) {
        reset(client);
        reset(backend);
      }
    });
  }

  /** Forwards answers, the first one of a connection only after the configured delay. */
  private void copyAnswers(Socket backend, Socket client) {
    try {
      Thread.sleep(firstAnswerDelay / 1_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    copy(backend, client);
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        awaitHoldEnd();
        out.write(buffer, 0, count);
      }
      to.shutdownOutput();
    } catch (IOException e) {
      reset(from);
      reset(to);
    }
    if (from.isInputShutdown() || to.isClosed()) {
      removeSocket(from);
    }
  }

  private void removeSocket(Socket socket) {
    openSockets.remove(socket);
  }

  private void awaitHoldEnd() throws IOException {
    try {
      for (long left = holdUntil - Clock.micros(); left > 0; left = holdUntil - Clock.micros()) {
        Thread.sleep(Math.max(1, left / 1_000));
      }
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private void reset(Socket socket) {
    openSockets.remove(socket);
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // The socket has already ended.
    }
  }

  /** Delays the first answer on each connection opened from now on, in microseconds. */
  void delayFirstAnswer(long micros) {
    firstAnswerDelay = micros;
  }

  /** Holds all bytes back for this long. */
  void hold(long micros) {
    long now = Clock.micros();
    synchronized (holds) {
      holds.add(new Evidence.Span(now, now + micros));
    }
    holdUntil = Math.max(holdUntil, now + micros);
  }

  /** Returns an upper bound of the delay of bytes that pass at a moment; it may be too high but is never too low. */
  long maxDelayAt(long at) {
    synchronized (holds) {
      return holds.stream()
          .filter(span -> at >= span.from() && at <= span.to() + BLOCKER_CONNECT_MILLIS * 1_000L)
          .mapToLong(span -> span.to() - span.from())
          .sum();
    }
  }

  /** Resets all connections. */
  void resetAll() {
    List.copyOf(openSockets).forEach(this::reset);
  }

  /** Refuses new connections. */
  void refuseConnections() throws IOException {
    server.close();
  }

  /** Accepts connections again. */
  void acceptAgain() throws IOException {
    for (int retries = 0; !closed && server.isClosed(); retries++) {
      try {
        server = listen(port, BACKLOG);
        accept(server);
      } catch (BindException e) {
        if (retries > MAX_BIND_RETRIES) {
          throw e;
        }
        pauseBeforeBind();
      }
    }
  }

  /** Delays new connections: the operating system leaves them unanswered until {@link #unblockConnections}. */
  void blockConnections() throws IOException {
    blockedSince = Clock.micros();
    server.close();
    for (int retries = 0; server.isClosed(); retries++) {
      try {
        server = listen(port, 1);
      } catch (BindException e) {
        // Another loopback socket was given the port for a moment.
        if (retries > MAX_BIND_RETRIES) {
          throw e;
        }
        pauseBeforeBind();
      }
    }
    synchronized (blockers) {
      try {
        while (true) {
          Socket blocker = new Socket();
          blockers.add(blocker);
          blocker.connect(address(), BLOCKER_CONNECT_MILLIS);
        }
      } catch (SocketTimeoutException e) {
        // The listen queue is full.
      }
    }
  }

  /** Lets waiting connections be established. */
  void unblockConnections() throws IOException {
    // The operating system may have established one connection, and keeps what is written on it
    // until it is accepted here.
    synchronized (holds) {
      holds.add(new Evidence.Span(blockedSince, Clock.micros()));
    }
    synchronized (blockers) {
      for (Socket blocker : blockers) {
        blocker.close();
      }
      blockers.clear();
    }
    accept(server);
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
    resetAll();
  }
}
