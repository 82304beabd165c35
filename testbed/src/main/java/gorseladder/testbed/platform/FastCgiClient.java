package gorseladder.testbed.platform;

import gorseladder.wire.fastcgi.RecordWriter;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A connection of a simulated web server to a dispatcher. A separate thread reads the answers; each request id is
 * used once, unless its answer is forgotten. Thread-safe.
 */
public final class FastCgiClient implements Closeable {
  private static final int STDOUT = 6;
  private static final int END_REQUEST = 3;
  private static final String LIVENESS_PATH = "/status/live";

  /**
   * A complete answer; {@code status} is 0 if it had no response, {@code protocol} is the FastCGI protocol status.
   *
   * @param at when its end was read, as {@link System#nanoTime()}
   */
  public record Answer(int status, Map<String, String> fields, byte[] body, int protocol, long at) {
    /** Returns true if the answer says that a retry is harmless. */
    public boolean refused() {
      return status == 429 || status == 503 || protocol == 2;
    }
  }

  private final Socket socket;
  private final Map<Integer, ByteArrayOutputStream> streams = new HashMap<>();
  private final Map<Integer, Answer> answers = new HashMap<>();
  private int duplicateAnswers;
  private boolean ended;

  public FastCgiClient(InetSocketAddress to) throws IOException {
    socket = new Socket(to.getAddress(), to.getPort());
    socket.setTcpNoDelay(true);
    Thread reader = new Thread(this::read, "fastcgi-client");
    reader.setDaemon(true);
    reader.start();
  }

  /** Returns true if a dispatcher can be reached and reports within the given time that it is live. */
  public static boolean isLive(InetSocketAddress dispatcher, long millis)
      throws InterruptedException {
    try (FastCgiClient client = new FastCgiClient(dispatcher)) {
      client.write(
          RecordWriter.request(1, true, Map.of("SCRIPT_NAME", LIVENESS_PATH), new byte[0]));
      Answer answer = client.await(1, millis);
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns the parameters of a valid request. */
  public static Map<String, String> params(
      String requestClass, String id, String function, long timeoutMillis) {
    Map<String, String> params = new LinkedHashMap<>();
    params.put("SCRIPT_NAME", "/svc/" + requestClass);
    params.put("HTTP_X_REQUEST_ID", id);
    params.put("HTTP_X_TIMEOUT_MS", Long.toString(timeoutMillis));
    params.put("HTTP_X_TENANT", "t");
    params.put("HTTP_X_OBJECT", function);
    params.put("HTTP_X_FACTS", "memory_mb:10;lanes:1;load_ms:20");
    return params;
  }

  /** Sends a complete request. */
  public void send(int number, Map<String, String> params, byte[] body) throws IOException {
    write(RecordWriter.request(number, true, params, body));
  }

  /** Sends raw bytes. */
  public synchronized void write(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  private void read() {
    try {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      byte[] header = new byte[8];
      while (true) {
        in.readFully(header);
        int id = (header[2] & 0xff) << 8 | header[3] & 0xff;
        byte[] content = in.readNBytes((header[4] & 0xff) << 8 | header[5] & 0xff);
        in.readNBytes(header[6] & 0xff);
        recordReceived(header[1], id, content);
      }
    } catch (IOException e) {
      synchronized (this) {
        ended = true;
        notifyAll();
      }
    }
  }

  private synchronized void recordReceived(int type, int id, byte[] content) {
    if (type == STDOUT) {
      streams.computeIfAbsent(id, i -> new ByteArrayOutputStream()).writeBytes(content);
    } else if (type == END_REQUEST) {
      ByteArrayOutputStream stream = streams.remove(id);
      duplicateAnswers +=
          answers.put(id, answer(stream == null ? new byte[0] : stream.toByteArray(), content[4]))
                  == null
              ? 0
              : 1;
      notifyAll();
    }
  }

  private static Answer answer(byte[] bytes, int protocol) {
    long at = System.nanoTime();
    String text = new String(bytes, StandardCharsets.ISO_8859_1);
    int split = text.indexOf("\r\n\r\n");
    if (split < 0) {
      return new Answer(0, Map.of(), bytes, protocol, at);
    }
    Map<String, String> fields = new HashMap<>();
    for (String line : text.substring(0, split).split("\r\n")) {
      fields.put(
          line.substring(0, line.indexOf(':')),
          line.substring(line.indexOf(':') + 1).strip());
    }
    return new Answer(
        Integer.parseInt(fields.get("Status")),
        fields,
        Arrays.copyOfRange(bytes, split + 4, bytes.length),
        protocol,
        at);
  }

  /** Waits for the answer to a request; returns null if none arrived in time or the connection ended. */
  public synchronized Answer await(int number, long millis) throws InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    while (!answers.containsKey(number) && !ended && System.nanoTime() < until) {
      wait(10);
    }
    return answers.get(number);
  }

  /** Waits for the connection to end; returns false if it is still open after the given time. */
  public synchronized boolean awaitEnd(long millis) throws InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    while (!ended && System.nanoTime() < until) {
      wait(10);
    }
    return ended;
  }

  /** Discards the answer to a request, so that its id can be used again. */
  public synchronized void forget(int number) {
    answers.remove(number);
  }

  /** Returns the number of additional answers to requests that were already answered. */
  public synchronized int duplicateAnswers() {
    return duplicateAnswers;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
