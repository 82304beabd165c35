package gorseladder.testbed.platform;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A simulated change log that can break off in the middle of an event, stop sending, send stale heartbeats or repeat
 * events. Thread-safe.
 */
public final class PlatformChangeLog implements Closeable {
  private static final int HEARTBEAT_MILLIS = 200;

  /** What the current connection is sent. */
  private enum Mode {
    ALL,
    NOTHING,
    BYTES,
    OLD_BEATS
  }

  private final ServerSocket server;
  private final List<String> events;
  private final List<Long> requestedFrom = new ArrayList<>();
  private Socket current;
  private Mode mode = Mode.ALL;
  private int repeats;

  /** Creates a log on a free loopback port. The list of events is shared with other logs that take its place. */
  public PlatformChangeLog(List<String> events) throws IOException {
    this(events, 0);
  }

  /** Creates a log on the given loopback port. */
  public PlatformChangeLog(List<String> events, int port) throws IOException {
    this.events = events;
    server = new ServerSocket(port, 10, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::accept, "change-log");
    thread.setDaemon(true);
    thread.start();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Formats an event; the first one has the number 1. */
  public static String event(
      long seq, boolean all, String uid, InetSocketAddress at, String state) {
    return event(seq, all, uid, at, state, 0);
  }

  /** Formats an event about a runner that started at the given Unix time in milliseconds; 0 for long ago. */
  public static String event(
      long seq, boolean all, String uid, InetSocketAddress at, String state, long bootMillis) {
    return "{\"seq\":" + seq + ",\"fleet\":{\"rev\":" + seq + ",\"all\":" + all
        + ",\"targets\":[{\"uid\":\"" + uid
        + "\",\"endpoint\":\"127.0.0.1:" + at.getPort()
        + "\",\"az\":\"z\",\"model\":\"std\",\"pod_group\":0,\"state\":\""
        + state + "\",\"capacity_hint\":4,\"boot_ms\":" + bootMillis + "}]}}";
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        synchronized (this) {
          current = socket;
          mode = Mode.ALL;
        }
        Thread thread = new Thread(() -> serve(socket), "change-log-reader");
        thread.setDaemon(true);
        thread.start();
      }
    } catch (IOException e) {
      // The log was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      String line = new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
          .readLine();
      int from = Integer.parseInt(line.substring("since ".length()));
      OutputStream out = socket.getOutputStream();
      synchronized (this) {
        requestedFrom.add((long) from);
      }
      while (true) {
        StringBuilder text = new StringBuilder();
        synchronized (this) {
          for (; mode == Mode.ALL && from < events.size(); from++) {
            text.append((events.get(from) + "\n").repeat(1 + repeats));
          }
          text.append(
              switch (mode) {
                case ALL -> from + "\n";
                case NOTHING -> "";
                case BYTES -> " ";
                case OLD_BEATS -> "0\n";
              });
        }
        // Written outside the lock, so that a slow reader does not block others.
        synchronized (socket) {
          out.write(text.toString().getBytes(StandardCharsets.US_ASCII));
        }
        synchronized (this) {
          if (mode != Mode.ALL || from >= events.size()) {
            wait(HEARTBEAT_MILLIS);
          }
        }
      }
    } catch (IOException | InterruptedException e) {
      // The connection was closed by either side.
    }
  }

  public synchronized void add(String event) {
    events.add(event);
    notifyAll();
  }

  /** Stops sending on the current connection, which stays open; new connections are served. */
  public synchronized void stopSending() {
    mode = Mode.NOTHING;
  }

  /** Sends single bytes on the current connection that never complete a line. */
  public synchronized void sendIncompleteLine() {
    mode = Mode.BYTES;
  }

  /** Sends only heartbeats with an outdated event number on the current connection. */
  public synchronized void sendStaleHeartbeats() {
    mode = Mode.OLD_BEATS;
  }

  /** Sends each event {@code more} additional times from now on. */
  public synchronized void repeatEvents(int more) {
    repeats = more;
  }

  /** Closes the current connection in the middle of an event. */
  public synchronized void breakConnection() throws IOException {
    if (current != null) {
      synchronized (current) {
        current.getOutputStream().write("{\"seq\":9".getBytes(StandardCharsets.US_ASCII));
        current.close();
      }
    }
  }

  /** Returns the event numbers from which readers asked to be sent events. */
  public synchronized List<Long> requestedFrom() {
    return List.copyOf(requestedFrom);
  }

  @Override
  public void close() throws IOException {
    server.close();
    synchronized (this) {
      if (current != null) {
        current.close();
      }
    }
  }
}
