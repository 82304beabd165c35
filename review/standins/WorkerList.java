package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A worker list: the blocking health query of Consul's HTTP interface. */
final class WorkerList {
  private static final Pattern INDEX = Pattern.compile("[?&]index=([0-9]+)");
  private static final Pattern WAIT = Pattern.compile("[?&]wait=([0-9]+)ms");

  private final ServerSocket server;
  private final Map<Integer, String> phases = new LinkedHashMap<>();
  private final Record record;
  private long index = 1;

  WorkerList(Record record) throws IOException {
    this.record = record;
    server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    Threads.start(() -> Threads.serve(server, this::serve));
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  synchronized void set(int port, String phase) {
    phases.put(port, phase);
    index++;
    notifyAll();
  }

  private void serve(Socket s) throws Exception {
    for (Http request = Http.read(s.getInputStream());
        request != null;
        request = Http.read(s.getInputStream())) {
      Matcher i = INDEX.matcher(request.startLine());
      Matcher w = WAIT.matcher(request.startLine());
      s.getOutputStream()
          .write(answer(
              i.find() ? Long.parseLong(i.group(1)) : 0, w.find() ? Long.parseLong(w.group(1)) : 5000));
    }
  }

  private synchronized byte[] answer(long since, long wait) throws InterruptedException {
    long end = System.nanoTime() + wait * 1_000_000;
    for (long left = wait; index <= since && left > 0; left = (end - System.nanoTime()) / 1_000_000) {
      wait(left);
    }
    StringBuilder json = new StringBuilder("[");
    phases.forEach((port, phase) -> json.append(json.length() > 1 ? "," : "")
        .append("{\"Service\":{\"ID\":\"r" + port + "\",\"Service\":\"runners\",\"Address\":\"127.0.0.1\",\"Port\":"
            + port + ",\"Meta\":{\"zone\":\"a\",\"cell\":\"0\",\"phase\":\"" + phase + "\",\"weight\":\"4\"}}}"));
    return Http.response(
        200, "X-Consul-Index: " + index + "\r\nContent-Type: application/json\r\n", json + "]");
  }
}
