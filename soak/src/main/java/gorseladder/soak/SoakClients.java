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
 * The clients of one dispatcher: they send a steady stream of requests over a few connections; some leave early, send
 * in pieces or stay idle for long. Every request and answer is recorded. One thread sends, and one thread per
 * connection reads.
 */
final class SoakClients implements Closeable {
  private static final int CONNECTIONS = 4;
  private static final int MAX_OPEN_REQUESTS = 32;
  private static final int FUNCTIONS = 24;
  private static final long MIN_TIMEOUT_MILLIS = 150;
  private static final int TIMEOUT_SPREAD_MILLIS = 1_350;
  /** Clients close connections that were idle for this long. */
  private static final long IDLE_TIMEOUT_MICROS = 4_000_000;

  private static final double LEAVE_PROBABILITY = 0.25;
  /** The fraction of refused requests that clients send again. */
  private static final double RETRY_PROBABILITY = 0.7;

  private static final int PIECES_PER_REQUEST = 4;
  private static final int STDOUT = 6;
  private static final int END_REQUEST = 3;

  private final int dispatcher;
  private final InetSocketAddress address;
  private final Evidence evidence;
  private final SplittableRandom random;
  private final double perSecond;
  private final List<Connection> connections = new ArrayList<>();
  /** Requests to send again; the sending thread does so. */
  private final AtomicInteger retries = new AtomicInteger();

  private volatile long leavesUntil;
  private volatile long piecesUntil;
  private volatile boolean outOfService;
  private volatile boolean connectingStopped;
  private volatile boolean stopped;
  private Thread sender;
  private int requestCount;

  SoakClients(
      int dispatcher, InetSocketAddress address, Evidence evidence, long seed, double perSecond) {
    this.dispatcher = dispatcher;
    this.address = address;
    this.evidence = evidence;
    this.random = new SplittableRandom(seed);
    this.perSecond = perSecond;
  }

  void start() {
    sender = new Thread(null, this::run, "clients-" + dispatcher, 256 << 10);
    sender.setDaemon(true);
    sender.start();
  }

  /** Lets some clients leave early for this long. */
  void leaveEarly(long micros) {
    leavesUntil = Clock.micros() + micros;
  }

  /** Sends requests in pieces for this long. */
  void sendInPieces(long micros) {
    piecesUntil = Clock.micros() + micros;
  }

  /**
   * The front takes the dispatcher out of service, or back in: while it is out there are no new requests, not even on
   * open connections.
   */
  void setOutOfService(boolean out) {
    outOfService = out;
    connectingStopped = false;
  }

  /** The front knows that the dispatcher stops: it opens no new connections, but still sends requests on open ones. */
  void stopConnecting() {
    connectingStopped = true;
  }

  /** Closes idle connections, so that the next requests open new ones. */
  void closeIdleConnections() {
    synchronized (connections) {
      connections.forEach(Connection::closeIfIdle);
      connections.removeIf(Connection::closed);
    }
  }

