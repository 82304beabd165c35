import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** The very bytes of a signed request are sent once more by somebody who has seen them on their way. */
final class ReplayAfterKill {
  private static final AtomicInteger RUNS = new AtomicInteger();
  private static final long WORK = 1_500;

  public static void main(String[] args) {
    Path root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    Kit.run(Path.of(args[2]), () -> run(root, folder));
  }

  private static int run(Path root, Path folder) throws Exception {
    EdgeKit.RunnerList list = new EdgeKit.RunnerList();
    EdgeKit.Runner runner = new EdgeKit.Runner(ReplayAfterKill::handle);
    list.set(runner.port());
    EdgeKit.Edge edge = new EdgeKit.Edge(root, folder, list,
        "request_class { name: \"read\" effect: SAFE aim_ms: 2000 deadline_ms: 5000 worth: 3 }\n",
        "route { type: \"hours.read\" request_class: \"read\" }\n", "tolerance_s: 300", "ledger { sync: true }\n");
    edge.start();
    Kit.sleep(1_000);
    byte[] request = EdgeKit.signed("msg_" + Kit.hex(), EdgeKit.seconds(),
        EdgeKit.payload("hours.read", "svc/hours", "person-1"), 0);
    EdgeKit.Message[] first = new EdgeKit.Message[1];
    Thread sender = new Thread(() -> {
      try {
        first[0] = EdgeKit.once(edge.port, request);
      } catch (IOException e) {
        Kit.note("the sender: %s", e);
      }
    });
    sender.start();
    Kit.sleep(WORK / 2);
    if (Kit.TROUBLE) {
      edge.kill();
      sender.join();
      edge.start();
      Kit.sleep(1_500);
    }
    sender.join();
    Kit.note("the signed request: %s, runs so far %d", EdgeKit.status(first[0]), RUNS.get());
    if (RUNS.get() != 1) {
      return Kit.CANNOT_RUN;
    }
    EdgeKit.Message replay = EdgeKit.once(edge.port, request);
    Kit.say("the same bytes again: %s, runs %d", EdgeKit.status(replay), RUNS.get());
    return RUNS.get() > 1 || replay != null && replay.first.contains(" 200") ? Kit.BROKEN : Kit.HELD;
  }

  private static void handle(EdgeKit.Call call, OutputStream out) {
    Kit.note("run %d of %s", RUNS.incrementAndGet(), call.id);
    try {
      Kit.sleep(WORK);
      out.write(call.answer("hours"));
    } catch (IOException e) {
      Kit.note("the runner's connection ended: %s", e);
    }
  }
}
