package gorseladder.testbed;

import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.Rules;
import gorseladder.config.SettingsFile;
import gorseladder.edge.Edge;
import gorseladder.edge.EdgeMain;
import gorseladder.edge.EdgeSystem;
import gorseladder.runtime.Clock;
import gorseladder.testbed.script.DayScript;
import gorseladder.wire.json.Json;
import gorseladder.wire.webhook.Secret;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs edges, stand-in runners, an archive and a worker list on loopback. Edges run in separate processes, or in this
 * process for tests.
 */
public final class TestFleet implements Closeable {
  /** The path of the webhook endpoint. */
  public static final String PATH = "/hooks/portal";

  /** The path of another endpoint with the same secret. */
  public static final String OTHER_PATH = "/v2/hooks/portal";

  public static final long LATENCY_TARGET_MICROS = 1_000_000;
  public static final long DEADLINE_MICROS = 3_000_000;
  public static final long REPEAT_WINDOW_MICROS = 8_000_000;
  /** The keep-alive time of idle copies in the settings of the edges. */
  public static final long KEEP_ALIVE_MICROS = 8_000_000;

  /**
   * The system property with the class path for edge processes; by default they use the class path of this process.
   */
  public static final String CLASS_PATH = "gorseladder.fleet.classpath";

  private static final long START_TIMEOUT_MILLIS = 30_000;

  private final DayScript script;
  private final Path directory;
  private final boolean separateProcesses;
  private final List<String> commandPrefix;
  private final String extraSettings;
  private final Tap tap = new Tap();
  private final String secret;
  private final StallingDisk disk = new StallingDisk();
  private final ScarceThreads clientThreads = new ScarceThreads();
  private final ScarceThreads attemptThreads = new ScarceThreads();
  private final Archive archive;
  private final ListStandIn list;
  private final List<StandInRunner> runners = new ArrayList<>();
  private final List<EdgeSlot> edges = new ArrayList<>();
  private final Rules rules;

  /** An edge with fixed ports and settings, whose process or instance may be restarted. */
  private final class EdgeSlot {
    private final int number;
    private final InetSocketAddress address;
    private final int peerPort;
    private Path settings;
    private Process process;
    private Edge edge;

    EdgeSlot(int number) throws IOException {
      this.number = number;
      address = Ports.free();
      peerPort = Ports.free().getPort();
    }

    void start() throws IOException {
      if (!separateProcesses) {
        SettingsFile loaded = Edge.load(settings);
        if (!loaded.faults().isEmpty()) {
          throw new IOException(loaded.faults().toString());
        }
        edge = new Edge(loaded.settings(), new EdgeSystem(disk, clientThreads, attemptThreads));
        return;
      }
      String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
      List<String> command = new ArrayList<>(commandPrefix);
      command.addAll(List.of(
          java,
          "-Xmx512m",
          "-XX:+UseSerialGC",
          "-Xshare:auto",
          "-cp",
          System.getProperty(CLASS_PATH, System.getProperty("java.class.path")),
          EdgeMain.class.getName(),
          settings.toString()));
      process = new ProcessBuilder(command)
          .redirectError(ProcessBuilder.Redirect.appendTo(
              directory.resolve("edge-" + number + ".err").toFile()))
          .start();
    }

