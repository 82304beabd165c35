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
 * A change log that can break off in the middle of an event, fall silent, write events twice or leave some out. Any
 * thread.
 */
public final class PlatformChangeLog implements Closeable {
  private static final int HEARTBEAT_MILLIS = 200;

  /** What the present connection is told. */
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

  /** A log on a free port of the loopback, sharing its events with others that take its place. */
  public PlatformChangeLog(List<String> events) throws IOException {
    this(events, 0);
  }

  /** A log on that port of the loopback. */
  public PlatformChangeLog(List<String> events, int port) throws IOException {
    this.events = events;
    server = new ServerSocket(port, 10, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::accept, "change-log");
    thread.setDaemon(true);
    thread.start();
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** One event; the first has the number 1. */
  public static String event(
      long seq, boolean all, String uid, InetSocketAddress at, String state) {
    return event(seq, all, uid, at, state, 0);
  }

  /** One event about a runner with a late start, in Unix milliseconds; 0 for long ago. */
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
      // Closed.
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
        // Outside the lock: a slow reader holds up no other.
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
      // Closed by either side.
    }
  }

  /** Adds an event. */
  public synchronized void add(String event) {
    events.add(event);
    notifyAll();
  }

  /** Stops telling on the present connection, which stays open; a new one is told again. */
  public synchronized void stopSending() {
    mode = Mode.NOTHING;
  }

  /** Has bytes trickle on the present connection that never make a line. */
  public synchronized void sendIncompleteLine() {
    mode = Mode.BYTES;
  }

  /** Has the present connection told beats alone, with a number long passed. */
  public synchronized void sendStaleHeartbeats() {
    mode = Mode.OLD_BEATS;
  }

  /** Writes every event so many times more from now on. */
  public synchronized void repeatEvents(int more) {
    repeats = more;
  }

  /** Breaks the present connection off inside an event. */
  public synchronized void breakConnection() throws IOException {
    if (current != null) {
      synchronized (current) {
        current.getOutputStream().write("{\"seq\":9".getBytes(StandardCharsets.US_ASCII));
        current.close();
      }
    }
  }

  /** The numbers that readers asked from, so far. */
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
