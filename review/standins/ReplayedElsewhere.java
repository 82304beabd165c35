package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Signed requests are captured and replayed, byte for byte but for the path, at the edge's other endpoint, which has the
 * same secret. The check: no replay of a request that was taken is accepted, and no unsafe message runs twice.
 */
final class ReplayedElsewhere extends Case {
  private static final int MESSAGES = 10;
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  public static void main(String[] args) {
    run(new ReplayedElsewhere(), args);
  }

  @Override
  boolean play() throws Exception {
    WorkerList list = new WorkerList(record);
    for (int i = 0; i < 3; i++) {
      list.set(new Runner("r" + i, record, this::work).port(), "running");
    }
    String second = String.join(
        "\n",
        "endpoint {",
        "  path: \"/v2/hooks/office\"",
        "  tenant: \"office\"",
        "  secret: \"" + Sender.SECRET + "\"",
        "  route { type: \"certificate.issued\" request_class: \"issue\" function: \"certificates\" }",
        "}");
    Edge edge = Edge.start(folder, Settings.edge(folder, list, second), record);
    Thread.sleep(500);
    boolean held = true;
    for (int i = 0; i < MESSAGES; i++) {
      String id = "msg_" + i;
      long stamp = System.currentTimeMillis() / 1000;
      held &= answered(edge, "/hooks/office", id, stamp) == 200;
      held &= answered(edge, "/hooks/office", id, stamp) == 409;
      if (trouble) {
        held &= answered(edge, "/v2/hooks/office", id, stamp) != 200;
      }
      record.line("message %s ran %d times", id, runs.get(id));
      held &= runs.get(id) == 1;
    }
    edge.kill();
    return held;
  }

  private int answered(Edge edge, String path, String id, long stamp) throws Exception {
    Sender sender = new Sender(edge.port());
    sender.send(Sender.request(path, id, "certificate.issued", "certificates", stamp));
    Http answer = sender.receive(10_000);
    sender.leave();
    record.line("%s at %s, time stamp %d: %s %s", id, path, stamp, answer.startLine(), answer.text());
    return answer.status();
  }

  private void work(Runner runner, Runner.Call call, byte[] answer, java.net.Socket socket, java.io.OutputStream out)
      throws Exception {
    runs.merge(call.id(), 1, Integer::sum);
    Threads.sleep(60);
    out.write(answer);
  }
}