    void awaitReady() throws IOException {
      if (process == null) {
        return;
      }
      BufferedReader out = new BufferedReader(
          new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      long timeoutAt = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
      List<String> startLines = new ArrayList<>();
      for (String line = out.readLine();
          line != null && System.currentTimeMillis() < timeoutAt;
          line = out.readLine()) {
        startLines.add(line);
        if (line.contains("\"ready\":true")) {
          Process startedProcess = process;
          gorseladder.runtime.Threads.start(
              "edge-out", 128 << 10, () -> copyOutput(startedProcess, out, logFile()));
          return;
        }
      }
      throw new IOException("edge " + number + " did not start, "
          + (process.isAlive() ? "still runs" : "ended with " + process.exitValue()) + ": "
          + Files.readString(directory.resolve("edge-" + number + ".err"))
              .lines()
              .limit(3)
              .toList() + startLines.stream().limit(5).toList());
    }

    private Path logFile() {
      return directory.resolve("edge-" + number + ".log");
    }

    void kill() throws InterruptedException {
      if (process != null) {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      } else if (edge != null) {
        edge.close();
      }
    }

    void stop() throws InterruptedException {
      if (process != null) {
        // Process.destroy would also close the standard input, which tells the edge that its
        // parent ended.
        process.toHandle().destroy();
        if (!process.waitFor(15, TimeUnit.SECONDS)) {
          process.destroyForcibly();
        }
      } else if (edge != null) {
        edge.stop();
      }
    }
  }

  private static void copyOutput(Process process, BufferedReader out, Path to) {
    try (var log = Files.newBufferedWriter(
        to, java.nio.file.StandardOpenOption.CREATE, java.nio.file.StandardOpenOption.APPEND)) {
      for (String line = out.readLine(); line != null; line = out.readLine()) {
        log.write(line);
        log.newLine();
      }
    } catch (IOException e) {
      // The process has ended.
    }
  }

  /**
   * Creates a fleet from the settings of a script and starts it.
   *
   * @param separateProcesses true to run each edge in its own process, which can be killed
   * @param runnerLog receives an entry for each inference request that starts at a runner
   */
  public TestFleet(
      DayScript script,
      Path directory,
      boolean separateProcesses,
      Consumer<Map<String, Object>> runnerLog)
      throws IOException {
    this(script, directory, separateProcesses, runnerLog, List.of());
  }

  /** Creates a fleet; {@code commandPrefix} precedes the command of each edge, for example to pin it to processors. */
  public TestFleet(
      DayScript script,
      Path directory,
      boolean separateProcesses,
      Consumer<Map<String, Object>> runnerLog,
      List<String> commandPrefix)
      throws IOException {
    this(script, directory, separateProcesses, runnerLog, commandPrefix, "");
  }

  /** Creates a fleet; {@code extraSettings} is appended to the settings of each edge, for example a planner. */
  public TestFleet(
      DayScript script,
      Path directory,
      boolean separateProcesses,
      Consumer<Map<String, Object>> runnerLog,
      List<String> commandPrefix,
      String extraSettings)
      throws IOException {
    this.commandPrefix = commandPrefix;
    this.extraSettings = extraSettings;
    this.script = script;
    this.directory = directory;
    this.separateProcesses = separateProcesses;
    Files.createDirectories(directory);
    byte[] key = new byte[32];
    new Random(script.count("seed")).nextBytes(key);
    secret = "whsec_" + Base64.getEncoder().encodeToString(key);
    boolean loadsOnMiss = script.number("on_miss") > 0;
    rules = new Rules(500_000, 0.2, 6_000_000, 2.5, 1_500_000, 4, 0.3, loadsOnMiss ? 0 : 5_000_000);
    int count = script.count("runners");
    archive = new Archive(Math.max(4, count), Math.max(20, 4 * count));
    list = new ListStandIn(tap, (long) script.number("list_late"));
    StandInRunner.IdempotencyKeys keys = new StandInRunner.IdempotencyKeys();
    for (int i = 0; i < count; i++) {
      StandInRunner.Settings settings = new StandInRunner.Settings(
          "hus-" + "abc".charAt(i % 3),
          i / 4,
          script.count("cores"),
          i % 3 == 2 ? 0.7 : 1,
          6_000,
          64,
          (long) script.number("work"),
          (long) script.number("load"),
          KEEP_ALIVE_MICROS,
          loadsOnMiss,
          script.number("cancelling") > 0,
          REPEAT_WINDOW_MICROS,
          rules);
      runners.add(new StandInRunner(
          settings, archive, keys, tap, script.count("seed") * 1000L + i, runnerLog));
      list.setPhase(runners.get(i), Phase.RUNNING, false, true);
    }
    for (int i = 0; i < script.count("edges"); i++) {
      edges.add(new EdgeSlot(i));
    }
    for (EdgeSlot slot : edges) {
      slot.settings = directory.resolve("edge-" + slot.number + ".txtpb");
      Files.writeString(slot.settings, settingsText(slot));
      slot.start();
    }
    for (EdgeSlot slot : edges) {
      slot.awaitReady();
    }
  }

