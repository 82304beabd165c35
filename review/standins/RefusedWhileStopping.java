package review;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A planned restart while an unsafe call is out. Its sender gave up early and retries, with a new signature and the same
 * id, at the same edge. The check: the retry is not refused (429, 503), since the call runs.
 */
final class RefusedWhileStopping extends Case {
  private static final int WORK_MILLIS = 3_000;
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  public static void main(String[] args) {
    run(new RefusedWhileStopping(), args);
  }

  @Override
  boolean play() throws Exception {
    WorkerList list = new WorkerList(record);
    for (int i = 0; i < 3; i++) {
      list.set(new Runner("r" + i, record, this::work).port(), "running");
    }
    Edge edge = Edge.start(folder, Settings.edge(folder, list, ""), record);
    Thread.sleep(500);
    Sender retry = new Sender(edge.port());
    retry.send(Sender.request("msg_warm", "certificate.issued", "certificates"));
    require(retry.receive(10_000).status() == 200, "warm call");
    Sender first = new Sender(edge.port());
    first.send(Sender.request("msg_1", "certificate.issued", "certificates"));
    record.line("call msg_1 is sent");
    Thread.sleep(1_200);
    require(runs.containsKey("msg_1"), "the call did not reach a runner");
    if (trouble) {
      edge.signal("TERM");
      Thread.sleep(100);
    }
    retry.send(Sender.request("msg_1", "certificate.issued", "certificates"));
    record.line("call msg_1 is sent again, signed anew");
    Http again = retry.receive(10_000);
    record.line("the retry: %s", again == null ? "no answer" : again.startLine() + " " + again.fields() + again.text());
    Http answer = first.receive(10_000);
    record.line("the first delivery: %s", answer == null ? "no answer" : answer.startLine() + " " + answer.text());
    record.line("runs of msg_1: %s", runs.get("msg_1"));
    edge.kill();
    return again != null && again.status() != 503 && again.status() != 429;
  }

  private void work(Runner runner, Runner.Call call, byte[] answer, java.net.Socket socket, java.io.OutputStream out)
      throws Exception {
    runs.merge(call.id(), 1, Integer::sum);
    Threads.sleep(call.id().equals("msg_1") ? WORK_MILLIS : 60);
    out.write(answer);
    record.line("runner %s answers call %s", runner.name(), call.id());
  }
}
