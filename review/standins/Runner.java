package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A runner: Open Inference Protocol v2 over HTTP/1.1. It answers each inference with a result that names its call. */
final class Runner {
  private static final Pattern ID = Pattern.compile("\"id\"\\s*:\\s*\"([^\"]*)\"");

  /** What a runner does with a call: it works, and says whether and how it is answered. */
  interface Work {
    /** Runs the call and writes its answer to {@code out}; {@code answer} holds the bytes. */
    void run(Runner runner, Call call, byte[] answer, Socket socket, OutputStream out) throws Exception;
  }

  /** A call as it arrived. */
  record Call(String id, String function, long deadlineMillis, double arrivedAt) {}

  private final ServerSocket server;
  private final Record record;
  private final String name;
  private final Work work;

  Runner(String name, Record record, Work work) throws IOException {
    this.name = name;
    this.record = record;
    this.work = work;
    server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Threads.start(() -> Threads.serve(server, this::serve));
  }

  int port() {
    return server.getLocalPort();
  }

  String name() {
    return name;
  }

  /** The result of a call, which its client must get unchanged. */
  static String result(String id) {
    return "result of " + id;
  }

  private void serve(Socket socket) throws Exception {
    for (Http request = Http.read(socket.getInputStream());
        request != null;
        request = Http.read(socket.getInputStream())) {
      String[] path = request.startLine().split(" ")[1].split("/");
      if (!request.startLine().contains("/infer")) {
        // An order to load: the copies stand.
        socket.getOutputStream().write(Http.response(200, "", "{\"parameters\":{\"copies\":1}}"));
        continue;
      }
      Matcher id = ID.matcher(request.text());
      String message = id.find() ? id.group(1) : "";
      String webhook = message.substring(message.indexOf(' ') + 1);
      Call call = new Call(
          webhook, path[3], Long.parseLong(request.field("gorseladder-patience-ms")), record.now());
      record.line("runner %s gets call %s", name, webhook);
      byte[] answer = Http.response(
          200,
          "Content-Type: application/json\r\ngorseladder-copy: found\r\n",
          "{\"id\":\"" + message + "\",\"model_name\":\"" + path[3]
              + "\",\"outputs\":[{\"name\":\"result\",\"datatype\":\"BYTES\",\"shape\":[1],\"data\":[\""
              + result(webhook) + "\"]}]}");
      work.run(this, call, answer, socket, socket.getOutputStream());
    }
  }
}