  private String settingsText(EdgeSlot slot) {
    StringBuilder peers = new StringBuilder();
    edges.stream()
        .filter(e -> e != slot)
        .forEach(e -> peers.append("  peer: \"127.0.0.1:").append(e.peerPort).append("\"\n"));
    return String.format(
            Locale.ROOT,
            """
        # Written for this fleet; a complete example of an edge's settings.
        listen: "127.0.0.1:%d"
        ordinal: %d
        edges: %d
        zone: "hus-a"
        data_directory: "%s"
        request_class { name: "safe" effect: SAFE aim_ms: %d deadline_ms: %d worth: 3 lanes: %d }
        request_class {
          name: "keyed" effect: KEYED aim_ms: %d deadline_ms: %d worth: 3 lanes: %d
          group: ALL repeat_window_ms: %d
        }
        request_class { name: "unsafe" effect: UNSAFE aim_ms: %d deadline_ms: %d worth: 2 lanes: %d }
        tenant { name: "bygg-sektion" share: 1 }
        %s%s        runners { loads_on_miss: %b duplicates: %b cancelling: %b keep_alive_ms: %d }
        rules {
          drain_grace_ms: %d cold_from: %f cold_ms: %d overload_multiple: %f overload_ms: %d
          loads_free: %f load_share: %f load_window_ms: %d
        }
        worker_list { address: "%s" service: "runners" wait_ms: 2000 }
        peers {
          listen: "127.0.0.1:%d"
        %s}
        allow_network: "127.0.0.0/8"
        limits { request_arrival_ms: 2000 }
        log { form: JSON level: "INFO" }
        """,
            slot.address.getPort(),
            slot.number,
            edges.size(),
            directory.resolve("data-" + slot.number),
            LATENCY_TARGET_MICROS / 1000,
            DEADLINE_MICROS / 1000,
            script.count("lanes"),
            LATENCY_TARGET_MICROS / 1000,
            DEADLINE_MICROS / 1000,
            script.count("lanes"),
            REPEAT_WINDOW_MICROS / 1000,
            LATENCY_TARGET_MICROS / 1000,
            DEADLINE_MICROS / 1000,
            script.count("lanes"),
            endpointText(PATH),
            endpointText(OTHER_PATH),
            script.number("on_miss") > 0,
            script.number("duplicates") > 0,
            script.number("cancelling") > 0,
            KEEP_ALIVE_MICROS / 1000,
            rules.drainGrace() / 1000,
            rules.initialCapacity(),
            rules.rampDuration() / 1000,
            rules.overloadMultiple(),
            rules.overloadWindow() / 1000,
            rules.freeLoads(),
            rules.loadsPerCall(),
            rules.loadWindow() / 1000,
            list.address(),
            slot.peerPort,
            peers)
        + extraSettings;
  }

  private String endpointText(String path) {
    return String.format(Locale.ROOT, """
        endpoint {
          path: "%s"
          tenant: "bygg-sektion"
          secret: "%s"
          route { type: "hours.read" request_class: "safe" }
          route { type: "assessment.saved" request_class: "keyed" }
          route { type: "certificate.issued" request_class: "unsafe" }
        }
        """, path, secret);
  }

