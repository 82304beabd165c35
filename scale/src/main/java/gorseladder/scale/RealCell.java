package gorseladder.scale;

import gorseladder.scale.proto.RealDispatchers;
import gorseladder.scale.proto.Sizes;
import gorseladder.testbed.platform.FastCgiClient;
import gorseladder.testbed.platform.PlatformChangeLog;
import gorseladder.testbed.platform.PlatformConfig;
import gorseladder.testbed.platform.PlatformRunner;
import gorseladder.testbed.platform.PlatformRunner.Reaction;
import gorseladder.testbed.process.ChildProcess;
import gorseladder.testbed.process.RunLine;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * One cell of real dispatchers: processes started by the command of the deploy file, with stand-in runners, a change
 * log and FastCGI clients on loopback. All workers of the list are the same stand-in. A new list names a second
 * stand-in and is in force at a dispatcher once its calls arrive there.
 */
final class RealCell implements AutoCloseable {
  private static final long LIVE_TIMEOUT_MILLIS = 60_000;
  private static final long ANSWER_TIMEOUT_MILLIS = 5_000;
  private static final long IN_FORCE_TIMEOUT_MILLIS = 20_000;
  private static final long POLL_INTERVAL_MILLIS = 3;
  private static final long SETTLE_MILLIS = 1_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final long DEADLINE_MILLIS = 3_000;
  private static final double NANOS_PER_MICRO = 1e3;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double KILOBYTES_PER_MEGABYTE = 1024;

  private final Sizes sizes;
  private final RealDispatchers real;
  private final Path directory;
  private final Set<String> idsAtSecond = ConcurrentHashMap.newKeySet();
  private final PlatformRunner firstRunner = new PlatformRunner(arrival -> Reaction.SERVE);
  private final PlatformRunner secondRunner = new PlatformRunner(arrival -> {
    idsAtSecond.add(arrival.id());
    return Reaction.SERVE;
  });
  private final SyntheticFleet fleet;
  private final PlatformChangeLog changeLog;
  private final List<ChildProcess> processes = new ArrayList<>();
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final ExecutorService clients = Executors.newCachedThreadPool();
  private long seq = 1;

  /** Writes the configuration; starts no process. */
  RealCell(Sizes sizes, RealDispatchers real, long seed) throws IOException {
    this.sizes = sizes;
    this.real = real;
    fleet = new SyntheticFleet(sizes, seed, firstRunner.address().getPort());
    directory = Files.createTempDirectory("gorseladder-scale-");
    List<String> events = new ArrayList<>(List.of(fleet.wholeList(seq)));
    changeLog = new PlatformChangeLog(events);
    Files.writeString(
        directory.resolve("config.json"),
        PlatformConfig.text(
            changeLog.address(),
            events.get(0),
            DEADLINE_MILLIS,
            real.getMemoryMb(),
            real.getSockets()));
  }

  /**
   * Starts the dispatchers, measures and leaves them running until {@link #close}.
   *
   * @throws IOException if a dispatcher does not become live or does not answer a call; the message quotes its log
   */
  Map<Measure, Double> run(Path root) throws IOException, InterruptedException {
    Map<Measure, Double> measures = new EnumMap<>(Measure.class);
    long startedAt = System.nanoTime();
    String command = RunLine.read(root);
    for (int i = 0; i < sizes.getDispatchers(); i++) {
      start(command, root, i);
    }
    for (int i = 0; i < sizes.getDispatchers(); i++) {
      awaitLive(i);
    }
    measures.put(Measure.START_SECONDS, (System.nanoTime() - startedAt) / 1e9);
    Thread.sleep(SETTLE_MILLIS);
    double nanosBeforeIdle = processorNanos();
    Thread.sleep(IDLE_MILLIS);
    measures.put(
        Measure.IDLE_CORE_PERCENT,
        100
            * (processorNanos() - nanosBeforeIdle)
            / sizes.getDispatchers()
            / (IDLE_MILLIS * NANOS_PER_MILLI));
    measures.put(
        Measure.RESIDENT_MEGABYTES,
        residentKilobytes() / KILOBYTES_PER_MEGABYTE / sizes.getDispatchers());
    double nanosBeforeCalls = processorNanos();
    forEachDispatcher(this::makeCalls);
    double callsMade = (double) real.getCalls() * sizes.getDispatchers();
    measures.put(
        Measure.CALL_MICROS, (processorNanos() - nanosBeforeCalls) / NANOS_PER_MICRO / callsMade);
    measures.put(
        Measure.LIST_IN_FORCE_MILLIS,
        millisUntilInForce(fleet.wholeList(++seq, secondRunner.address().getPort())));
    changeLog.add(fleet.listOfOne(++seq, 0, firstRunner.address().getPort()));
    Thread.sleep(SETTLE_MILLIS);
    measures.put(
        Measure.CHANGE_IN_FORCE_MILLIS,
        millisUntilInForce(fleet.listOfOne(++seq, 0, secondRunner.address().getPort())));
    return measures;
  }

