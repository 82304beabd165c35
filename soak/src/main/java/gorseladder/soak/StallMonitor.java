package gorseladder.soak;

import gorseladder.runtime.Clock;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Notices when the soak's own threads got no processor for a while, which makes the times that its clients and runners
 * record late by as much. Every few milliseconds a byte travels through a proxy and back, over as many threads as a
 * request passes in the soak: one on an open connection, another on a new connection each time, like a first request to
 * a runner. Spans in which that took long are kept, so that the oracle can tell a late dispatcher from a late soak.
 * Thread-safe.
 */
final class StallMonitor implements Closeable {
  private static final long PROBE_INTERVAL_MILLIS = 5;
  private static final long MIN_STALL_MICROS = 15_000;
  /** Threads that were delayed together resume one after the other. */
  private static final long RECOVERY_MICROS = 30_000;

  private final Probe openConnection = new Probe();
  private final Probe newConnections = new Probe();
  private volatile boolean stopped;

  /** The spans in which one kind of round trip took too long. Thread-safe. */
  private static final class Probe {
    private final List<Evidence.Span> spans = new ArrayList<>();
    private long longest;
    private long total;

    private synchronized void record(long from, long to) {
      if (to - from > PROBE_INTERVAL_MILLIS * 1_000 + MIN_STALL_MICROS) {
        spans.add(new Evidence.Span(from, to));
        longest = Math.max(longest, to - from);
        total += to - from;
      }
    }

    private synchronized long maxDelay(long from, long to) {
      return spans.stream()
          .filter(span -> span.from() <= to && span.to() + RECOVERY_MICROS >= from)
          .mapToLong(span -> span.to() - span.from())
          .sum();
    }

    private synchronized long longest() {
      return longest;
    }

    private synchronized long total() {
      return total;
    }
  }

  /** A loop that sends probes until the soak ends. */
  private interface ProbeLoop {
    void run() throws IOException, InterruptedException;
  }

  /** Starts to send probes. */
  StallMonitor() {
    start("own-stalls", this::probeOpenConnection);
    start("own-stalls-connects", this::probeNewConnections);
  }

  private static void start(String name, ProbeLoop loop) {
    FaultProxy.start(name, () -> {
      try {
        loop.run();
      } catch (IOException e) {
        System.err.println("the soak's own: cannot measure its stalls: " + e);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
  }

  private void probeOpenConnection() throws IOException, InterruptedException {
    try (ServerSocket echo = echoServer();
        FaultProxy proxy = new FaultProxy((InetSocketAddress) echo.getLocalSocketAddress());
        Socket client = new Socket()) {
      client.connect(proxy.address());
      client.setTcpNoDelay(true);
      while (!stopped) {
        sendProbe(openConnection, client, Clock.micros());
      }
    }
  }

  private void probeNewConnections() throws IOException, InterruptedException {
    try (ServerSocket echo = echoServer();
        FaultProxy proxy = new FaultProxy((InetSocketAddress) echo.getLocalSocketAddress())) {
      while (!stopped) {
        long startedAt = Clock.micros();
        try (Socket client = new Socket()) {
          client.connect(proxy.address());
          client.setTcpNoDelay(true);
          sendProbe(newConnections, client, startedAt);
        }
      }
    }
  }

  private static void sendProbe(Probe probe, Socket client, long startedAt)
      throws IOException, InterruptedException {
    client.getOutputStream().write(1);
    client.getInputStream().read();
    Thread.sleep(PROBE_INTERVAL_MILLIS);
    probe.record(startedAt, Clock.micros());
  }

  private static ServerSocket echoServer() throws IOException {
    ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    FaultProxy.start("echo-accept", () -> {
      try {
        while (true) {
          Socket peer = server.accept();
          FaultProxy.start("echo", () -> echo(peer));
        }
      } catch (IOException e) {
        // The soak has ended.
      }
    });
    return server;
  }

  private static void echo(Socket peer) {
    try (peer) {
      peer.setTcpNoDelay(true);
      for (int value = peer.getInputStream().read();
          value >= 0;
          value = peer.getInputStream().read()) {
        peer.getOutputStream().write(value);
      }
    } catch (IOException e) {
      // The other side has closed the connection.
    }
  }

  /** Returns an upper bound of the delay of times recorded in a span. */
  long maxDelay(long from, long to) {
    return Math.max(openConnection.maxDelay(from, to), newConnections.maxDelay(from, to));
  }

  /** The longest stall so far, in microseconds. */
  long longest() {
    return Math.max(openConnection.longest(), newConnections.longest());
  }

  /** The sum of all stalls, in microseconds: a run with many of them proves little. */
  long total() {
    return Math.max(openConnection.total(), newConnections.total());
  }

  @Override
  public void close() {
    stopped = true;
  }
}
