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
 * One cell of real dispatchers: processes as the deploy file starts them, between stand-in runners, a change log and
 * FastCGI clients on loopback. Every worker of the list is the same stand-in; a list moved to a second stand-in is in
 * force at a dispatcher once its calls arrive there.
 */
final class RealCell implements AutoCloseable {
  private static final long LIVE_MILLIS = 60_000;
  private static final long ANSWER_MILLIS = 5_000;
  private static final long FORCE_MILLIS = 20_000;
  private static final long PAUSE_MILLIS = 3;
  private static final long SETTLE_MILLIS = 1_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final long DEADLINE_MILLIS = 3_000;
  private static final double NANOS_A_MICRO = 1e3;
  private static final double NANOS_A_MILLI = 1e6;
  private static final double KILOBYTES_A_MEGABYTE = 1024;

  private final Sizes sizes;
  private final RealDispatchers real;
  private final Path directory;
  private final Set<String> atSecond = ConcurrentHashMap.newKeySet();
  private final PlatformRunner first = new PlatformRunner(arrival -> Reaction.SERVE);
  private final PlatformRunner second = new PlatformRunner(arrival -> {
    atSecond.add(arrival.id());
    return Reaction.SERVE;
  });
  private final SyntheticFleet fleet;
  private final PlatformChangeLog changeLog;
  private final List<ChildProcess> processes = new ArrayList<>();
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final ExecutorService clients = Executors.newCachedThreadPool();
  private long seq = 1;

  /** Lays down the configuration; starts nothing. */
  RealCell(Sizes sizes, RealDispatchers real, long seed) throws IOException {
    this.sizes = sizes;
    this.real = real;
    fleet = new SyntheticFleet(sizes, seed, first.address().getPort());
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
   * @throws IOException where one does not become live or a call is not answered; the text quotes its log
   */
  Map<Measure, Double> run(Path root) throws IOException, InterruptedException {
    Map<Measure, Double> measures = new EnumMap<>(Measure.class);
    long begun = System.nanoTime();
    String command = RunLine.read(root);
    for (int i = 0; i < sizes.getDispatchers(); i++) {
      start(command, root, i);
    }
    for (int i = 0; i < sizes.getDispatchers(); i++) {
      awaitLive(i);
    }
    measures.put(Measure.START_SECONDS, (System.nanoTime() - begun) / 1e9);
    Thread.sleep(SETTLE_MILLIS);
    double idle = processorNanos();
    Thread.sleep(IDLE_MILLIS);
    measures.put(
        Measure.IDLE_CORE_PERCENT,
        100 * (processorNanos() - idle) / sizes.getDispatchers() / (IDLE_MILLIS * NANOS_A_MILLI));
    measures.put(
        Measure.RESIDENT_MEGABYTES,
        residentKilobytes() / KILOBYTES_A_MEGABYTE / sizes.getDispatchers());
    double before = processorNanos();
    forEachDispatcher(this::calls);
    double madeCalls = (double) real.getCalls() * sizes.getDispatchers();
    measures.put(Measure.CALL_MICROS, (processorNanos() - before) / NANOS_A_MICRO / madeCalls);
    measures.put(
        Measure.LIST_IN_FORCE_MILLIS,
        inForce(fleet.wholeList(++seq, second.address().getPort())));
    changeLog.add(fleet.listOfOne(++seq, 0, first.address().getPort()));
    Thread.sleep(SETTLE_MILLIS);
    measures.put(
        Measure.CHANGE_IN_FORCE_MILLIS,
        inForce(fleet.listOfOne(++seq, 0, second.address().getPort())));
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
    long until = System.nanoTime() + (long) (LIVE_MILLIS * NANOS_A_MILLI);
    while (!FastCgiClient.isLive(addresses.get(number), ANSWER_MILLIS)) {
      if (!processes.get(number).isAlive() || System.nanoTime() > until) {
        throw new IOException("dispatcher " + number + " with " + sizes.getWorkers()
            + " workers is not live: " + said(number));
      }
      Thread.sleep(PAUSE_MILLIS);
    }
  }

  /** The first error that a dispatcher logged, else its last line. */
  private String said(int number) throws IOException {
    List<String> lines = Files.readAllLines(log(number));
    return lines.stream()
        .filter(line -> line.contains("Error"))
        .findFirst()
        .orElse(lines.isEmpty() ? "it said nothing" : lines.get(lines.size() - 1));
  }

  /** One task for each dispatcher, side by side. */
  private interface Task {
    void run(int number) throws IOException, InterruptedException;
  }

  private void forEachDispatcher(Task task) throws IOException, InterruptedException {
    List<Future<Void>> all = new ArrayList<>();
    for (int i = 0; i < sizes.getDispatchers(); i++) {
      int number = i;
      all.add(clients.submit(() -> {
        task.run(number);
        return null;
      }));
    }
    for (Future<Void> one : all) {
      try {
        one.get();
      } catch (ExecutionException e) {
        throw new IOException(e.getCause().getMessage(), e.getCause());
      }
    }
  }

  private void calls(int number) throws IOException, InterruptedException {
    ZipfCalls functions = new ZipfCalls(sizes.getFunctions(), sizes.getZipf(), number);
    try (FastCgiClient client = new FastCgiClient(addresses.get(number))) {
      for (int call = 0; call < real.getCalls(); call++) {
        call(client, number, call, functions.next());
      }
    }
  }

  /** Makes one call and awaits its answer; returns its id. */
  private String call(FastCgiClient client, int number, int call, int function)
      throws IOException, InterruptedException {
    String id = String.format("%08x%08x", number, call);
    String name = String.format("%016x", function);
    client.send(1, FastCgiClient.params("safe", id, name, DEADLINE_MILLIS), new byte[1]);
    if (client.await(1, ANSWER_MILLIS) == null) {
      throw new IOException(
          "dispatcher " + number + " did not answer call " + call + ": " + said(number));
    }
    client.forget(1);
    return id;
  }

  /** Milliseconds from a new event of the log until calls of every dispatcher arrive at the second stand-in. */
  private double inForce(String event) throws IOException, InterruptedException {
    atSecond.clear();
    long told = System.nanoTime();
    changeLog.add(event);
    double[] millis = new double[sizes.getDispatchers()];
    int firstCall = real.getCalls() + (int) seq * 1_000_000;
    forEachDispatcher(number -> {
      try (FastCgiClient client = new FastCgiClient(addresses.get(number))) {
        int call = firstCall;
        while (!atSecond.contains(call(client, number, call++, 0))) {
          if (System.nanoTime() - told > FORCE_MILLIS * NANOS_A_MILLI) {
            throw new IOException(
                "event " + seq + " of " + event.length() + " bytes is not in force at dispatcher "
                    + number + " after " + FORCE_MILLIS + " ms: " + said(number));
          }
          Thread.sleep(PAUSE_MILLIS);
        }
        millis[number] = (System.nanoTime() - told) / NANOS_A_MILLI;
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

  /** Kilobytes resident, summed over the processes, as the system's status files tell. */
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
    first.close();
    second.close();
    try (var files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(directory);
  }
}
