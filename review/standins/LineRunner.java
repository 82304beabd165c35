package review;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A runner of the platform: lines of words over TCP. */
final class LineRunner {
  interface Work {
    /** Runs a call and answers it with {@code answer}, unless it was given up. */
    void run(LineRunner runner, Attempt attempt) throws Exception;
  }

  /** An attempt that has arrived whole. */
  final class Attempt {
    private final String id;
    private final Map<String, Attempt> open;
    private final OutputStream out;
    private volatile boolean givenUp;

    Attempt(String id, Map<String, Attempt> open, OutputStream out) {
      this.id = id;
      this.open = open;
      this.out = out;
    }

    String id() {
      return id;
    }

    boolean givenUp() {
      return givenUp;
    }

    void answer(String word, String fields, String body) throws IOException {
      open.remove(id);
      byte[] bytes = (id + " " + word + " " + fields + " " + body.length() + "\r\n" + body + "\r\n")
          .getBytes(StandardCharsets.US_ASCII);
      synchronized (out) {
        out.write(bytes);
      }
    }
  }

  private final ServerSocket server;
  private final Record record;
  private final String name;
  private final Work work;

  LineRunner(String name, Record record, Work work) throws IOException {
    this.name = name;
    this.record = record;
    this.work = work;
    server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Threads.start(() -> Threads.serve(server, this::serve));
  }

  int port() {
    return server.getLocalPort();
  }

  private static String line(DataInputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        return line.substring(0, line.length() - 1);
      }
      line.append((char) b);
    }
    return null;
  }

  private void serve(Socket socket) throws Exception {
    DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
    OutputStream out = socket.getOutputStream();
    Map<String, Attempt> open = new ConcurrentHashMap<>();
    for (String line = line(in); line != null; line = line(in)) {
      String[] words = line.split(" ");
      switch (words[0]) {
        case "go" -> {
          in.readNBytes(Integer.parseInt(words[words.length - 1]) + 2);
          Attempt attempt = new Attempt(words[1], open, out);
          open.put(attempt.id, attempt);
          record.line("runner %s gets call %s", name, attempt.id);
          Threads.start(() -> work.run(this, attempt));
        }
        case "halt" -> {
          record.line("runner %s is told to give %s up", name, words[1]);
          Attempt attempt = open.remove(words[1]);
          if (attempt != null) {
            attempt.givenUp = true;
          }
        }
        case "stage" -> {
          synchronized (out) {
            out.write((words[1] + " ok pods=1 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
          }
        }
        default -> record.line("runner %s gets %s", name, line);
      }
    }
    open.values().forEach(a -> a.givenUp = true);
  }
}
