package gorseladder.node;

import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.core.RuleLog;
import gorseladder.core.StallDetector;
import gorseladder.memory.MemoryPlan;
import gorseladder.runtime.Clock;
import gorseladder.runtime.InMemoryChannel;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.Threads;
import gorseladder.runtime.Watchdog;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.helpers.NOPLogger;

/**
 * Sends calls of every kind through a separate call path before the dispatcher is live: real front, core, router and
 * runner links with the real worker list, over connections in memory. Nothing of it leaves the process, is counted, or
 * remains.
 *
 * <p>Code that runs for the first time must be loaded, linked, interpreted and compiled; with a tenth of a core that
 * kept the thread of the core busy for seconds, and the first calls waited. The cost is a later start on a machine with
 * little processor time, by at most {@link #MAX_MICROS}.
 */
final class WarmUp implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(WarmUp.class);
  /**
   * Classes of the Java runtime that are initialized at the first failure and then read a file. If that file cannot be
   * opened at that moment, the class stays unusable, and each later connect that fails ends in an Error.
   */
  private static final List<String> PRELOADED_CLASSES =
      List.of("java.security.Security", "sun.net.util.SocketExceptions");

  /** Total calls; the Java runtime compiles methods after 200 invocations. */
  static final int CALLS = 300;
  /** Limit of the workers: each has connections, and each connection a thread. */
  private static final int MAX_WORKERS = 8;
  /** Calls that are open at a time. */
  private static final int BATCH_CALLS = 6;
  /** Limit of the total duration; a restarted dispatcher has 6 s to be live. */
  static final long MAX_MICROS = 3_000_000;

  private final NodeConfig config;
  private final CallPath path;
  private final WarmUpClient client = new WarmUpClient();
  private final InMemoryChannel channel = new InMemoryChannel(client);
  private final ThreadCache threads;
  private final long deadline;
  private int answered;

  private WarmUp(
      NodeConfig config,
      Watchdog watchdog,
      StallDetector stallDetector,
      ThreadCache threads,
      long maxMicros) {
    MemoryPlan plan = MemoryPlan.of(config.memoryBytes(), Runtime.getRuntime().maxMemory());
    deadline = Clock.micros() + maxMicros;
    this.config = config;
    this.threads = threads;
    RuleLog silent = new RuleLog(NOPLogger.NOP_LOGGER);
    path = new CallPath(config, plan, watchdog, stallDetector, silent, threads, text -> {});
    WarmUpRunner runner = new WarmUpRunner();
    path.links().setChannelSource(() -> new InMemoryChannel(runner));
  }

  /**
   * Runs the warm-up; a step that fails ends it.
   *
   * @param list the workers as they are known at the start
   * @param maxMicros limit of the duration
   * @return the number of calls that were answered
   */
  static int run(
      NodeConfig config,
      WorkerListUpdate list,
      Watchdog watchdog,
      StallDetector stallDetector,
      ThreadCache threads,
      long maxMicros) {
    PRELOADED_CLASSES.forEach(WarmUp::preload);
    try (WarmUp warmUp = new WarmUp(config, watchdog, stallDetector, threads, maxMicros)) {
      Threads.guarded("warm-up", () -> warmUp.warmUpPath(list));
      Threads.guarded("warm-up", () -> warmUp.warmUpRouter(list));
      return warmUp.answered;
    }
  }

  /** Loads a class. If this runtime does not have it, it uses another one and initializes that itself. */
  private static void preload(String name) {
    try {
      Class.forName(name);
    } catch (ClassNotFoundException e) {
      LOG.debug("no class {}", name);
    }
  }

  /** Has a router decide calls among all workers. */
  private void warmUpRouter(WorkerListUpdate list) {
    RouterWarmUp router = new RouterWarmUp(config.routerSettings(), list.entries());
    for (int number = 1; number <= CALLS && Clock.micros() < deadline; number++) {
      router.playCall(number);
    }
  }

  private void serve() {
    try {
      path.front().serve(channel);
    } catch (IOException e) {
      // The connection was closed at the end of the warm-up.
    }
  }

  private void warmUpPath(WorkerListUpdate list) {
    if (!threads.execute(this::serve)) {
      return;
    }
    List<WorkerEntry> workers = list.entries().isEmpty()
        ? List.of(new WorkerEntry("w", config.routerSettings().zone(), 0, Phase.RUNNING, 1, 0))
        : list.entries().stream().limit(MAX_WORKERS).toList();
    updateList(
        ListKind.SAVED, workers.stream().map(w -> entry(w, Phase.RUNNING, 0)).toList());
    while (answered < CALLS && sendBatch()) {
      answered += BATCH_CALLS;
      changeList(workers, answered / BATCH_CALLS);
    }
    stop();
  }

  /** Sends a batch of calls at once; returns false if they are not answered by the deadline. */
  private boolean sendBatch() {
    for (int i = 1; i <= BATCH_CALLS; i++) {
      channel.deliver(WarmUpCall.records(answered + i, config.routerSettings()));
    }
    try {
      return client.await(answered + BATCH_CALLS, deadline);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Drains, removes and restores one worker after the other; each is also reported as sick by another dispatcher. */
  private void changeList(List<WorkerEntry> workers, int step) {
    if (workers.size() > 1) {
      Phase[] phases = Phase.values();
      WorkerEntry worker = workers.get(step / phases.length % workers.size());
      updateList(
          ListKind.DELTA,
          List.of(entry(worker, phases[(step + 1) % phases.length], worker.startedAt())));
      path.core().peerMessage(0, "sick " + worker.worker());
    }
  }

  private static WorkerEntry entry(WorkerEntry worker, Phase phase, long startedAt) {
    return new WorkerEntry(
        worker.worker(), worker.zone(), worker.cell(), phase, worker.weight(), startedAt);
  }

  private void updateList(ListKind kind, List<WorkerEntry> entries) {
    InetSocketAddress nowhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    for (WorkerEntry entry : entries) {
      path.links().runnerReported(entry, nowhere, 1, Clock.micros());
    }
    path.core().workerListChanged(new WorkerListUpdate(kind, entries));
  }

  /** The steps of a graceful stop that need no listener. */
  private void stop() {
    path.links().cleanUp();
    path.front().checkTimeouts();
    path.front().owesAnswers();
    path.core().refuseAll();
    path.front().drain();
  }

  @Override
  public void close() {
    path.close();
  }
}
