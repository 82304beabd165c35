package gorseladder.node;

import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.core.RuleLog;
import gorseladder.core.StallDetector;
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
 * Sends calls of every kind through a path of its own before the dispatcher is live: front, core, router and runner
 * links as they are, with the list that is told, on connections in memory. Nothing of it leaves the process, is counted
 * or outlasts it.
 *
 * <p>Guards against first calls that take long: code that was never run has to be loaded, linked, interpreted and
 * compiled, which at a tenth of a core kept the core's thread busy for seconds. It could harm a start that has hardly
 * any processor time, by {@link #MOST} at the most.
 */
final class WarmUp implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(WarmUp.class);
  /**
   * Classes of the Java machine that are set up when something fails for the first time, and read a file for it. Guards
   * against a file that cannot be opened just then: such a class is of no use for good, and each connect that fails
   * later ends in an Error.
   */
  private static final List<String> SET_UP =
      List.of("java.security.Security", "sun.net.util.SocketExceptions");

  /** Calls in all; the Java machine compiles what was called 200 times. */
  static final int CALLS = 300;
  /** Workers at the most: each has connections, and each connection a thread. */
  private static final int WORKERS = 8;
  /** Calls that are open at a time. */
  private static final int GROUP = 6;
  /** How long it may last in all, in microseconds; a restarted dispatcher has 6 s to be live. */
  static final long MOST = 3_000_000;

  private final NodeConfig config;
  private final CallPath path;
  private final WarmUpClient client = new WarmUpClient();
  private final InMemoryChannel channel = new InMemoryChannel(client);
  private final ThreadCache threads;
  private final long until;
  private int answered;

  private WarmUp(
      NodeConfig config, Watchdog watchdog, StallDetector pauses, ThreadCache threads, long most) {
    until = Clock.micros() + most;
    this.config = config;
    this.threads = threads;
    RuleLog silent = new RuleLog(NOPLogger.NOP_LOGGER);
    path = new CallPath(config, watchdog, pauses, silent, threads, text -> {});
    WarmUpRunner runner = new WarmUpRunner();
    path.links().setChannelSource(() -> new InMemoryChannel(runner));
  }

  /**
   * Runs it; a step that fails ends it.
   *
   * @param list the workers as they are known at the start
   * @param most how long it may last, in microseconds
   * @return how many calls were answered
   */
  static int run(
      NodeConfig config,
      WorkerListUpdate list,
      Watchdog watchdog,
      StallDetector pauses,
      ThreadCache threads,
      long most) {
    SET_UP.forEach(WarmUp::setUp);
    try (WarmUp warmUp = new WarmUp(config, watchdog, pauses, threads, most)) {
      Threads.guarded("warm-up", () -> warmUp.play(list));
      Threads.guarded("warm-up", () -> warmUp.decide(list));
      return warmUp.answered;
    }
  }

  /** Where the class cannot be had the machine has another way, and sets that up itself. */
  private static void setUp(String name) {
    try {
      Class.forName(name);
    } catch (ClassNotFoundException e) {
      LOG.debug("no class {}", name);
    }
  }

  /** Calls that are decided among all workers. */
  private void decide(WorkerListUpdate list) {
    RouterWarmUp router = new RouterWarmUp(config.router(), list.entries());
    for (int number = 1; number <= CALLS && Clock.micros() < until; number++) {
      router.play(number);
    }
  }

  private void serve() {
    try {
      path.front().serve(channel);
    } catch (IOException e) {
      // It was closed, as it is at the end.
    }
  }

  private void play(WorkerListUpdate list) {
    if (!threads.execute(this::serve)) {
      return;
    }
    List<WorkerEntry> workers = list.entries().isEmpty()
        ? List.of(new WorkerEntry("w", config.router().zone(), 0, Phase.RUNNING, 1, 0))
        : list.entries().stream().limit(WORKERS).toList();
    tell(ListKind.SAVED, workers.stream().map(w -> entry(w, Phase.RUNNING, 0)).toList());
    while (answered < CALLS && playGroup()) {
      answered += GROUP;
      changeList(workers, answered / GROUP);
    }
    stop();
  }

  /** Sends some calls at once; false where their answers have not come by the end. */
  private boolean playGroup() {
    for (int i = 1; i <= GROUP; i++) {
      channel.deliver(WarmUpCall.records(answered + i, config.router()));
    }
    try {
      return client.await(answered + GROUP, until);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** One worker after the other drains, goes and comes back; others tell that it is sick. */
  private void changeList(List<WorkerEntry> workers, int turn) {
    if (workers.size() > 1) {
      Phase[] phases = Phase.values();
      WorkerEntry worker = workers.get(turn / phases.length % workers.size());
      tell(
          ListKind.DELTA,
          List.of(entry(worker, phases[(turn + 1) % phases.length], worker.startedAt())));
      path.core().peerMessage(0, "sick " + worker.worker());
    }
  }

  private static WorkerEntry entry(WorkerEntry told, Phase phase, long born) {
    return new WorkerEntry(told.worker(), told.zone(), told.cell(), phase, told.weight(), born);
  }

  private void tell(ListKind kind, List<WorkerEntry> entries) {
    InetSocketAddress nowhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    for (WorkerEntry entry : entries) {
      path.links().runnerReported(entry, nowhere, 1, Clock.micros());
    }
    path.core().workerListChanged(new WorkerListUpdate(kind, entries));
  }

  /** The steps of an orderly stop, as far as they need no listener. */
  private void stop() {
    path.links().cleanUp();
    path.front().check();
    path.front().owes();
    path.core().refuseAll();
    path.front().drain();
  }

  @Override
  public void close() {
    path.close();
  }
}
