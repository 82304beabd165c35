import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** Some good answers of a runner come with a second copy, some milliseconds later. */
final class SecondCopies {
  private static final int CALLS = 200;
  private static final long LATER = 15;
  private static final AtomicInteger ANSWERS = new AtomicInteger();
  private static final AtomicInteger COPIES = new AtomicInteger();

  public static void main(String[] args) {
    Path root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    Kit.run(Path.of(args[2]), () -> run(root, folder));
  }

  private static int run(Path root, Path folder) throws Exception {
    EdgeKit.RunnerList list = new EdgeKit.RunnerList();
    EdgeKit.Runner runner = new EdgeKit.Runner(SecondCopies::handle);
    list.set(runner.port());
    EdgeKit.Edge edge = new EdgeKit.Edge(root, folder, list,
        "request_class { name: \"read\" effect: SAFE aim_ms: 2000 deadline_ms: 5000 worth: 3 }\n",
        "route { type: \"hours.read\" request_class: \"read\" }\n", "", "");
    edge.start();
    Kit.sleep(1_000);
    int own = 0;
    int foreign = 0;
    int other = 0;
    try (EdgeKit.Sender sender = new EdgeKit.Sender(edge.port)) {
      for (int i = 0; i < CALLS; i++) {
        String id = "msg_" + Kit.hex();
        String person = "person-" + i;
        EdgeKit.Message a =
            sender.send(EdgeKit.signed(id, EdgeKit.seconds(), EdgeKit.payload("hours.read", "svc/hours", person), 0));
        String text = a == null ? "" : new String(a.body, StandardCharsets.UTF_8);
        boolean served = a != null && a.first.contains(" 200");
        boolean mine = text.equals("hours of " + person);
        own += served && mine ? 1 : 0;
        foreign += served && !mine ? 1 : 0;
        other += served ? 0 : 1;
        Kit.note("call %s of %s: %s%s", id, person, EdgeKit.status(a),
            served && !mine ? ", FOREIGN: \"" + text + "\"" : served ? ", \"" + text + "\"" : "");
        Kit.sleep(4);
      }
    }
    Kit.say("%d calls, %d second copies: %d served with their own result, %d with another call's, %d not served", CALLS,
        COPIES.get(), own, foreign, other);
    return foreign > 0 ? Kit.BROKEN : own > 0 ? Kit.HELD : Kit.CANNOT_RUN;
  }

  private static void handle(EdgeKit.Call call, OutputStream out) {
    byte[] answer = call.answer("hours of " + EdgeKit.after(call.payload.replace("\\", ""), "\"text\":\""));
    try {
      Kit.sleep(10);
      out.write(answer);
      if (Kit.TROUBLE && ANSWERS.incrementAndGet() % 20 == 0) {
        COPIES.incrementAndGet();
        Kit.note("a second copy follows the answer to %s", call.id);
        Kit.sleep(LATER);
        out.write(answer);
      }
    } catch (IOException e) {
      Kit.note("the runner's connection ended: %s", e);
    }
  }
}
