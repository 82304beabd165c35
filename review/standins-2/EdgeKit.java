import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.Map;
import java.util.function.BiConsumer;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Stand-ins around an edge: senders of signed webhooks, runners, and the list of runners. */
final class EdgeKit {
  private static final byte[] KEY = "a-secret-of-a-review-case".getBytes(StandardCharsets.US_ASCII);
  static final String SECRET = "whsec_" + Base64.getEncoder().encodeToString(KEY);

  private EdgeKit() {}

  /** An HTTP/1.1 message as it was read. */
  static final class Message {
    String first;
    String head;
    byte[] body = {};

    String field(String name) {
      for (String line : head.split("\r\n")) {
        if (line.toLowerCase().startsWith(name.toLowerCase() + ":")) {
          return line.substring(name.length() + 1).trim();
        }
      }
      return null;
    }
  }

  /** Reads a message with a Content-Length; null at the end of the connection. */
  static Message read(DataInputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int matched = 0;
    while (matched < 4) {
      int b = in.read();
      if (b < 0) {
        return null;
      }
      head.write(b);
      matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
    }
    Message m = new Message();
    m.head = head.toString(StandardCharsets.ISO_8859_1);
    m.first = m.head.substring(0, m.head.indexOf("\r\n"));
    String length = m.field("Content-Length");
    m.body = new byte[length == null ? 0 : Integer.parseInt(length)];
    in.readFully(m.body);
    return m;
  }

  // ---- the list of runners: a blocking health query

  static final class RunnerList {
    final ServerSocket server = Kit.listen();
    private long index = 1;
    private String entries = "[]";

    RunnerList() throws IOException {
      Kit.daemon("list", () -> {
        while (true) {
          Socket s = server.accept();
          Kit.daemon("list-reader", () -> serve(s));
        }
      });
    }

    synchronized void set(int... ports) {
      StringBuilder text = new StringBuilder("[");
      for (int port : ports) {
        text.append(text.length() > 1 ? "," : "").append("{\"Service\":{\"ID\":\"r-").append(port)
            .append("\",\"Address\":\"127.0.0.1\",\"Port\":").append(port)
            .append(",\"Meta\":{\"zone\":\"north\",\"cell\":\"0\",\"phase\":\"running\",\"weight\":\"1\"}}}");
      }
      entries = text.append("]").toString();
      index++;
      Kit.note("list of runners: %s", entries);
      notifyAll();
    }

    private int serve(Socket s) throws Exception {
      DataInputStream in = new DataInputStream(new BufferedInputStream(s.getInputStream()));
      OutputStream out = s.getOutputStream();
      for (Message m = EdgeKit.read(in); m != null; m = EdgeKit.read(in)) {
        String query = m.first.substring(m.first.indexOf("index=") + 6);
        long known = Long.parseLong(query.substring(0, query.indexOf('&')));
        byte[] body;
        long at;
        synchronized (this) {
          long until = Kit.now() + 3_000;
          while (known == index && Kit.now() < until) {
            wait(Math.max(1, until - Kit.now()));
          }
          body = entries.getBytes(StandardCharsets.UTF_8);
          at = index;
        }
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Consul-Index: " + at + "\r\nContent-Length: "
            + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(body);
      }
      return 0;
    }
  }

  // ---- runners

  /** A call that has arrived whole at a runner. */
  static final class Call {
    String id;
    String payload;
    Socket socket;
    int port;

    /** The answer to this call by the Open Inference Protocol, with the id that the call has. */
    byte[] answer(String result) {
      byte[] body = ("{\"id\":\"" + id + "\",\"model_name\":\"m\",\"outputs\":[{\"name\":\"result\",\"datatype\":\"BYTES\","
          + "\"shape\":[1],\"data\":[\"" + result.replace("\\", "\\\\").replace("\"", "\\\"") + "\"]}]}")
              .getBytes(StandardCharsets.UTF_8);
      byte[] head = ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\ngorseladder-ran: yes\r\n"
          + "gorseladder-copy: found\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
      byte[] all = new byte[head.length + body.length];
      System.arraycopy(head, 0, all, 0, head.length);
      System.arraycopy(body, 0, all, head.length, body.length);
      return all;
    }
  }

  /** A runner that keeps its connections; what it does with a call is up to the case. */
  static final class Runner {
    final ServerSocket server = Kit.listen();

    Runner(BiConsumer<Call, OutputStream> handler) throws IOException {
      Kit.daemon("runner", () -> {
        while (true) {
          Socket s = server.accept();
          s.setTcpNoDelay(true);
          Kit.daemon("runner-connection", () -> serve(s, handler));
        }
      });
    }

    int port() {
      return server.getLocalPort();
    }

