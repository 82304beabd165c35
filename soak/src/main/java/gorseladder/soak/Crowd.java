package gorseladder.soak;

import gorseladder.runtime.Clock;
import gorseladder.testbed.platform.FastCgiClient;
import gorseladder.wire.fastcgi.RecordWriter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Clients that come to one dispatcher in a crowd and ask for nothing whole. Nothing is owed to them but an end; one
 * thread.
 */
final class Crowd {
  /** Connections that say nothing: below a third of the descriptors told. */
  private static final int SILENT = 150;

  /** Connections with half requests, and how many on each: together more than a dispatcher's heap. */
  private static final int HALVES = 100;

  /** Connections that asked once and stay. */
  private static final int RESTING = 60;

  private static final int HALVES_EACH = 32;
  private static final int BODY_BYTES = 15_000;
  private static final int END_RECORD_BYTES = 8;
  private static final int CONNECT_MILLIS = 300;

  private static final Map<String, String> LIVE = Map.of("SCRIPT_NAME", "/status/live");

  /** What a crowd does. */
  enum Kind {
    SILENT,
    HALF_REQUESTS,
    STORM,
    /** Each asks whether the dispatcher is live, and stays. */
    RESTING
  }

  private final InetSocketAddress to;
  private final List<Socket> open = new ArrayList<>();

  Crowd(InetSocketAddress to) {
    this.to = to;
  }

  /** Comes, stays for so long and leaves; what is turned away is turned away. */
  void come(Kind kind, long micros) throws InterruptedException {
    long until = Clock.micros() + micros;
    switch (kind) {
      case SILENT -> join(SILENT);
      case HALF_REQUESTS -> {
        join(HALVES);
        open.forEach(Crowd::sendHalves);
      }
      case RESTING -> {
        join(RESTING);
        open.forEach(Crowd::askOnce);
      }
      case STORM -> {
        while (Clock.micros() < until) {
          join(10);
          leave();
          Thread.sleep(5);
        }
      }
      default -> throw new IllegalStateException("no such crowd: " + kind);
    }
    Thread.sleep(Math.max(0, until - Clock.micros()) / 1_000);
    leave();
  }

  private void join(int count) {
    try {
      for (int i = 0; i < count; i++) {
        Socket socket = new Socket();
        open.add(socket);
        socket.connect(to, CONNECT_MILLIS);
      }
    } catch (IOException e) {
      // Its dispatcher is not there, or its queue is full: the crowd is smaller.
    }
  }

  private void leave() {
    for (Socket socket : open) {
      try {
        socket.close();
      } catch (IOException e) {
        // It has ended.
      }
    }
    open.clear();
  }

  /** Asks whether the dispatcher is live, and leaves the connection open. */
  static void askOnce(Socket socket) {
    try {
      socket.getOutputStream().write(RecordWriter.request(1, true, LIVE, new byte[0]));
    } catch (IOException e) {
      // Turned away, as it may be.
    }
  }

  /** Sends as many requests as one connection may have open, each without the end of its body. */
  static void sendHalves(Socket socket) {
    try {
      for (int number = 1; number <= HALVES_EACH; number++) {
        Map<String, String> params = FastCgiClient.params(
            CallClass.SAFE.word(), "%016x".formatted(number), "%016x".formatted(0xf000), 1_000);
        byte[] whole = RecordWriter.request(number, true, params, new byte[BODY_BYTES]);
        // Without the record that ends the body.
        socket.getOutputStream().write(Arrays.copyOf(whole, whole.length - END_RECORD_BYTES));
      }
    } catch (IOException e) {
      // Turned away, as it may be.
    }
  }
}
