import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/** Web servers hold up to a third of the descriptor limit as connections, with one request open on each. */
final class BusyConnections {
  private static final int SOCKETS = 1_024;
  private static final int CONNECTIONS = Kit.TROUBLE ? Integer.getInteger("connections", 200) : 60;
  private static final int MEMORY_MB = Integer.getInteger("memory", 96);
  private static final long WORK = Integer.getInteger("work", 400);
  private static final long TIMEOUT = 3_000;
  private static final long SLACK = 550;
  private static final long LENGTH = 12_000;

  private static final AtomicInteger SENT = new AtomicInteger();
  private static final AtomicInteger SERVED = new AtomicInteger();
  private static final AtomicInteger REFUSED = new AtomicInteger();
  private static final AtomicInteger LOST = new AtomicInteger();
  private static final AtomicInteger CROSSED = new AtomicInteger();

  public static void main(String[] args) {
    Path root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    Kit.run(Path.of(args[2]), () -> run(root, folder));
  }

  private static int run(Path root, Path folder) throws Exception {
    Kit.ChangeLog log = new Kit.ChangeLog();
    StringBuilder targets = new StringBuilder();
    for (int i = 0; i < 12; i++) {
      Kit.Runner runner = new Kit.Runner("r-" + i, BusyConnections::handle);
      targets.append(i == 0 ? "" : ",").append(runner.entry("active", 0));
    }
    log.append(targets.toString(), true);
    Kit.Dispatcher d = new Kit.Dispatcher(root, folder, MEMORY_MB, SOCKETS, log,
        Kit.settings(Kit.profile("read", "pure", 1_200, (int) TIMEOUT)));
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      int number = i;
      Thread t = new Thread(null, () -> client(d.port, number), "web-server", 128 << 10);
      threads.add(t);
      t.start();
    }
    for (Thread t : threads) {
      t.join();
    }
    Kit.say("%d connections, %d requests: %d served, %d refused or failed, %d lost, %d resent after a close",
        CONNECTIONS, SENT.get(), SERVED.get(), REFUSED.get(), LOST.get(), CROSSED.get());
    return LOST.get() > 0 ? Kit.BROKEN : SERVED.get() > 0 ? Kit.HELD : Kit.CANNOT_RUN;
  }

  /** A web server's connection: the next request goes out as soon as the last one is answered. */
  private static int client(int port, int number) {
    Random random = new Random(number);
    Kit.Client c = null;
    Kit.sleep(random.nextInt(500));
    while (Kit.now() < LENGTH) {
      try {
        if (c == null || c.isEnded()) {
          c = new Kit.Client(port);
        }
        String id = Kit.hex();
        String function = String.format("%016x", random.nextInt(20));
        long at = Kit.now();
        boolean fresh = true;
        SENT.incrementAndGet();
        Kit.Answer a = ask(c, id, function, TIMEOUT + SLACK);
        if (a.lost != null && Kit.now() - at <= 50) {
          // It crossed the end of the connection: resent once, on a new one.
          CROSSED.incrementAndGet();
          c = new Kit.Client(port);
          a = ask(c, id, function, TIMEOUT + SLACK);
        }
        String end = a.lost != null ? "LOST: " + a.lost : "status " + a.status;
        Kit.note("connection %d request %s sent at %d ms: %s", number, id, at, end);
        if (a.lost != null) {
          LOST.incrementAndGet();
          c.close();
          c = null;
          Kit.sleep(500);
        } else if (a.status == 200) {
          SERVED.incrementAndGet();
        } else {
          REFUSED.incrementAndGet();
          Kit.sleep(200);
        }
        Kit.sleep(1);
      } catch (Exception e) {
        Kit.note("connection %d: %s", number, e);
        Kit.sleep(200);
      }
    }
    return 0;
  }

  private static Kit.Answer ask(Kit.Client c, String id, String function, long wait) throws Exception {
    try {
      return c.send(Kit.params(id, "read", TIMEOUT, function, 8), new byte[16]).get(wait, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      Kit.Answer a = new Kit.Answer();
      a.lost = "no answer in " + wait + " ms";
      return a;
    }
  }

  private static void handle(Kit.Go go) {
    long ready = WORK / 2 + (long) (Math.random() * WORK);
    Kit.daemon("work", 64 << 10, () -> {
      Kit.sleep(ready);
      go.answer("ok", "remark=up", new byte[32]);
      return 0;
    });
  }
}
