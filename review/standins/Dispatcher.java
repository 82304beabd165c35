package review;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A live dispatcher, started by the line `run` of the deploy file, with a change log that tells nothing new. */
final class Dispatcher {
  /** The settings of a small deployment: classes and rules after larling-centralen, three dispatchers. */
  private static final String SETTINGS = String.join(
      "",
      "{\"ordinal\":0,\"balancers\":3,\"zone\":\"hus-a\",\"tickMs\":2,",
      "\"familyInfo\":{\"keepAliveMs\":8400,\"ifCold\":\"load\",\"marksCold\":true,\"notesPeersInHand\":true,",
      "\"placementCalls\":true,\"loadShare\":0,\"loadSpanMs\":0,\"loadsAnyway\":0,\"orderLimitMs\":10000},",
      "\"limits\":{\"maxAttempts\":4,\"mayDuplicate\":false,\"cancelling\":true,\"retryAfter\":true,\"multiplex\":100,",
      "\"connectTimeoutMs\":250,\"connIdleMs\":30000,\"maxRetryAfterMs\":2000,\"mostHeld\":20000,\"peers\":false,",
      "\"probing\":true},",
      "\"rules\":{\"stopSendingWithinMs\":500,\"coldFrom\":0.16,\"coldMs\":18000,\"tipMultiple\":2.5,",
      "\"overloadForMs\":1500},",
      "\"tenants\":[{\"name\":\"bygg-sektion\",\"quotaPerS\":101,\"share\":1}],",
      "\"profiles\":[{\"effect\":\"pure\",\"giveUpMs\":3000,\"goalTimeMs\":1200,\"group\":\"all\",\"lateValue\":0.2,",
      "\"name\":\"timlogg-las\",\"points\":3,\"repeatWindowMs\":5000,\"stream\":false},",
      "{\"effect\":\"side_effect\",\"giveUpMs\":3000,\"goalTimeMs\":1200,\"group\":\"all\",\"lateValue\":0.3,",
      "\"name\":\"gesallbrev-utfarda\",\"points\":2,\"repeatWindowMs\":5000,\"stream\":false}]}");

  private final Process process;
  private final int port;

  private Dispatcher(Process process, int port) {
    this.process = process;
    this.port = port;
  }

  int port() {
    return port;
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return s.getLocalPort();
    }
  }

  private static int changeLog() throws IOException {
    ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
    Threads.start(() -> Threads.serve(server, s -> {
      new BufferedReader(new InputStreamReader(s.getInputStream())).readLine();
      while (true) {
        s.getOutputStream().write("1\n".getBytes(StandardCharsets.US_ASCII));
        Thread.sleep(1_000);
      }
    }));
    return server.getLocalPort();
  }

  /**
   * Starts a dispatcher and waits until it is live.
   *
   * @param core the one core that its process runs on
   */
  static Dispatcher start(Path folder, List<Integer> runners, int core, Record record) throws Exception {
    List<String> targets = new ArrayList<>();
    for (int runner : runners) {
      targets.add("{\"uid\":\"s-" + runner + "\",\"endpoint\":\"127.0.0.1:" + runner
          + "\",\"az\":\"hus-a\",\"model\":\"std-4k\",\"pod_group\":0,\"state\":\"active\",\"capacity_hint\":4,"
          + "\"boot_ms\":0}");
    }
    int port = freePort();
    Path config = folder.resolve("config.json");
    Files.writeString(
        config,
        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\"8c1f30d27a5be964\","
            + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
            + "\"changelog\":\"127.0.0.1:" + changeLog() + "\","
            + "\"known\":{\"seq\":1,\"results\":[{\"seq\":1,\"fleet\":{\"rev\":1,\"all\":true,\"targets\":["
            + String.join(",", targets) + "]}}]},\"settings\":" + SETTINGS + "}");
    Matcher run = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE)
        .matcher(Files.readString(Path.of("deploy/balancer.toml")));
    Case.require(run.find(), "no line `run` in the deploy file");
    ProcessBuilder builder = new ProcessBuilder(
            "taskset", "-c", Integer.toString(core), "/bin/sh", "-c", run.group(1))
        .redirectErrorStream(true)
        .redirectOutput(new File(folder.toFile(), "program.log"));
    builder.environment().put("ROUTER_NAME", "n0");
    builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("ROUTER_CONFIG", config.toString());
    Process process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    for (int tries = 0; tries < 600 && process.isAlive(); tries++) {
      try {
        FastCgi front = new FastCgi(port);
        front.connect();
        front.send(FastCgi.request(1, "/status/live", Map.of(), new byte[0]));
        if (front.receive(1_000).contains("Status: 200")) {
          front.leave();
          record.line("the dispatcher is live at 127.0.0.1:%d, on core %d", port, core);
          return new Dispatcher(process, port);
        }
      } catch (IOException e) {
        Thread.sleep(50);
      }
    }
    throw new IllegalStateException("the dispatcher did not start");
  }

  void kill() throws Exception {
    process.destroyForcibly().waitFor();
  }
}
