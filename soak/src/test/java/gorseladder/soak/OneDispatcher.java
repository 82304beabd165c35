package gorseladder.soak;

import gorseladder.testbed.process.RunLine;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** One real dispatcher process between runners, clients and a change log; the test itself brings the faults. */
final class OneDispatcher implements Closeable {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final double CALLS_PER_SECOND = 40;
  private static final int RUNNERS = 4;
  /** The platform counts news of a new configuration as told so long after the signal. */
  private static final long FOLLOW_TIMEOUT_MILLIS = 4_000;

  private static final long OLD_ADDRESS_MILLIS = 1_500;
  /** The longest time of a request, what an answer may be late, and some. */
  private static final long LAST_ANSWERS_MILLIS = 2_300;

  final Evidence evidence = new Evidence();
  final List<SoakRunner> runners = new ArrayList<>();
  final ChangeLogs log;
  final SoakDispatcher process;
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(4);
  private final Path folder;

  /** Starts everything; traffic runs when this returns. */
  OneDispatcher(Path folder) throws IOException, InterruptedException {
    this(folder, RUNNERS);
  }

  /** The same with so many runners. */
  OneDispatcher(Path folder, int count) throws IOException, InterruptedException {
    this.folder = folder;
    for (int i = 0; i < count; i++) {
      runners.add(new SoakRunner("r" + i, evidence, scheduler));
    }
    log = new ChangeLogs(runners);
    Preload preload = Preload.build(folder).orElseThrow(() -> new IOException("no C compiler"));
    process = new SoakDispatcher(0, RunLine.read(ROOT), ROOT, folder, evidence, preload);
    writeConfig();
    process.start();
    process.awaitReady();
    process.clients(new SoakClients(0, process.listen(), evidence, 5, CALLS_PER_SECOND));
    process.clients().start();
    Thread.sleep(1_000);
  }

  /** Lays down its configuration as things are now. */
  void writeConfig() throws IOException {
    process.writeConfig(SoakConfig.json(0, 1, 7, log.proxy(0).address(), log.knownEvents()));
  }

  void set(Preload.Fault fault, long value) {
    process.control().set(fault, value);
  }

  /** Moves the change log to another address, which the dispatcher is told of by its configuration and one signal. */
  FaultProxy moveChangeLog() throws IOException, InterruptedException {
    FaultProxy oldProxy = log.replaceProxy(0);
    writeConfig();
    process.signal("HUP");
    oldProxy.refuseConnections();
    FaultProxy.start("old-log", () -> {
      try {
        Thread.sleep(OLD_ADDRESS_MILLIS);
        oldProxy.resetAll();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    return log.proxy(0);
  }

  /** Drains a runner once all that a signal told counts as told; what then went against the rule on drains. */
  List<Finding> drainAfterTheMove() throws InterruptedException {
    Thread.sleep(FOLLOW_TIMEOUT_MILLIS);
    log.announceDrain(runners.get(0));
    Thread.sleep(1_500);
    return Oracle.judge(evidence, log.changes()).findings().stream()
        .filter(finding -> finding.rule() == SoakRule.DRAIN)
        .toList();
  }

  /** Ends the traffic, waits for the last answers, and judges all that was seen. */
  List<Finding> judge() throws InterruptedException {
    process.clients().stop();
    Thread.sleep(LAST_ANSWERS_MILLIS);
    return Oracle.judge(evidence, log.changes()).findings();
  }

  /** What it wrote to its log. */
  String logText() {
    try {
      return Files.readString(folder.resolve("n0").resolve("log0"));
    } catch (IOException e) {
      return e.toString();
    }
  }

  @Override
  public void close() throws IOException {
    process.close();
    scheduler.shutdownNow();
    evidence.stallMonitor().close();
    for (SoakRunner runner : runners) {
      runner.close();
    }
    log.close();
  }
}
