import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A call that must not run twice is first refused, since the runners are full; it runs at a retry, whose answer gets lost, and is
 * retried once more.
 */
final class ForgottenRun {
  private static final long KEEP = 24;
  private static final long RETRY_AFTER = 7_000;
  private static volatile boolean full;
  private static final AtomicInteger RUNS = new AtomicInteger();

  public static void main(String[] args) {
    Path root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    Kit.run(Path.of(args[2]), () -> run(root, folder));
  }

  private static int run(Path root, Path folder) throws Exception {
    EdgeKit.RunnerList list = new EdgeKit.RunnerList();
    list.set(new EdgeKit.Runner(ForgottenRun::handle).port(), new EdgeKit.Runner(ForgottenRun::handle).port(),
        new EdgeKit.Runner(ForgottenRun::handle).port());
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
      // The runners are full for a moment: refused, and a retry is harmless.
      full = true;
      EdgeKit.Message first = EdgeKit.once(edge.port, EdgeKit.signed(id, EdgeKit.seconds(), payload, 0));
      Kit.note("delivery 1 of %s, the runners are full: %s", id, EdgeKit.status(first));
      if (first == null || first.field("Retry-After") == null) {
        Kit.say("the first delivery was not refused");
        return Kit.CANNOT_RUN;
      }
      full = false;
    }
    Kit.sleep(begin + (KEEP - 4) * 1_000 - Kit.now());
    // The call runs and is answered, and the answer gets lost on its way: the sender's connection breaks.
    try (EdgeKit.Sender sender = new EdgeKit.Sender(edge.port)) {
      sender.socket.getOutputStream().write(EdgeKit.signed(id, EdgeKit.seconds(), payload, 0));
      Kit.sleep(1_000);
    }
    long ranAt = Kit.now() - 1_000;
    Kit.note("delivery 2 of %s, the runners have room: the answer is lost, runs so far %d", id, RUNS.get());
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
    if (full) {
      Kit.note("runner %d is full: %s never ran", call.port, call.id);
      try {
        out.write("HTTP/1.1 429 Too Many Requests\r\ngorseladder-ran: no\r\nContent-Length: 0\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII));
      } catch (java.io.IOException e) {
        Kit.note("the runner's connection ended: %s", e);
      }
      return;
    }
    Kit.note("run %d of %s", RUNS.incrementAndGet(), call.id);
    try {
      Kit.sleep(100);
      out.write(call.answer("issued"));
    } catch (java.io.IOException e) {
      Kit.note("the runner's connection ended: %s", e);
    }
  }
}
