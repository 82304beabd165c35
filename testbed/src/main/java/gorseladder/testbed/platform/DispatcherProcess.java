package gorseladder.testbed.platform;

import gorseladder.testbed.Ports;
import gorseladder.testbed.platform.PlatformRunner.Arrival;
import gorseladder.testbed.platform.PlatformRunner.Reaction;
import gorseladder.testbed.process.ChildProcess;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * A dispatcher as a process of its own, between simulated runners and a simulated change log. Thread-safe once started.
 */
public final class DispatcherProcess implements Closeable {
  private static final int READY_TIMEOUT_MILLIS = 30_000;
  private static final String RESIDENT = "VmRSS:";
  private static final String PEAK = "VmHWM:";

  private final Path directory;
  private final List<PlatformRunner> runners = new ArrayList<>();
  private final List<String> events = new ArrayList<>();
  private final PlatformChangeLog log;
  private final InetSocketAddress address;
  private ChildProcess process;

  /**
   * Starts the stand-ins.
   *
   * @param directory for the configuration and the log of the dispatcher
   */
  public DispatcherProcess(Path directory, int runnerCount, Function<Arrival, Reaction> script)
      throws IOException {
    this.directory = directory;
    for (int i = 0; i < runnerCount; i++) {
      runners.add(new PlatformRunner(script));
      events.add(
          PlatformChangeLog.event(i + 1, i == 0, "r" + i, runners.get(i).address(), "active"));
    }
    log = new PlatformChangeLog(events);
    address = Ports.free();
  }

  /**
   * Starts the dispatcher with the given limits.
   *
   * @param command a shell command, run in the folder {@code root}
   */
  public void start(
      String command, Path root, int memoryMegabytes, int sockets, long deadlineMillis)
      throws IOException {
    Files.writeString(
        directory.resolve("config.json"),
        PlatformConfig.text(
            log.address(), events.get(0), deadlineMillis, memoryMegabytes, sockets));
    Map<String, String> environment = Map.of(
        "ROUTER_NAME",
        "n0",
        "ROUTER_LISTEN",
        "127.0.0.1:" + address.getPort(),
        "ROUTER_CONFIG",
        directory.resolve("config.json").toString());
    process = new ChildProcess(
        command, root, environment, directory.resolve("dispatcher.log").toFile());
  }

  /** Waits until the dispatcher is live; returns false if it ended, or is not live in time. */
  public boolean awaitLive() throws InterruptedException {
    long until = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000L;
    while (process.isAlive() && System.nanoTime() < until) {
      if (FastCgiClient.isLive(address, READY_TIMEOUT_MILLIS)) {
        return true;
      }
      Thread.sleep(20);
    }
    return false;
  }

  /** The address at which the dispatcher listens. */
  public InetSocketAddress address() {
    return address;
  }

  public ChildProcess process() {
    return process;
  }

  public List<PlatformRunner> runners() {
    return runners;
  }

  /** Resident memory of the dispatcher in bytes. */
  public long residentBytes() throws IOException {
    return statusBytes(RESIDENT);
  }

  /** The greatest resident memory that the dispatcher had so far, in bytes. */
  public long peakResidentBytes() throws IOException {
    return statusBytes(PEAK);
  }

  private long statusBytes(String name) throws IOException {
    return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
        .filter(line -> line.startsWith(name))
        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) << 10)
        .findFirst()
        .orElseThrow();
  }

  /** What the dispatcher has logged so far. */
  public String log() {
    try {
      return Files.readString(directory.resolve("dispatcher.log"));
    } catch (IOException e) {
      return e.toString();
    }
  }

  @Override
  public void close() throws IOException {
    if (process != null) {
      process.close();
    }
    log.close();
    for (PlatformRunner runner : runners) {
      runner.close();
    }
  }
}
