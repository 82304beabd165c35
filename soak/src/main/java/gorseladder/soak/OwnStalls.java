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
 * passes in the soak; where that takes long the span is kept, so that the oracle can tell a late dispatcher from a late
 * soak. Any thread.
 */
final class OwnStalls implements Closeable {
  private static final long TICK_MILLIS = 5;
  private static final long STALL = 15_000;
  /** Threads that were held up together come back one after the other. */
  private static final long AFTER = 30_000;

  private final List<Evidence.Span> spans = new ArrayList<>();
  private volatile boolean stopped;
  private long longest;
  private long total;

  /** Begins to look. */
  OwnStalls() {
    Thread thread = new Thread(null, this::run, "own-stalls", 128 << 10);
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    try (ServerSocket echo = new ServerSocket(0, 2, InetAddress.getLoopbackAddress());
        FaultProxy proxy = new FaultProxy((InetSocketAddress) echo.getLocalSocketAddress());
        Socket near = new Socket()) {
      FaultProxy.start("echo", () -> echo(echo));
      near.connect(proxy.address());
      near.setTcpNoDelay(true);
      while (!stopped) {
        long before = Clock.micros();
        near.getOutputStream().write(1);
        near.getInputStream().read();
        Thread.sleep(TICK_MILLIS);
        note(before, Clock.micros());
      }
    } catch (IOException e) {
      System.err.println("the soak's own: no look at its stalls: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void echo(ServerSocket server) {
    try (Socket far = server.accept()) {
      far.setTcpNoDelay(true);
      for (int b = far.getInputStream().read(); b >= 0; b = far.getInputStream().read()) {
        far.getOutputStream().write(b);
      }
    } catch (IOException e) {
      // The soak has ended.
    }
  }

  private void note(long from, long to) {
    if (to - from > TICK_MILLIS * 1_000 + STALL) {
      synchronized (spans) {
        spans.add(new Evidence.Span(from, to));
        longest = Math.max(longest, to - from);
        total += to - from;
      }
    }
  }

  /** By how much times in a span may be late at the most. */
  long late(long from, long to) {
    synchronized (spans) {
      return spans.stream()
          .filter(span -> span.from() <= to && span.to() + AFTER >= from)
          .mapToLong(span -> span.to() - span.from())
          .sum();
    }
  }

  /** The longest stall so far, in microseconds. */
  long longest() {
    synchronized (spans) {
      return longest;
    }
  }

  /** All stalls together, in microseconds: with many of them a play says little. */
  long total() {
    synchronized (spans) {
      return total;
    }
  }

  @Override
  public void close() {
    stopped = true;
  }
}
