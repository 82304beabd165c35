package gorseladder.soak;

import gorseladder.runtime.Clock;
import gorseladder.testbed.platform.FastCgiClient;
import gorseladder.wire.fastcgi.RecordWriter;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The clients of one dispatcher: a steady stream of requests over a few connections, some of which leave early, send in
 * pieces or rest for long; all that is sent and answered is written down. One thread sends; each connection has one
 * that reads.
 */
final class SoakClients implements Closeable {
  private static final int CONNECTIONS = 4;
  private static final int MOST_OPEN = 32;
  private static final int FUNCTIONS = 24;
  private static final long LEAST_TIMEOUT_MILLIS = 150;
  private static final int MORE_TIMEOUT_MILLIS = 1_350;
  /** Clients close connections that were idle for so long. */
  private static final long IDLE = 4_000_000;

  private static final double LEAVES = 0.25;
  /** Part of the refused requests that are asked again. */
  private static final double ASKS_AGAIN = 0.7;

  private static final int PIECES = 4;
  private static final int STDOUT = 6;
  private static final int END_REQUEST = 3;

  private final int dispatcher;
  private final InetSocketAddress to;
  private final Evidence evidence;
  private final SplittableRandom random;
  private final double perSecond;
  private final List<Connection> connections = new ArrayList<>();
  /** Requests to be asked again, which the sending thread does. */
  private final AtomicInteger retries = new AtomicInteger();

  private volatile long leavesUntil;
  private volatile long piecesUntil;
  private volatile boolean takesNone;
  private volatile boolean connectsNone;
  private volatile boolean stopped;
  private Thread thread;
  private int next;

  SoakClients(
      int dispatcher, InetSocketAddress to, Evidence evidence, long seed, double perSecond) {
    this.dispatcher = dispatcher;
    this.to = to;
    this.evidence = evidence;
    this.random = new SplittableRandom(seed);
    this.perSecond = perSecond;
  }

  void begin() {
    thread = new Thread(null, this::run, "clients-" + dispatcher, 256 << 10);
    thread.setDaemon(true);
    thread.start();
  }

  /** Some clients leave early for so long. */
  void leave(long micros) {
    leavesUntil = Clock.micros() + micros;
  }

  /** Requests come in pieces for so long. */
  void inPieces(long micros) {
    piecesUntil = Clock.micros() + micros;
  }

  /** The front takes the dispatcher out, or in again: no new requests, also on open connections. */
  void takeOut(boolean out) {
    takesNone = out;
    connectsNone = false;
  }

  /** The front knows that the dispatcher stops: no new connections, but requests go on on those that are open. */
  void staysOnOpenConnections() {
    connectsNone = true;
  }

  /** Lets go of idle connections, so that the next requests open new ones. */
  void reconnect() {
    synchronized (connections) {
      connections.forEach(Connection::end);
      connections.removeIf(Connection::over);
    }
  }

