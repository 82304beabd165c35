package gorseladder.soak;

import gorseladder.runtime.Clock;
import gorseladder.testbed.process.RunLine;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.regex.Pattern;

/**
 * One run of a plan: starts every process, causes the troubles, stops every process and has the oracle judge the
 * evidence.
 */
public final class SoakRun implements Closeable {
  /** Time for the last answers after the last request. */
  private static final long LAST_ANSWERS_MILLIS = 2_300;

  private static final int SCHEDULER_THREADS = 4;
  private static final Pattern ERROR_LINE =
      Pattern.compile("^[0-9:.]+ ERROR |^Exception in thread");

  private final SoakPlan plan;
  private final Path root;
  private final Path folder;
  private final String command;
  private final Evidence evidence = new Evidence();
  private final ScheduledExecutorService scheduler =
      Executors.newScheduledThreadPool(SCHEDULER_THREADS);
  private final List<SoakRunner> runners = new ArrayList<>();
  private final List<SoakDispatcher> dispatchers = new ArrayList<>();
  private final List<Finding> findings = new ArrayList<>();
  private final Preload preload;
  private final Troubles troubles = new Troubles(this);
  private ChangeLogs log;

  /**
   * The result of a run.
   *
   * @param injected system calls that were made to fail
   * @param longestStall the longest time for which the soak's own threads were delayed, in microseconds
   * @param totalStall the sum of all such times, in microseconds
   * @param heldInTheWrite attempts that passed the last check before their dispatcher was paused and arrived after it
   *     resumed: not judged
   * @param endsNotJudged processes that were still running at the earliest kill while the machine stalled
   * @param troublesFailed troubles that the soak itself failed to cause
   */
  public record Result(
      SoakPlan plan,
      List<Finding> findings,
      int requests,
      int served,
      int attempts,
      long injected,
      long longestStall,
      long totalStall,
      int heldInTheWrite,
      int endsNotJudged,
      int troublesFailed) {}

  /**
   * Prepares a run, which starts with {@link #execute}.
   *
   * @param root the folder that contains the deploy file
   * @param folder for logs and configurations
   * @param command starts a dispatcher; null for the command of the deploy file
   */
  public SoakRun(SoakPlan plan, Path root, Path folder, String command)
      throws IOException, InterruptedException {
    this.plan = plan;
    this.root = root;
    this.folder = Files.createDirectories(folder);
    this.command = command == null ? RunLine.read(root) : command;
    Optional<Preload> built = Preload.build(folder);
    if (built.isEmpty()) {
      System.err.println("no C compiler: system calls do not fail and clocks are not stepped");
    }
    this.preload = built.orElse(null);
  }

  /** Runs the plan to its end. */
  public Result execute() throws IOException, InterruptedException {
    for (int i = 0; i < plan.runners(); i++) {
      runners.add(new SoakRunner("r" + i, evidence, scheduler));
    }
    log = new ChangeLogs(runners);
    for (int i = 0; i < plan.dispatchers(); i++) {
      SoakDispatcher dispatcher = new SoakDispatcher(i, command, root, folder, evidence, preload);
      dispatchers.add(dispatcher);
      writeConfig(dispatcher);
      dispatcher.start();
    }
    for (SoakDispatcher dispatcher : dispatchers) {
      dispatcher.awaitReady();
      dispatcher.clients(new SoakClients(
          dispatcher.number(),
          dispatcher.listen(),
          evidence,
          plan.seed() * 1_000 + dispatcher.number(),
          plan.callsPerSecond()));
    }
    dispatchers.forEach(dispatcher -> dispatcher.clients().start());
    troubles.run(plan.events(), plan.duration());
    for (SoakDispatcher dispatcher : dispatchers) {
      dispatcher.clients().stop();
    }
    Thread.sleep(LAST_ANSWERS_MILLIS);
    stopAll();
    readLogs();
    return result();
  }

