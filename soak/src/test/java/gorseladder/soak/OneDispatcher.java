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

/** One real dispatcher process between runners, clients and a change log; the test itself injects the faults. */
final class OneDispatcher implements Closeable {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final double CALLS_PER_SECOND = 40;
  private static final int RUNNERS = 4;
  /** The platform counts the announcements of a new configuration as delivered this long after the signal. */
  private static final long FOLLOW_TIMEOUT_MILLIS = 4_000;

  private static final long OLD_ADDRESS_MILLIS = 1_500;
  /** More than the longest time of a request and the lateness allowed for an answer. */
  private static final long LAST_ANSWERS_MILLIS = 2_300;

  final Evidence evidence = new Evidence();
  final List<SoakRunner> runners = new ArrayList<>();
  final ChangeLogs log;
  final SoakDispatcher process;
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(4);
  private final Path folder;

  /** Starts everything; traffic runs when the constructor returns. */
  OneDispatcher(Path folder) throws IOException, InterruptedException {
    this(folder, RUNNERS);
  }

  /** Starts everything with this number of runners. */
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

  /** Writes the configuration for the present state of the change log. */
  void writeConfig() throws IOException {
    process.writeConfig(SoakConfig.json(0, 1, 7, log.proxy(0).address(), log.knownEvents()));
  }

  void set(Preload.Fault fault, long value) {
    process.control().set(fault, value);
  }

  /** Moves the change log to another address and tells the dispatcher by its configuration and one signal. */
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

  /**
   * Drains a runner once all announcements after a signal count as delivered; returns the violations of the drain rule.
   */
  List<Finding> drainAfterTheMove() throws InterruptedException {
    Thread.sleep(FOLLOW_TIMEOUT_MILLIS);
    log.announceDrain(runners.get(0));
    Thread.sleep(1_500);
    return Oracle.judge(evidence, log.changes()).findings().stream()
        .filter(finding -> finding.rule() == SoakRule.DRAIN)
        .toList();
  }

  /** Ends the traffic, waits for the last answers, and judges all evidence. */
  List<Finding> judge() throws InterruptedException {
    process.clients().stop();
    Thread.sleep(LAST_ANSWERS_MILLIS);
    return Oracle.judge(evidence, log.changes()).findings();
  }

  /** Returns what the process wrote to its log. */
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