    private int serve(Socket s, BiConsumer<Call, OutputStream> handler) throws Exception {
      DataInputStream in = new DataInputStream(new BufferedInputStream(s.getInputStream()));
      OutputStream out = s.getOutputStream();
      for (Message m = EdgeKit.read(in); m != null; m = EdgeKit.read(in)) {
        if (!m.first.contains("/infer")) {
          out.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          continue;
        }
        String text = new String(m.body, StandardCharsets.UTF_8);
        Call call = new Call();
        call.id = after(text, "\"id\":\"");
        call.payload = text;
        call.socket = s;
        call.port = port();
        handler.accept(call, out);
      }
      return 0;
    }
  }

  static String after(String text, String mark) {
    int from = text.indexOf(mark) + mark.length();
    return text.substring(from, text.indexOf('"', from));
  }

  // ---- the edge

  static final class Edge {
    final Path root;
    final Path folder;
    final int port;
    final Path file;
    Process process;

    Edge(Path root, Path folder, RunnerList list, String classes, String routes, String endpoint, String more)
        throws Exception {
      this.root = root;
      this.folder = folder;
      port = Kit.freePort();
      file = folder.resolve("edge.txtpb");
      Files.writeString(file, "listen: \"127.0.0.1:" + port + "\"\nordinal: 0\nedges: 1\ndata_directory: \""
          + folder.resolve("data") + "\"\n" + classes + "tenant { name: \"first\" share: 1 }\n"
          + "endpoint { path: \"/hooks/first\" tenant: \"first\" secret: \"" + SECRET + "\" " + endpoint + "\n" + routes
          + "}\nrunners { loads_on_miss: true cancelling: true keep_alive_ms: 60000 }\n"
          + "worker_list { address: \"127.0.0.1:" + list.server.getLocalPort() + "\" service: \"runners\" wait_ms: 3000 }\n"
          + more + "log { form: TEXT level: \"INFO\" }\n");
    }

    /** Starts the edge, or starts it again with the same folder. */
    void start() throws Exception {
      process = Kit.start(root, Map.of(), folder.resolve("edge-" + Kit.now() + ".log").toFile(), "java", "-Xmx256m",
          "-XX:+UseSerialGC", "-jar", "app/target/gorseladder.jar", "edge", file.toString());
      long limit = Kit.now() + 30_000;
      while (Kit.now() < limit && process.isAlive()) {
        try (Socket s = new Socket("127.0.0.1", port)) {
          Kit.note("the edge listens, process %d", process.pid());
          return;
        } catch (IOException e) {
          Kit.sleep(100);
        }
      }
      throw new IOException("the edge does not listen");
    }

    void kill() throws Exception {
      Kit.signal(process, "KILL");
      process.waitFor();
    }
  }

  // ---- senders

  static String payload(String type, String function, String text) {
    return "{\"type\":\"" + type + "\",\"timestamp\":\"2026-01-01T00:00:00Z\",\"data\":{\"function\":\"" + function
        + "\",\"text\":\"" + text + "\"}}";
  }

  /** A signed request, whole. */
  static byte[] signed(String id, long seconds, String payload, int waitSeconds) throws Exception {
    return signed("/hooks/first", id, seconds, payload, waitSeconds);
  }

  /** A signed request to a path, whole; the signature covers id, time stamp and content. */
  static byte[] signed(String path, String id, long seconds, String payload, int waitSeconds) throws Exception {
    byte[] body = payload.getBytes(StandardCharsets.UTF_8);
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(KEY, "HmacSHA256"));
    mac.update((id + "." + seconds + ".").getBytes(StandardCharsets.UTF_8));
    String signature = Base64.getEncoder().encodeToString(mac.doFinal(body));
    byte[] head = ("POST " + path + " HTTP/1.1\r\nHost: edge\r\nContent-Type: application/json\r\nwebhook-id: " + id
        + "\r\nwebhook-timestamp: " + seconds + "\r\nwebhook-signature: v1," + signature
        + (waitSeconds > 0 ? "\r\nPrefer: wait=" + waitSeconds : "") + "\r\nContent-Length: " + body.length
        + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    return all;
  }

  static long seconds() {
    return System.currentTimeMillis() / 1_000;
  }

  /** A sender's connection. */
  static final class Sender implements AutoCloseable {
    final Socket socket;
    private final DataInputStream in;

    Sender(int port) throws IOException {
      socket = new Socket("127.0.0.1", port);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(20_000);
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    }

    /** Sends a request and waits for its answer; null where the connection ends without one. */
    Message send(byte[] request) throws IOException {
      try {
        socket.getOutputStream().write(request);
        return EdgeKit.read(in);
      } catch (java.net.SocketTimeoutException e) {
        throw e;
      } catch (IOException e) {
        return null;
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Sends a request on a connection of its own; the status, or 0 where no answer came. */
  static Message once(int port, byte[] request) throws IOException {
    try (Sender sender = new Sender(port)) {
      return sender.send(request);
    }
  }

  static String status(Message answer) {
    return answer == null ? "no answer" : answer.first.substring(9) + " " + answer.field("gorseladder-reason");
  }
}