  private void run() {
    try {
      while (!stopped) {
        // Open loop with exponentially distributed gaps, which cause an occasional burst.
        double gap = -Math.log(1 - random.nextDouble()) / perSecond;
        Thread.sleep((long) (gap * 1_000));
        if (!outOfService) {
          sendRequest();
          for (int retry = retries.getAndSet(0); retry > 0; retry--) {
            sendRequest();
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Most clients send a refused request again, under a new id, once or twice. */
  private void scheduleRetry() {
    if (ThreadLocalRandom.current().nextDouble() < RETRY_PROBABILITY) {
      retries.incrementAndGet();
    }
  }

  private void sendRequest() {
    CallClass callClass = CallClass.values()[random.nextInt(CallClass.values().length)];
    String id = "%08x%08x".formatted(dispatcher, ++requestCount);
    long timeout = MIN_TIMEOUT_MILLIS + random.nextInt(TIMEOUT_SPREAD_MILLIS);
    Evidence.ClientRequest request =
        new Evidence.ClientRequest(id, dispatcher, callClass, "body of " + id, timeout * 1_000);
    Map<String, String> params = FastCgiClient.params(
        callClass.label(), id, "%016x".formatted(0xf000 + random.nextInt(FUNCTIONS)), timeout);
    if (callClass == CallClass.KEYED) {
      params.put("HTTP_IDEMPOTENCY_KEY", "k" + id);
    }
    Connection connection = pickConnection();
    if (connection != null) {
      connection.send(request, params);
    }
  }

  private Connection pickConnection() {
    long now = Clock.micros();
    synchronized (connections) {
      connections.removeIf(Connection::closed);
      connections.stream()
          .filter(c -> c.idleMicros(now) > IDLE_TIMEOUT_MICROS)
          .forEach(Connection::closeIfIdle);
      connections.removeIf(Connection::closed);
      List<Connection> available =
          connections.stream().filter(c -> c.openCount() < MAX_OPEN_REQUESTS).toList();
      if ((connections.size() >= CONNECTIONS || connectingStopped) && !available.isEmpty()) {
        return available.get(random.nextInt(available.size()));
      }
    }
    if (connectingStopped) {
      return null;
    }
    try {
      Connection opened = new Connection();
      synchronized (connections) {
        connections.add(opened);
      }
      return opened;
    } catch (IOException e) {
      // The dispatcher is not reachable at present: no request was sent.
      return null;
    }
  }

  /** One connection to the dispatcher. */
  private final class Connection {
    private final Socket socket;
    private final Map<Integer, Evidence.ClientRequest> openRequests = new HashMap<>();
    /** Every request sent on this connection, to notice second answers. */
    private final Map<Integer, Evidence.ClientRequest> allRequests = new HashMap<>();

    private final Map<Integer, StringBuilder> answerStreams = new HashMap<>();
    private int lastNumber;
    private boolean closed;
    private long lastUsedAt = Clock.micros();

    private Connection() throws IOException {
      socket = new Socket();
      socket.connect(address, 500);
      socket.setTcpNoDelay(true);
      FaultProxy.start("client-reads", this::readAnswers);
    }

    private synchronized boolean closed() {
      return closed;
    }

    private synchronized int openCount() {
      return openRequests.size();
    }

    private synchronized long idleMicros(long now) {
      return openRequests.isEmpty() ? now - lastUsedAt : 0;
    }

    /** Closes the connection if it is idle, as clients do. */
    private synchronized void closeIfIdle() {
      if (openRequests.isEmpty()) {
        closed = true;
        closeSocket();
      }
    }

    private void closeSocket() {
      try {
        socket.close();
      } catch (IOException e) {
        // The connection has already ended.
      }
    }

    private void send(Evidence.ClientRequest request, Map<String, String> params) {
      int number;
      synchronized (this) {
        if (closed) {
          return;
        }
        number = ++lastNumber;
        request.onReusedConnection = lastNumber > 1;
        openRequests.put(number, request);
        allRequests.put(number, request);
        lastUsedAt = Clock.micros();
      }
      byte[] bytes = RecordWriter.request(
          number, true, params, request.body.getBytes(StandardCharsets.ISO_8859_1));
      evidence.addRequest(request);
      try {
        write(bytes);
        synchronized (request) {
          request.sentAt = Clock.micros();
        }
      } catch (IOException | InterruptedException e) {
        connectionLost();
        return;
      }
      if (Clock.micros() < leavesUntil && random.nextDouble() < LEAVE_PROBABILITY) {
        leaveSoon(number, request);
      }
    }

    private void write(byte[] bytes) throws IOException, InterruptedException {
      OutputStream out = socket.getOutputStream();
      int parts = Clock.micros() < piecesUntil ? PIECES_PER_REQUEST : 1;
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

    /**
     * A client leaves a moment after its request: it aborts the request, or closes its connection with all open
     * requests.
     */
    private void leaveSoon(int number, Evidence.ClientRequest request) {
      boolean aborts = random.nextBoolean();
      int millis = random.nextInt(60);
      FaultProxy.start("client-leaves", () -> {
        try {
          Thread.sleep(millis);
          if (aborts) {
            OutputStream out = socket.getOutputStream();
            synchronized (out) {
              out.write(RecordWriter.abort(number));
            }
            markClientGone(request);
          } else {
            markClientGone(null);
            socket.close();
          }
        } catch (IOException | InterruptedException e) {
          // The connection has already ended.
        }
      });
    }

    /** Records that the client of a request left; null stands for all open requests on this connection. */
    private synchronized void markClientGone(Evidence.ClientRequest single) {
      long now = Clock.micros();
      closed |= single == null;
      for (Evidence.ClientRequest request :
          single == null ? List.copyOf(openRequests.values()) : List.of(single)) {
        synchronized (request) {
          request.clientGoneAt =
              request.answerCount == 0 && request.clientGoneAt == 0 ? now : request.clientGoneAt;
        }
      }
    }

    private void readAnswers() {
      try {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] header = new byte[8];
        while (true) {
          in.readFully(header);
          int number = (header[2] & 0xff) << 8 | header[3] & 0xff;
          byte[] content = in.readNBytes((header[4] & 0xff) << 8 | header[5] & 0xff);
          in.readNBytes(header[6] & 0xff);
          recordReceived(header[1], number, new String(content, StandardCharsets.ISO_8859_1));
        }
      } catch (IOException e) {
        connectionLost();
      }
    }

    private synchronized void recordReceived(int type, int number, String content) {
      if (type == STDOUT) {
        answerStreams.computeIfAbsent(number, n -> new StringBuilder()).append(content);
      } else if (type == END_REQUEST) {
        answerEnded(allRequests.get(number), number);
      }
    }

    private void answerEnded(Evidence.ClientRequest request, int number) {
      StringBuilder stream = answerStreams.remove(number);
      openRequests.remove(number);
      lastUsedAt = Clock.micros();
      if (request == null) {
        return;
      }
      String text = stream == null ? "" : stream.toString();
      int headEnd = text.indexOf("\r\n\r\n");
      synchronized (request) {
        request.answerCount++;
        request.answeredAt = lastUsedAt;
        request.answer = headEnd < 0 ? "" : text.substring(headEnd + 4);
        request.status = headEnd < 0
            ? 0
            : Integer.parseInt(text.substring("Status: ".length()).split("\r\n")[0]);
        if (request.refused()) {
          scheduleRetry();
        }
      }
    }

    /** Records that the connection ended while requests may have been open on it. */
    private synchronized void connectionLost() {
      closed = true;
      closeSocket();
      for (Evidence.ClientRequest request : openRequests.values()) {
        synchronized (request) {
          request.connectionLostAt =
              request.connectionLostAt == 0 ? Clock.micros() : request.connectionLostAt;
        }
      }
    }
  }

  /** Stops sending. */
  void stop() throws InterruptedException {
    stopped = true;
    sender.interrupt();
    sender.join(2_000);
  }

  @Override
  public void close() {
    stopped = true;
    synchronized (connections) {
      connections.forEach(Connection::closeSocket);
    }
  }
}