  private void run() {
    try {
      while (!stopped) {
        // Open loop with chance gaps: a burst now and then.
        double gap = -Math.log(1 - random.nextDouble()) / perSecond;
        Thread.sleep((long) (gap * 1_000));
        if (!takesNone) {
          ask();
          for (int again = retries.getAndSet(0); again > 0; again--) {
            ask();
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A request that was refused is asked again, under an id of its own, by most clients once or twice. */
  private void askAgain() {
    if (ThreadLocalRandom.current().nextDouble() < ASKS_AGAIN) {
      retries.incrementAndGet();
    }
  }

  private void ask() {
    CallClass callClass = CallClass.values()[random.nextInt(CallClass.values().length)];
    String id = "%08x%08x".formatted(dispatcher, ++next);
    long timeout = LEAST_TIMEOUT_MILLIS + random.nextInt(MORE_TIMEOUT_MILLIS);
    Evidence.Asked request =
        new Evidence.Asked(id, dispatcher, callClass, "body of " + id, timeout * 1_000);
    Map<String, String> params = FastCgiClient.params(
        callClass.word(), id, "%016x".formatted(0xf000 + random.nextInt(FUNCTIONS)), timeout);
    if (callClass == CallClass.KEYED) {
      params.put("HTTP_IDEMPOTENCY_KEY", "k" + id);
    }
    Connection connection = connection();
    if (connection != null) {
      connection.ask(request, params);
    }
  }

  private Connection connection() {
    long now = Clock.micros();
    synchronized (connections) {
      connections.removeIf(Connection::over);
      connections.stream().filter(c -> c.idleSince(now) > IDLE).forEach(Connection::end);
      connections.removeIf(Connection::over);
      List<Connection> free =
          connections.stream().filter(c -> c.open() < MOST_OPEN).toList();
      if ((connections.size() >= CONNECTIONS || connectsNone) && !free.isEmpty()) {
        return free.get(random.nextInt(free.size()));
      }
    }
    if (connectsNone) {
      return null;
    }
    try {
      Connection fresh = new Connection();
      synchronized (connections) {
        connections.add(fresh);
      }
      return fresh;
    } catch (IOException e) {
      // Not there at present: nothing was asked.
      return null;
    }
  }

  /** One connection to the dispatcher. */
  private final class Connection {
    private final Socket socket;
    private final Map<Integer, Evidence.Asked> open = new HashMap<>();
    /** All that was asked here, to see second answers. */
    private final Map<Integer, Evidence.Asked> asked = new HashMap<>();

    private final Map<Integer, StringBuilder> streams = new HashMap<>();
    private int numbers;
    private boolean over;
    private long usedAt = Clock.micros();

    private Connection() throws IOException {
      socket = new Socket();
      socket.connect(to, 500);
      socket.setTcpNoDelay(true);
      FaultProxy.start("client-reads", this::read);
    }

    private synchronized boolean over() {
      return over;
    }

    private synchronized int open() {
      return open.size();
    }

    private synchronized long idleSince(long now) {
      return open.isEmpty() ? now - usedAt : 0;
    }

    /** Closes an idle connection, as clients do. */
    private synchronized void end() {
      if (open.isEmpty()) {
        over = true;
        closeSocket();
      }
    }

    private void closeSocket() {
      try {
        socket.close();
      } catch (IOException e) {
        // It has ended.
      }
    }

    private void ask(Evidence.Asked request, Map<String, String> params) {
      int number;
      synchronized (this) {
        if (over) {
          return;
        }
        number = ++numbers;
        request.connectionInUse = numbers > 1;
        open.put(number, request);
        asked.put(number, request);
        usedAt = Clock.micros();
      }
      byte[] bytes = RecordWriter.request(
          number, true, params, request.body.getBytes(StandardCharsets.ISO_8859_1));
      evidence.asked(request);
      try {
        write(bytes);
        synchronized (request) {
          request.sentAt = Clock.micros();
        }
      } catch (IOException | InterruptedException e) {
        lost();
        return;
      }
      if (Clock.micros() < leavesUntil && random.nextDouble() < LEAVES) {
        leave(number, request);
      }
    }

    private void write(byte[] bytes) throws IOException, InterruptedException {
      OutputStream out = socket.getOutputStream();
      int parts = Clock.micros() < piecesUntil ? PIECES : 1;
      int from = 0;
      for (int part = 1; part <= parts; part++) {
        int to = bytes.length * part / parts;
        synchronized (out) {
          out.write(bytes, from, to - from);
        }
        from = to;
        if (part < parts) {
          Thread.sleep(random.nextInt(12));
        }
      }
    }

    /** A client leaves a moment after it asked: it withdraws, or its connection ends with all that is open on it. */
    private void leave(int number, Evidence.Asked request) {
      boolean withdraws = random.nextBoolean();
      int millis = random.nextInt(60);
      FaultProxy.start("client-leaves", () -> {
        try {
          Thread.sleep(millis);
          if (withdraws) {
            OutputStream out = socket.getOutputStream();
            synchronized (out) {
              out.write(RecordWriter.abort(number));
            }
            left(request);
          } else {
            left(null);
            socket.close();
          }
        } catch (IOException | InterruptedException e) {
          // It has ended by itself.
        }
      });
    }

    /** Notes that the client of a request left; null for all on this connection. */
    private synchronized void left(Evidence.Asked one) {
      long now = Clock.micros();
      over |= one == null;
      for (Evidence.Asked request : one == null ? List.copyOf(open.values()) : List.of(one)) {
        synchronized (request) {
          request.leftAt = request.answers == 0 && request.leftAt == 0 ? now : request.leftAt;
        }
      }
    }

    private void read() {
      try {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] header = new byte[8];
        while (true) {
          in.readFully(header);
          int number = (header[2] & 0xff) << 8 | header[3] & 0xff;
          byte[] content = in.readNBytes((header[4] & 0xff) << 8 | header[5] & 0xff);
          in.readNBytes(header[6] & 0xff);
          heard(header[1], number, new String(content, StandardCharsets.ISO_8859_1));
        }
      } catch (IOException e) {
        lost();
      }
    }

    private synchronized void heard(int type, int number, String content) {
      if (type == STDOUT) {
        streams.computeIfAbsent(number, n -> new StringBuilder()).append(content);
      } else if (type == END_REQUEST) {
        answered(asked.get(number), number);
      }
    }

    private void answered(Evidence.Asked request, int number) {
      StringBuilder stream = streams.remove(number);
      open.remove(number);
      usedAt = Clock.micros();
      if (request == null) {
        return;
      }
      String text = stream == null ? "" : stream.toString();
      int split = text.indexOf("\r\n\r\n");
      synchronized (request) {
        request.answers++;
        request.answeredAt = usedAt;
        request.answer = split < 0 ? "" : text.substring(split + 4);
        request.status =
            split < 0 ? 0 : Integer.parseInt(text.substring("Status: ".length()).split("\r\n")[0]);
        if (request.refused()) {
          askAgain();
        }
      }
    }

    /** The connection ended with requests open on it. */
    private synchronized void lost() {
      over = true;
      closeSocket();
      for (Evidence.Asked request : open.values()) {
        synchronized (request) {
          request.cutAt = request.cutAt == 0 ? Clock.micros() : request.cutAt;
        }
      }
    }
  }

  /** Sends nothing more. */
  void stop() throws InterruptedException {
    stopped = true;
    thread.interrupt();
    thread.join(2_000);
  }

  @Override
  public void close() {
    stopped = true;
    synchronized (connections) {
      connections.forEach(Connection::closeSocket);
    }
  }
}
