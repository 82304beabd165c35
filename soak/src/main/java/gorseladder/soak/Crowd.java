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
 * Clients that connect to one dispatcher in large numbers and send no complete call. The dispatcher owes them nothing
 * but the end of their connections. Used by one thread.
 */
final class Crowd {
  /** Connections that send nothing: fewer than a third of the descriptors that the configuration names. */
  private static final int SILENT_CONNECTIONS = 150;

  /** Connections with partial requests; with the requests on each they exceed a dispatcher's heap. */
  private static final int PARTIAL_CONNECTIONS = 100;

  /** Connections that send one request and stay open. */
  private static final int RESTING_CONNECTIONS = 60;

  private static final int PARTIAL_REQUESTS_PER_CONNECTION = 32;
  private static final int BODY_BYTES = 15_000;
  private static final int END_RECORD_BYTES = 8;
  /** Fields of a head, beside those of a sound request: fewer than a dispatcher takes. */
  private static final int EXTRA_FIELDS = 90;

  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  private static final Map<String, String> LIVENESS_PARAMS = Map.of("SCRIPT_NAME", "/status/live");

  /** What the clients of a crowd do. */
  enum Kind {
    SILENT,
    HALF_REQUESTS,
    STORM,
    /** Each asks whether the dispatcher is live, and keeps its connection open. */
    RESTING
  }

  private final InetSocketAddress address;
  private final List<Socket> sockets = new ArrayList<>();

  Crowd(InetSocketAddress address) {
    this.address = address;
  }

  /** Connects, stays for this long and closes all connections; the dispatcher may turn any of them away. */
  void run(Kind kind, long micros) throws InterruptedException {
    long until = Clock.micros() + micros;
    switch (kind) {
      case SILENT -> connect(SILENT_CONNECTIONS);
      case HALF_REQUESTS -> {
        connect(PARTIAL_CONNECTIONS);
        for (int i = 0; i < sockets.size(); i++) {
          if (i % 2 == 0) {
            sendPartialRequests(sockets.get(i));
          } else {
            sendManyFields(sockets.get(i));
          }
        }
      }
      case RESTING -> {
        connect(RESTING_CONNECTIONS);
        sockets.forEach(Crowd::askIfLive);
      }
      case STORM -> {
        while (Clock.micros() < until) {
          connect(10);
          closeAll();
          Thread.sleep(5);
        }
      }
      default -> throw new IllegalStateException("no such crowd: " + kind);
    }
    Thread.sleep(Math.max(0, until - Clock.micros()) / 1_000);
    closeAll();
  }

  private void connect(int count) {
    try {
      for (int i = 0; i < count; i++) {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.connect(address, CONNECT_TIMEOUT_MILLIS);
      }
    } catch (IOException e) {
      // The dispatcher is not reachable, or its listen queue is full: the crowd is smaller.
    }
  }

  private void closeAll() {
    for (Socket socket : sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        // The connection has already ended.
      }
    }
    sockets.clear();
  }

  /** Asks whether the dispatcher is live, and leaves the connection open. */
  static void askIfLive(Socket socket) {
    try {
      socket.getOutputStream().write(RecordWriter.request(1, true, LIVENESS_PARAMS, new byte[0]));
    } catch (IOException e) {
      // The dispatcher may turn this connection away.
    }
  }

  /** Sends as many requests as one connection may have open, each without the end of its body. */
  static void sendPartialRequests(Socket socket) {
    try {
      for (int number = 1; number <= PARTIAL_REQUESTS_PER_CONNECTION; number++) {
        Map<String, String> params = FastCgiClient.params(
            CallClass.SAFE.label(), "%016x".formatted(number), "%016x".formatted(0xf000), 1_000);
        byte[] whole = RecordWriter.request(number, true, params, new byte[BODY_BYTES]);
        // The copy lacks the record that ends the body.
        socket.getOutputStream().write(Arrays.copyOf(whole, whole.length - END_RECORD_BYTES));
      }
    } catch (IOException e) {
      // The dispatcher may turn this connection away.
    }
  }

  /** Sends as many requests as one connection may have open, with heads of many short fields and without their ends. */
  static void sendManyFields(Socket socket) {
    try {
      for (int number = 1; number <= PARTIAL_REQUESTS_PER_CONNECTION; number++) {
        Map<String, String> params = FastCgiClient.params(
            CallClass.SAFE.label(), "%016x".formatted(number), "%016x".formatted(0xf000), 1_000);
        for (int field = 0; field < EXTRA_FIELDS; field++) {
          params.put("F" + field, "");
        }
        byte[] whole = RecordWriter.request(number, true, params, new byte[0]);
        socket.getOutputStream().write(Arrays.copyOf(whole, whole.length - END_RECORD_BYTES));
      }
    } catch (IOException e) {
      // The dispatcher may turn this connection away.
    }
  }
}
