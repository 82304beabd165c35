package gorseladder.testbed.platform;

import java.io.BufferedInputStream;
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
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * A simulated runner of the line protocol of the platform. A script decides the reaction to each request; complete
 * requests are recorded with their time. Thread-safe.
 */
public final class PlatformRunner implements Closeable {
  /** The reaction to a request. */
  public enum Reaction {
    SERVE,
    REFUSE,
    MISS,
    ERROR,
    SILENT,
    RESET,
    NOISE,
    HUGE,
    HALF,
    TWICE,
    AHEAD
  }

  /** A complete request; {@code at} is {@link System#nanoTime()}. */
  public record Arrival(
      String id, Map<String, String> fields, String body, int connection, long at) {
    /** Returns the request class. */
    public String requestClass() {
      return fields.get("profile");
    }
  }

  private static final int MAX_BIND_TRIES = 10_000;

  private final ServerSocket server;
  private final Function<Arrival, Reaction> script;
  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<String> orders = new ArrayList<>();
  private final List<Socket> backlogFillers = new ArrayList<>();
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private final Object workLock = new Object();
  private volatile int workMillis;
  private int cancellations;
  private int connections;

  /** Creates a runner on a free loopback port. */
  public PlatformRunner(Function<Arrival, Reaction> script) throws IOException {
    this(script, 200);
    start(this::accept);
  }

  private PlatformRunner(Function<Arrival, Reaction> script, int backlog) throws IOException {
    this(script, 0, backlog);
  }

  private PlatformRunner(Function<Arrival, Reaction> script, int port, int backlog)
      throws IOException {
    this.script = script;
    server = new ServerSocket(port, backlog, InetAddress.getLoopbackAddress());
  }

  /** Creates a runner at the address of one that was closed. */
  public static PlatformRunner at(InetSocketAddress address, Function<Arrival, Reaction> script)
      throws IOException {
    for (int tries = 1; ; tries++) {
      try {
        PlatformRunner runner = new PlatformRunner(script, address.getPort(), 200);
        start(runner::accept);
        return runner;
      } catch (BindException e) {
        // A connection that the earlier one has just accepted may still be open.
        if (tries == MAX_BIND_TRIES) {
          throw e;
        }
        Thread.yield();
      }
    }
  }

  /**
   * Creates a runner whose backlog is full: it accepts no connection before {@link #acceptConnections}, and
   * connections are established within about a second after that.
   */
  public static PlatformRunner withFullBacklog(Function<Arrival, Reaction> script)
      throws IOException {
    PlatformRunner runner = new PlatformRunner(script, 1);
    try {
      // Once the backlog is full, the system does not answer further connection attempts.
      while (true) {
        Socket filler = new Socket();
        runner.backlogFillers.add(filler);
        filler.connect(runner.server.getLocalSocketAddress(), 200);
      }
    } catch (SocketTimeoutException e) {
      return runner;
    }
  }

  /** Frees the backlog of a runner created by {@link #withFullBacklog} and starts to accept connections. */
  public void acceptConnections() throws IOException {
    for (Socket filler : backlogFillers) {
      filler.close();
    }
    start(this::accept);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(null, task, "platform-runner", 256 << 10);
    thread.setDaemon(true);
    thread.start();
  }

  /** Sets the time that each served request takes, one after the other; initially 0. */
  public void setWorkMillis(int millis) {
    workMillis = millis;
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        openSockets.add(socket);
        int number;
        synchronized (this) {
          number = connections++;
        }
        start(() -> serve(socket, number));
      }
    } catch (IOException e) {
      // The runner was closed.
    }
  }

  private void serve(Socket socket, int connection) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (String line = line(in); line != null; line = line(in)) {
        String[] words = line.split(" ");
        switch (words[0]) {
          case "go" -> handleCall(words, in, out, socket, connection);
          case "stage" -> {
            synchronized (this) {
              orders.add(words[2]);
            }
            write(out, words[1] + " ok pods=1 0\r\n\r\n");
          }
          case "halt" -> {
            synchronized (this) {
              cancellations++;
            }
          }
          default -> throw new IOException("not a command: " + line);
        }
      }
    } catch (IOException e) {
      // The connection was closed by either side.
    } finally {
      openSockets.remove(socket);
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        return null;
      }
      line.append((char) b);
    }
    return line.toString().strip();
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Returns the only result that a runner may return for a request. */
  public static String result(String id, String body) {
    return "made of " + id + " " + body;
  }

  private void handleCall(
      String[] words, InputStream in, OutputStream out, Socket socket, int connection)
      throws IOException {
    int length = Integer.parseInt(words[3]);
    byte[] body = in.readNBytes(length);
    if (body.length < length || in.read() != '\r' || in.read() != '\n') {
      throw new IOException("half a request");
    }
    String id = words[1];
    Map<String, String> fields = Arrays.stream(words[2].split(","))
        .map(f -> f.split("=", 2))
        .collect(Collectors.toMap(f -> f[0], f -> f[1]));
    Arrival arrival = new Arrival(
        id, fields, new String(body, StandardCharsets.ISO_8859_1), connection, System.nanoTime());
    synchronized (this) {
      arrivals.add(arrival);
    }
    String result = result(id, arrival.body());
    String served = id + " ok remark=up " + result.length() + "\r\n" + result + "\r\n";
    switch (script.apply(arrival)) {
      case SERVE -> {
        simulateWork();
        write(out, served);
      }
      case REFUSE -> write(out, id + " refused depth=3 0\r\n\r\n");
      case MISS -> write(out, id + " nothing remark=crashed 0\r\n\r\n");
      case ERROR -> write(out, id + " error - 0\r\n\r\n");
      case SILENT -> {}
      case RESET -> {
        socket.setSoLinger(true, 0);
        socket.close();
      }
      case NOISE -> write(out, "\u0007\u0003 noise that is no line");
      case HUGE -> write(out, id + " ok - 3000000000\r\n" + "x".repeat(5_000));
      case HALF -> {
        write(out, served.substring(0, served.length() / 2));
        socket.close();
      }
      case TWICE -> write(out, served + served);
      case AHEAD -> write(out, "0000000000000000 ok - 1\r\nx\r\n" + served);
    }
  }

  private void simulateWork() throws IOException {
    if (workMillis == 0) {
      return;
    }
    synchronized (workLock) {
      try {
        Thread.sleep(workMillis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted", e);
      }
    }
  }

  /** Returns the complete requests received so far. */
  public synchronized List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  /** Forgets the requests received so far, for tests that measure the memory of this process. */
  public synchronized void forgetArrivals() {
    arrivals.clear();
  }

  /** Returns the functions of the load orders received so far. */
  public synchronized List<String> orders() {
    return List.copyOf(orders);
  }

  /** Returns the number of requests that the dispatcher cancelled. */
  public synchronized int cancellations() {
    return cancellations;
  }

  /** Returns the number of accepted connections. */
  public synchronized int connections() {
    return connections;
  }

  /** Resets all connections, as the system does when a process ends. */
  public void resetAll() throws IOException {
    for (Socket socket : openSockets) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : openSockets) {
      socket.close();
    }
  }
}
