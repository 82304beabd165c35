package gorseladder.soak;

import gorseladder.runtime.Clock;
import gorseladder.testbed.platform.FastCgiClient;
import gorseladder.testbed.process.ChildProcess;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One dispatcher process with its configuration, log, faults and clients. Not thread-safe: one thread at a time calls
 * its methods.
 */
final class SoakDispatcher implements AutoCloseable {
  private static final long READY_TIMEOUT_MILLIS = 30_000;
  private static final long KILL_TIMEOUT_MILLIS = 8_000;
  /** Stands for the exit code of a process that was still running at the earliest kill. */
  static final int OVERDUE = -1;

  private final int number;
  private final String command;
  private final Path root;
  private final Path folder;
  private final InetSocketAddress listen;
  private final Evidence evidence;
  private final Preload preload;
  private final Preload.Control control;
  private ChildProcess process;
  private long startedAt;
  private volatile long readyAt;
  private volatile int startCount;
  private SoakClients clients;

  /** Prepares a dispatcher without starting it; {@code preload} is null where the machine has no compiler. */
  SoakDispatcher(
      int number, String command, Path root, Path folder, Evidence evidence, Preload preload)
      throws IOException {
    this.number = number;
    this.command = command;
    this.root = root;
    this.folder = Files.createDirectories(folder.resolve("n" + number));
    this.evidence = evidence;
    this.preload = preload;
    this.control = preload == null ? null : preload.control(this.folder.resolve("faults"));
    // The dispatcher has its own address: while it is down no other socket of the soak may be
    // given its port.
    InetAddress ownAddress = InetAddress.getByAddress(new byte[] {127, 0, 1, (byte) (number + 1)});
    try (ServerSocket free = new ServerSocket(0, 1, ownAddress)) {
      listen = (InetSocketAddress) free.getLocalSocketAddress();
    }
  }

  int number() {
    return number;
  }

  InetSocketAddress listen() {
    return listen;
  }

  SoakClients clients() {
    return clients;
  }

  void clients(SoakClients newClients) {
    clients = newClients;
  }

  /** The control of its injected faults; null where the machine has no compiler. */
  Preload.Control control() {
    return control;
  }

  /** Replaces its configuration file atomically. */
  void writeConfig(String text) throws IOException {
    Path next = folder.resolve("next.json");
    Files.writeString(next, text);
    Files.move(next, folder.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
  }

  /** Starts the process. */
  void start() throws IOException {
    Map<String, String> environment = new HashMap<>(Map.of(
        "ROUTER_NAME",
        "n" + number,
        "ROUTER_LISTEN",
        listen.getAddress().getHostAddress() + ":" + listen.getPort(),
        "ROUTER_CONFIG",
        folder.resolve("config.json").toString(),
        "JAVA_TOOL_OPTIONS",
        "-Dgorseladder.log.level=DEBUG"));
    if (preload != null) {
      environment.putAll(preload.environment(control, null));
    }
    startedAt = Clock.micros();
    readyAt = 0;
    process = new ChildProcess(
        command, root, environment, folder.resolve("log" + startCount++).toFile());
  }

  /** Waits until the process is live or has ended, at most {@link #READY_TIMEOUT_MILLIS}. */
  void awaitReady() throws InterruptedException {
    long until = Clock.micros() + READY_TIMEOUT_MILLIS * 1_000;
    while (Clock.micros() < until && process.isAlive()) {
      if (FastCgiClient.isLive(listen, 1_000)) {
        readyAt = Clock.micros();
        return;
      }
      Thread.sleep(10);
    }
  }

  /** True once the process was live after its last start. */
  boolean isReady() {
    return readyAt > 0;
  }

  /**
   * Waits for the process to end; returns its exit code, or {@link #OVERDUE} where it is still running after that time.
   */
  int awaitEnd(long millis) throws IOException, InterruptedException {
    return process.await(millis);
  }

  private Path currentLog() {
    return folder.resolve("log" + (startCount - 1));
  }

  void signal(String name) throws IOException, InterruptedException {
    process.signal(name);
  }

  /** Kills the process at once. */
  void kill() throws IOException, InterruptedException {
    process.signal("KILL");
    int code = process.await(KILL_TIMEOUT_MILLIS);
    recordEnd(0, code, true);
    readyAt = 0;
  }

  /**
   * Stops the process like a planned restart: it sends the signal, lets clients open connections for a while and then
   * use only open ones, and kills the process as early as the platform may.
   *
   * @param connectingMicros how long clients still open connections after the signal
   */
  void stop(long connectingMicros) throws IOException, InterruptedException {
    long signalledAt = Clock.micros();
    process.signal("TERM");
    finishStop(signalledAt, connectingMicros);
  }

  /** Completes a stop whose signal was sent at that time. */
  void finishStop(long signalledAt, long connectingMicros)
      throws IOException, InterruptedException {
    Thread.sleep(connectingMicros / 1_000);
    clients.stopConnecting();
    long killAt = signalledAt + SoakConfig.MAX_DEADLINE_MICROS + SoakConfig.KILL_GRACE_MICROS;
    int code = process.await(Math.max(1, (killAt - Clock.micros()) / 1_000));
    boolean overdue = code < 0;
    if (overdue) {
      process.signal("KILL");
      process.await(KILL_TIMEOUT_MILLIS);
    }
    clients.setOutOfService(true);
    recordEnd(signalledAt, overdue ? OVERDUE : code, false);
    readyAt = 0;
  }

  private void recordEnd(long signalledAt, int code, boolean killed) {
    evidence.addProcessRun(new Evidence.ProcessRun(
        number, startedAt, readyAt, signalledAt, Clock.micros(), code, killed));
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Returns its log files. */
  List<Path> logs() throws IOException {
    try (var all = Files.list(folder)) {
      return all.filter(f -> f.getFileName().toString().startsWith("log"))
          .sorted()
          .toList();
    }
  }

  @Override
  public void close() {
    if (clients != null) {
      clients.close();
    }
    if (process != null) {
      process.close();
    }
  }
}
