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
 * Notices when the soak's own threads got no processor for a while: what its clients and runners wrote down as times is
 * late by as much. A byte goes round through a proxy and back every few milliseconds, over as many threads as a request
 * passes in the soak: one on a connection that stands, another on a new one each time, as a first request to a runner
 * does. Where that takes long the span is kept, so that the oracle can tell a late dispatcher from a late soak. Any
 * thread.
 */
final class OwnStalls implements Closeable {
  private static final long TICK_MILLIS = 5;
  private static final long STALL = 15_000;
  /** Threads that were held up together come back one after the other. */
  private static final long AFTER = 30_000;

  private final Probe standing = new Probe();
  private final Probe connecting = new Probe();
  private volatile boolean stopped;

  /** The spans that one sort of round took too long for; any thread. */
  private static final class Probe {
    private final List<Evidence.Span> spans = new ArrayList<>();
    private long longest;
    private long total;

    private synchronized void note(long from, long to) {
      if (to - from > TICK_MILLIS * 1_000 + STALL) {
        spans.add(new Evidence.Span(from, to));
        longest = Math.max(longest, to - from);
        total += to - from;
      }
    }

    private synchronized long late(long from, long to) {
      return spans.stream()
          .filter(span -> span.from() <= to && span.to() + AFTER >= from)
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

  /** One way to look, until the soak ends. */
  private interface Look {
    void run() throws IOException, InterruptedException;
  }

  /** Begins to look. */
  OwnStalls() {
    start("own-stalls", this::onOneConnection);
    start("own-stalls-connects", this::onNewConnections);
  }

  private static void start(String name, Look look) {
    FaultProxy.start(name, () -> {
      try {
        look.run();
      } catch (IOException e) {
        System.err.println("the soak's own: no look at its stalls: " + e);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
  }

  private void onOneConnection() throws IOException, InterruptedException {
    try (ServerSocket echo = echoServer();
        FaultProxy proxy = new FaultProxy((InetSocketAddress) echo.getLocalSocketAddress());
        Socket near = new Socket()) {
      near.connect(proxy.address());
      near.setTcpNoDelay(true);
      while (!stopped) {
        round(standing, near, Clock.micros());
      }
    }
  }

  private void onNewConnections() throws IOException, InterruptedException {
    try (ServerSocket echo = echoServer();
        FaultProxy proxy = new FaultProxy((InetSocketAddress) echo.getLocalSocketAddress())) {
      while (!stopped) {
        long before = Clock.micros();
        try (Socket near = new Socket()) {
          near.connect(proxy.address());
          near.setTcpNoDelay(true);
          round(connecting, near, before);
        }
      }
    }
  }

  private static void round(Probe probe, Socket near, long before)
      throws IOException, InterruptedException {
    near.getOutputStream().write(1);
    near.getInputStream().read();
    Thread.sleep(TICK_MILLIS);
    probe.note(before, Clock.micros());
  }

  private static ServerSocket echoServer() throws IOException {
    ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    FaultProxy.start("echo-accept", () -> {
      try {
        while (true) {
          Socket far = server.accept();
          FaultProxy.start("echo", () -> echo(far));
        }
      } catch (IOException e) {
        // The soak has ended.
      }
    });
    return server;
  }

  private static void echo(Socket far) {
    try (far) {
      far.setTcpNoDelay(true);
      for (int b = far.getInputStream().read(); b >= 0; b = far.getInputStream().read()) {
        far.getOutputStream().write(b);
      }
    } catch (IOException e) {
      // The other side has gone.
    }
  }

  /** By how much times in a span may be late at the most. */
  long late(long from, long to) {
    return Math.max(standing.late(from, to), connecting.late(from, to));
  }

  /** The longest stall so far, in microseconds. */
  long longest() {
    return Math.max(standing.longest(), connecting.longest());
  }

  /** All stalls together, in microseconds: with many of them a play says little. */
  long total() {
    return Math.max(standing.total(), connecting.total());
  }

  @Override
  public void close() {
    stopped = true;
  }
}
