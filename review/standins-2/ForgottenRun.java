import java.io.OutputStream;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A call that must not run twice is first refused, since its runner is down; it runs at a retry, whose answer gets lost, and is
 * retried once more.
 */
final class ForgottenRun {
  private static final long KEEP = 24;
  private static final long RETRY_AFTER = 7_000;
  private static final AtomicInteger RUNS = new AtomicInteger();

  public static void main(String[] args) {
    Path root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    Kit.run(Path.of(args[2]), () -> run(root, folder));
  }

  private static int run(Path root, Path folder) throws Exception {
    EdgeKit.RunnerList list = new EdgeKit.RunnerList();
    EdgeKit.Runner runner = new EdgeKit.Runner(ForgottenRun::handle);
    int deadPort = Kit.freePort();
    list.set(deadPort);
    EdgeKit.Edge edge = new EdgeKit.Edge(root, folder, list,
        "request_class { name: \"issue\" effect: UNSAFE aim_ms: 1000 deadline_ms: 3000 worth: 5 }\n",
        "route { type: \"certificate.issued\" request_class: \"issue\" }\n", "tolerance_s: 10",
        "ledger { keep_s: " + KEEP + " }\n");
    edge.start();
    Kit.sleep(1_000);
    String id = "msg_" + Kit.hex();
    String payload = EdgeKit.payload("certificate.issued", "svc/certificates", "person-1");
    long begin = Kit.now();
    if (Kit.TROUBLE) {
      // The runner is down: refused, and a retry is harmless.
      EdgeKit.Message first = EdgeKit.once(edge.port, EdgeKit.signed(id, EdgeKit.seconds(), payload, 0));
      Kit.note("delivery 1 of %s, its runner is down: %s", id, EdgeKit.status(first));
      if (first == null || first.field("Retry-After") == null) {
        Kit.say("the first delivery was not refused");
        return Kit.CANNOT_RUN;
      }
    }
    Kit.sleep(begin + (KEEP - 5) * 1_000 - Kit.now());
    list.set(runner.port());
    Kit.sleep(1_000);
    // The call runs and is answered, and the answer gets lost on its way: the sender's connection breaks.
    try (EdgeKit.Sender sender = new EdgeKit.Sender(edge.port)) {
      sender.socket.getOutputStream().write(EdgeKit.signed(id, EdgeKit.seconds(), payload, 0));
      Kit.sleep(1_000);
    }
    long ranAt = Kit.now() - 1_000;
    Kit.note("delivery 2 of %s, its runner stands: the answer is lost, runs so far %d", id, RUNS.get());
    if (RUNS.get() != 1) {
      Kit.say("the second delivery did not run");
      return Kit.CANNOT_RUN;
    }
    Kit.sleep(RETRY_AFTER - 1_000);
    EdgeKit.Message third = EdgeKit.once(edge.port, EdgeKit.signed(id, EdgeKit.seconds(), payload, 0));
    Kit.note("delivery 3 of %s: %s, runs so far %d", id, EdgeKit.status(third), RUNS.get());
    Kit.say("%s ran %d times; messages are kept for %d s, and the retry came %d s after the first run", id, RUNS.get(), KEEP,
        (Kit.now() - ranAt) / 1_000);
    return RUNS.get() > 1 ? Kit.BROKEN : Kit.HELD;
  }

  private static void handle(EdgeKit.Call call, OutputStream out) {
    Kit.note("run %d of %s", RUNS.incrementAndGet(), call.id);
    try {
      Kit.sleep(100);
      out.write(call.answer("issued"));
    } catch (java.io.IOException e) {
      Kit.note("the runner's connection ended: %s", e);
    }
  }
}