  private void start(String command, Path root, int number) throws IOException {
    InetSocketAddress listen;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      listen = (InetSocketAddress) free.getLocalSocketAddress();
    }
    addresses.add(listen);
    processes.add(new ChildProcess(
        command,
        root,
        Map.of(
            "ROUTER_NAME",
            "n" + number,
            "ROUTER_LISTEN",
            "127.0.0.1:" + listen.getPort(),
            "ROUTER_CONFIG",
            directory.resolve("config.json").toString()),
        log(number).toFile()));
  }

  private Path log(int number) {
    return directory.resolve("log" + number);
  }

  private void awaitLive(int number) throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + (long) (LIVE_TIMEOUT_MILLIS * NANOS_PER_MILLI);
    while (!FastCgiClient.isLive(addresses.get(number), ANSWER_TIMEOUT_MILLIS)) {
      if (!processes.get(number).isAlive() || System.nanoTime() > deadlineNanos) {
        throw new IOException("dispatcher " + number + " with " + sizes.getWorkers()
            + " workers is not live: " + firstErrorOrLastLine(number));
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  /** The first error in a dispatcher's log, else the last line. */
  private String firstErrorOrLastLine(int number) throws IOException {
    List<String> lines = Files.readAllLines(log(number));
    return lines.stream()
        .filter(line -> line.contains("Error"))
        .findFirst()
        .orElse(lines.isEmpty() ? "its log is empty" : lines.get(lines.size() - 1));
  }

  /** A task that runs for each dispatcher in parallel. */
  private interface Task {
    void run(int number) throws IOException, InterruptedException;
  }

  private void forEachDispatcher(Task task) throws IOException, InterruptedException {
    List<Future<Void>> futures = new ArrayList<>();
    for (int i = 0; i < sizes.getDispatchers(); i++) {
      int number = i;
      futures.add(clients.submit(() -> {
        task.run(number);
        return null;
      }));
    }
    for (Future<Void> future : futures) {
      try {
        future.get();
      } catch (ExecutionException e) {
        throw new IOException(e.getCause().getMessage(), e.getCause());
      }
    }
  }

  private void makeCalls(int number) throws IOException, InterruptedException {
    ZipfCalls functions = new ZipfCalls(sizes.getFunctions(), sizes.getZipf(), number);
    try (FastCgiClient client = new FastCgiClient(addresses.get(number))) {
      for (int call = 0; call < real.getCalls(); call++) {
        makeCall(client, number, call, functions.next());
      }
    }
  }

  /** Makes a call and waits for its answer; returns the id of the call. */
  private String makeCall(FastCgiClient client, int number, int call, int function)
      throws IOException, InterruptedException {
    String id = String.format("%08x%08x", number, call);
    String name = String.format("%016x", function);
    client.send(1, FastCgiClient.params("safe", id, name, DEADLINE_MILLIS), new byte[1]);
    if (client.await(1, ANSWER_TIMEOUT_MILLIS) == null) {
      throw new IOException("dispatcher " + number + " did not answer call " + call + ": "
          + firstErrorOrLastLine(number));
    }
    client.forget(1);
    return id;
  }

  /** Time from a new change log event until calls of every dispatcher arrive at the second stand-in. */
  private double millisUntilInForce(String event) throws IOException, InterruptedException {
    idsAtSecond.clear();
    long eventSentAt = System.nanoTime();
    changeLog.add(event);
    double[] millis = new double[sizes.getDispatchers()];
    int firstCall = real.getCalls() + (int) seq * 1_000_000;
    forEachDispatcher(number -> {
      try (FastCgiClient client = new FastCgiClient(addresses.get(number))) {
        int call = firstCall;
        while (!idsAtSecond.contains(makeCall(client, number, call++, 0))) {
          if (System.nanoTime() - eventSentAt > IN_FORCE_TIMEOUT_MILLIS * NANOS_PER_MILLI) {
            throw new IOException("event " + seq + " of " + event.length()
                + " bytes is not in force at dispatcher " + number + " after "
                + IN_FORCE_TIMEOUT_MILLIS + " ms: " + firstErrorOrLastLine(number));
          }
          Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        millis[number] = (System.nanoTime() - eventSentAt) / NANOS_PER_MILLI;
      }
    });
    return Arrays.stream(millis).max().orElse(0);
  }

  private double processorNanos() {
    return processes.stream()
        .mapToDouble(process ->
            process.processorTime().map(time -> (double) time.toNanos()).orElse(Double.NaN))
        .sum();
  }

  /** Total resident memory of the processes, from their status files in {@code /proc}. */
  private double residentKilobytes() throws IOException {
    double sum = 0;
    for (ChildProcess process : processes) {
      for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          sum += Double.parseDouble(line.replaceAll("[^0-9]", ""));
        }
      }
    }
    return sum;
  }

  @Override
  public void close() throws IOException {
    processes.forEach(ChildProcess::close);
    clients.shutdownNow();
    changeLog.close();
    firstRunner.close();
    secondRunner.close();
    try (var files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(directory);
  }
}
