import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Signed requests that were taken are posted once more by somebody who has seen them: the same bytes, but for the path. */
final class ReplayAtAnotherPath {
  private static final int MESSAGES = 10;
  private static final String FIRST = "/hooks/first";
  private static final String SECOND = "/v2/hooks/first";
  private static final Map<String, Integer> RUNS = new ConcurrentHashMap<>();

  public static void main(String[] args) {
    Path root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    Kit.run(Path.of(args[2]), () -> run(root, folder));
  }

  private static int run(Path root, Path folder) throws Exception {
    EdgeKit.RunnerList list = new EdgeKit.RunnerList();
    EdgeKit.Runner runner = new EdgeKit.Runner(ReplayAtAnotherPath::handle);
    list.set(runner.port());
    String route = "route { type: \"certificate.issued\" request_class: \"issue\" }\n";
    EdgeKit.Edge edge = new EdgeKit.Edge(root, folder, list,
        "request_class { name: \"issue\" effect: UNSAFE aim_ms: 1000 deadline_ms: 3000 worth: 5 }\n", route, "",
        "endpoint { path: \"" + SECOND + "\" tenant: \"first\" secret: \"" + EdgeKit.SECRET + "\"\n" + route + "}\n");
    edge.start();
    Kit.sleep(1_000);
    int served = 0;
    int taken = 0;
    for (int i = 0; i < MESSAGES; i++) {
      String id = "msg_" + Kit.hex();
      long seconds = EdgeKit.seconds();
      String payload = EdgeKit.payload("certificate.issued", "svc/certificates", "person-" + i);
      EdgeKit.Message first = EdgeKit.once(edge.port, EdgeKit.signed(FIRST, id, seconds, payload, 0));
      String replayPath = Kit.TROUBLE ? SECOND : FIRST;
      EdgeKit.Message replay = EdgeKit.once(edge.port, EdgeKit.signed(replayPath, id, seconds, payload, 0));
      Kit.note("%s, time stamp %d: at %s %s; replayed at %s %s; ran %d times", id, seconds, FIRST, EdgeKit.status(first),
          replayPath, EdgeKit.status(replay), RUNS.getOrDefault(id, 0));
      served += first != null && first.first.contains(" 200") ? 1 : 0;
      taken += RUNS.getOrDefault(id, 0) > 1 ? 1 : 0;
    }
    Kit.say("%d messages served, %d of them ran twice", served, taken);
    return taken > 0 ? Kit.BROKEN : served == MESSAGES ? Kit.HELD : Kit.CANNOT_RUN;
  }

  private static void handle(EdgeKit.Call call, OutputStream out) {
    String id = call.id.substring(call.id.indexOf(' ') + 1);
    Kit.note("run %d of %s", RUNS.merge(id, 1, Integer::sum), call.id);
    try {
      Kit.sleep(50);
      out.write(call.answer("issued"));
    } catch (IOException e) {
      Kit.note("the runner's connection ended: %s", e);
    }
  }
}
