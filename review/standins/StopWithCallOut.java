package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A planned restart while one of eight runners takes calls and answers none. The check: a call that was taken before
 * SIGTERM gets a final answer, whatever it is, before its client gives up.
 */
final class StopWithCallOut extends Case {
  private static final int RUNNERS = 8;
  /** A runner hangs for so long. */
  private static final int HANG_MILLIS = 20_000;
  /** The deadline of the class, and what a late answer may take beyond it. */
  private static final int DEADLINE_MILLIS = 10_000;

  private static final int SLACK_MILLIS = 500;
  private static final int STOP_MILLIS = 3_000;

  private final Map<String, String> runnerOfCall = new ConcurrentHashMap<>();
  private volatile String hanging = "";
  private volatile double hangsUntil;

  public static void main(String[] args) {
    run(new StopWithCallOut(), args);
  }

  @Override
  boolean play() throws Exception {
    WorkerList list = new WorkerList(record);
    for (int i = 0; i < RUNNERS; i++) {
      list.set(new Runner("r" + i, record, this::work).port(), "running");
    }
    Edge edge = Edge.start(folder, Settings.edge(folder, list, "limits { stop_ms: " + STOP_MILLIS + " }"), record);
    Thread.sleep(500);
    Sender warm = new Sender(edge.port());
    warm.send(Sender.request("msg_warm", "certificate.issued", "certificates"));
    Http first = warm.receive(DEADLINE_MILLIS);
    require(first != null && first.status() == 200, "the first call was not served");
    hangsUntil = record.now() + HANG_MILLIS;
    hanging = runnerOfCall.get("msg_warm");
    record.line("runner %s takes calls and answers none for %d ms", hanging, HANG_MILLIS);
    // Calls until the runner that hangs has one; the others are served.
    List<Sender> senders = new ArrayList<>();
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 20 && !runnerOfCall.values().stream().skip(1).anyMatch(hanging::equals); i++) {
      Sender sender = new Sender(edge.port());
      String id = "msg_" + i;
      sender.send(Sender.request(id, "certificate.issued", "certificates"));
      record.line("call %s is sent", id);
      senders.add(sender);
      ids.add(id);
      Thread.sleep(150);
      if (hanging.equals(runnerOfCall.get(id))) {
        break;
      }
    }
    require(hanging.equals(runnerOfCall.get(ids.get(ids.size() - 1))), "no call met the runner that hangs");
    Thread.sleep(300);
    double sentBefore = record.now();
    if (trouble) {
      edge.signal("TERM");
    }
    boolean held = true;
    for (int i = 0; i < senders.size(); i++) {
      Http answer = null;
      String end = "the connection ended WITHOUT AN ANSWER";
      try {
        answer = senders.get(i).receive((int) (sentBefore + DEADLINE_MILLIS + SLACK_MILLIS - record.now()));
      } catch (java.net.SocketTimeoutException e) {
        end = "NO ANSWER in its time";
      }
      record.line(
          "call %s at runner %s: %s",
          ids.get(i),
          runnerOfCall.get(ids.get(i)),
          answer == null ? end : answer.startLine() + " " + answer.text());
      held &= answer != null;
    }
    if (trouble) {
      record.line("the edge ended by itself with exit code %s", edge.awaitEnd(5_000));
    }
    edge.kill();
    return held;
  }

  private void work(Runner runner, Runner.Call call, byte[] answer, java.net.Socket socket, java.io.OutputStream out)
      throws Exception {
    runnerOfCall.put(call.id(), runner.name());
    Threads.sleep(runner.name().equals(hanging) ? hangsUntil - record.now() : 60);
    out.write(answer);
    record.line("runner %s answers call %s", runner.name(), call.id());
  }
}
