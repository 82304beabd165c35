import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A web server has 32 requests open on its connection and reads all the time. In the burst it sends them at once, for functions of
 * a new version: they wait at the runners for the loads, and their answers come close together.
 */
final class LargeAnswers {
  private static final int OPEN = 32;
  private static final int ANSWER_BYTES = Integer.getInteger("bytes", 131_072);
  private static final int LANES = 8;
  private static final int RUNNERS = 8;
  private static final int ROUNDS = 10;
  private static final long DEADLINE = 5_000;
  private static final long LOAD = 800;
  private static final long WORK = Integer.getInteger("work", 100);

  /** By runner and function: when the load ends, and the free lanes of the copy. */
  private static final Map<String, Long> LOADED_AT = new ConcurrentHashMap<>();

  private static final Map<String, Semaphore> FREE_LANES = new ConcurrentHashMap<>();

  public static void main(String[] args) {
    Path root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    Kit.run(Path.of(args[2]), () -> run(root, folder));
  }

  private static int run(Path root, Path folder) throws Exception {
    Kit.ChangeLog log = new Kit.ChangeLog();
    StringBuilder targets = new StringBuilder();
    for (int i = 0; i < RUNNERS; i++) {
      targets.append(i == 0 ? "" : ",").append(new Kit.Runner("r-" + i, LargeAnswers::handle).entry("active", 0));
    }
    log.append(targets.toString(), true);
    Kit.Dispatcher d =
        new Kit.Dispatcher(root, folder, 192, 1024, log, Kit.settings(Kit.profile("read", "pure", 2_000, (int) DEADLINE)));
    int lost = 0;
    int served = 0;
    int turnedAway = 0;
    for (int round = 0; round < ROUNDS; round++) {
      List<String> functions = new ArrayList<>();
      for (int i = 0; i < OPEN / LANES; i++) {
        functions.add(Kit.TROUBLE ? Kit.hex() : String.format("%016x", i + 1));
      }
      try (Kit.Client c = new Kit.Client(d.port)) {
        List<CompletableFuture<Kit.Answer>> answers = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < OPEN; i++) {
          String id = Kit.hex();
          ids.add(id);
          answers.add(c.send(Kit.params(id, "read", DEADLINE, functions.get(i % functions.size()), LANES), new byte[16]));
          Kit.sleep(Kit.TROUBLE ? 0 : 20);
        }
        for (int i = 0; i < OPEN; i++) {
          Kit.Answer a;
          try {
            a = answers.get(i).get(DEADLINE + 600, TimeUnit.MILLISECONDS);
          } catch (TimeoutException e) {
            a = new Kit.Answer();
            a.lost = "no answer";
          }
          Kit.note("round %d request %s: %s", round, ids.get(i),
              a.lost != null ? "LOST, at " + a.at + " ms: " + a.lost
                  : "status " + a.status + ", " + a.body.length + " bytes, at " + a.at + " ms");
          lost += a.lost != null ? 1 : 0;
          served += a.status == 200 && a.body.length == ANSWER_BYTES ? 1 : 0;
          turnedAway += a.lost == null && a.status != 200 ? 1 : 0;
        }
      }
      Kit.sleep(300);
    }
    Kit.say("%d requests: %d served, %d refused or failed, %d lost", ROUNDS * OPEN, served, turnedAway, lost);
    return lost > 0 ? Kit.BROKEN : served > 0 ? Kit.HELD : Kit.CANNOT_RUN;
  }

  /** Runs a request as a runner does: it waits for the load of its function, then for a lane. */
  private static void handle(Kit.Go go) {
    String copy = go.runner.uid + " " + go.fields.replaceAll(".*thing=([0-9a-f]*).*", "$1");
    Long known = LOADED_AT.putIfAbsent(copy, Kit.TROUBLE ? go.at + LOAD : go.at);
    long loadedAt = known == null ? LOADED_AT.get(copy) : known;
    Semaphore lanes = FREE_LANES.computeIfAbsent(copy, c -> new Semaphore(LANES, true));
    String remark = loadedAt <= go.at ? "up" : known == null ? "fresh" : "behind";
    Kit.daemon("work", () -> {
      Kit.sleep(loadedAt - Kit.now());
      lanes.acquire();
      Kit.sleep(WORK + ThreadLocalRandom.current().nextInt(10));
      boolean written = go.answer("ok", "remark=" + remark, new byte[ANSWER_BYTES]);
      lanes.release();
      Kit.note("runner %s ran %s, arrived at %d ms%s", go.runner.uid, go.id, go.at, written ? "" : ", its connection ended");
      return 0;
    });
  }
}