  private void stopAll() throws InterruptedException {
    List<Thread> stoppers = new ArrayList<>();
    for (SoakDispatcher dispatcher : dispatchers) {
      Thread stopper = new Thread(() -> {
        try {
          dispatcher.stop(0);
        } catch (IOException e) {
          addFinding(new Finding(SoakRule.END, Clock.micros(), dispatcher.number(), e.toString()));
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      });
      stopper.start();
      stoppers.add(stopper);
    }
    for (Thread stopper : stoppers) {
      stopper.join();
    }
  }

  private void readLogs() throws IOException {
    for (SoakDispatcher dispatcher : dispatchers) {
      for (Path file : dispatcher.logs()) {
        Files.readAllLines(file).stream()
            .filter(line -> ERROR_LINE.matcher(line).find())
            .filter(line -> !isExcused(dispatcher.number(), line))
            .limit(3)
            .forEach(line -> addFinding(new Finding(
                SoakRule.LOG,
                Clock.micros(),
                dispatcher.number(),
                file.getFileName() + ": " + line)));
      }
    }
  }

  /**
   * A dispatcher that the plan paused answers late and counts this itself; its lines on other rules are not excused.
   */
  private boolean isExcused(int dispatcher, String line) {
    return line.contains("rule broken: final_answer")
        && evidence.pausedUntil(dispatcher, new Evidence.Span(0, Long.MAX_VALUE)) > 0;
  }

  /**
   * True for a dispatcher's own log line about an attempt that was held in the write: such an attempt is counted, not
   * judged.
   */
  private static boolean concernsAny(Finding finding, Set<String> ids) {
    return finding.rule() == SoakRule.LOG
        && ids.stream().anyMatch(id -> finding.text().contains("request=" + id + " "));
  }

  private Result result() {
    Oracle.Judgement judged = Oracle.judge(evidence, log.changes());
    List<Finding> all = new ArrayList<>(judged.findings());
    synchronized (findings) {
      findings.stream()
          .filter(finding -> !concernsAny(finding, judged.heldInTheWrite()))
          .forEach(all::add);
    }
    int served = (int) evidence.requests().stream().filter(r -> r.status == 200).count();
    long injected = preload == null
        ? 0
        : dispatchers.stream().mapToLong(d -> d.control().injected()).sum();
    return new Result(
        plan,
        all,
        evidence.requests().size(),
        served,
        evidence.attempts().size(),
        injected,
        evidence.stallMonitor().longest(),
        evidence.stallMonitor().total(),
        judged.heldInTheWrite().size(),
        judged.endsNotJudged(),
        troubles.failed());
  }

  /** Writes a dispatcher's configuration for the present state of the change log. */
  void writeConfig(SoakDispatcher dispatcher) throws IOException {
    int number = dispatcher.number();
    dispatcher.writeConfig(SoakConfig.json(
        number,
        plan.dispatchers(),
        plan.seed() * 31 + number,
        log.proxy(number).address(),
        log.knownEvents()));
  }

  void addFinding(Finding finding) {
    synchronized (findings) {
      findings.add(finding);
    }
  }

  Evidence evidence() {
    return evidence;
  }

  ChangeLogs log() {
    return log;
  }

  SoakRunner runner(int target) {
    return runners.get(target % runners.size());
  }

  List<SoakRunner> runners() {
    return List.copyOf(runners);
  }

  List<SoakDispatcher> dispatchers() {
    return List.copyOf(dispatchers);
  }

  SoakDispatcher dispatcher(int target) {
    return dispatchers.get(target % dispatchers.size());
  }

  /** Ends everything that is still running. */
  @Override
  public void close() throws IOException {
    dispatchers.forEach(SoakDispatcher::close);
    scheduler.shutdownNow();
    evidence.stallMonitor().close();
    for (SoakRunner runner : runners) {
      runner.close();
    }
    if (log != null) {
      log.close();
    }
  }
}