  /** Returns the processor time used by the process of an edge, in microseconds; 0 if it has no process of its own. */
  public long edgeProcessorMicros(int number) {
    Process process = edges.get(number).process;
    return process == null
        ? 0
        : process.info().totalCpuDuration().map(d -> d.toNanos() / 1000).orElse(0L);
  }

  public Tap tap() {
    return tap;
  }

  public Rules rules() {
    return rules;
  }

  public String secret() {
    return secret;
  }

  public List<StandInRunner> runners() {
    return List.copyOf(runners);
  }

  public ListStandIn list() {
    return list;
  }

  /** Returns the files on which edges in this process keep their ledgers. */
  public StallingDisk disk() {
    return disk;
  }

  /** Returns the factory of the threads that serve client connections of edges in this process. */
  public ScarceThreads clientThreads() {
    return clientThreads;
  }

  /** Returns the factory of the threads that run attempts of edges in this process. */
  public ScarceThreads attemptThreads() {
    return attemptThreads;
  }

  public Archive archive() {
    return archive;
  }

  /** Returns the number of edges, running or not. */
  public int edgeCount() {
    return edges.size();
  }

  /** Returns the address on which an edge accepts webhooks. */
  public InetSocketAddress edgeAddress(int number) {
    return edges.get(number).address;
  }

  /** Returns an edge that runs in this process, for tests of its internal state. */
  public Edge edgeInProcess(int number) {
    return edges.get(number).edge;
  }

  public Path settingsFile(int number) {
    return edges.get(number).settings;
  }

  /** Returns new clients for the edges of this fleet. */
  public WebhookClients clients() {
    return new WebhookClients(PATH, OTHER_PATH, Secret.parse(secret), this::edgeAddress, tap);
  }

  /**
   * Kills an edge and starts it again after a pause. Restarts of an edge run one at a time: on a busy machine, a
   * second restart could otherwise kill the process that the first one still waits for.
   */
  public void restartEdge(int number, long downMillis) throws IOException, InterruptedException {
    EdgeSlot slot = edges.get(number);
    synchronized (slot) {
      long from = Clock.micros();
      slot.kill();
      Thread.sleep(downMillis);
      slot.start();
      slot.awaitReady();
      tap.edgeWasDown(new Tap.Outage(number, from, Clock.micros()));
    }
  }

  /** Restarts the edges whose processes were ended from outside. */
  public void restartEnded() throws IOException {
    for (EdgeSlot slot : edges) {
      if (slot.process != null && !slot.process.isAlive()) {
        slot.start();
        slot.awaitReady();
      }
    }
  }

  /** Returns the process of an edge, for tests that kill it themselves. */
  public Process edgeProcess(int number) {
    return edges.get(number).process;
  }

  /** Stops an edge in order; its calls in progress are answered first. */
  public void stopEdge(int number) throws InterruptedException {
    edges.get(number).stop();
  }

  /** Returns the line that the command {@code up} prints when the fleet is ready. */
  public String readyLine(File runnerLog) {
    Map<String, Object> types = new java.util.LinkedHashMap<>();
    types.put("safe", "hours.read");
    types.put("keyed", "assessment.saved");
    types.put("unsafe", "certificate.issued");
    Map<String, Object> line = new java.util.LinkedHashMap<>();
    line.put("ready", true);
    line.put(
        "edges", edges.stream().map(e -> "127.0.0.1:" + e.address.getPort()).toList());
    line.put("path", PATH);
    line.put("secret", secret);
    line.put("types", types);
    line.put("runnerLog", runnerLog.getAbsolutePath());
    return Json.write(line);
  }

  /** Stops the edges in order, then the stand-ins. */
  @Override
  public void close() {
    List<Thread> stops = new ArrayList<>();
    for (EdgeSlot slot : edges) {
      stops.add(gorseladder.runtime.Threads.start("stop", 256 << 10, () -> {
        try {
          slot.stop();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }));
    }
    for (Thread t : stops) {
      try {
        t.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    runners.forEach(StandInRunner::close);
    list.close();
  }
}
