package gorseladder.app;

import gorseladder.node.Node;
import gorseladder.node.NodeConfig;
import gorseladder.testbed.platform.FastCgiClient;
import gorseladder.testbed.platform.PlatformChangeLog;
import gorseladder.testbed.platform.PlatformRunner;
import gorseladder.testbed.platform.PlatformRunner.Deed;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/**
 * {@code rehearse}: a live dispatcher serves a few hundred calls between stand-ins, in one process. The build has the machine
 * write down the classes that were used, so that a dispatcher starts with them ready.
 */
@Command(name = RehearseCommand.NAME, mixinStandardHelpOptions = true,
    description = "Run a live dispatcher between stand-ins for a moment; the build records the classes it uses.")
final class RehearseCommand implements Callable<Integer> {
  static final String NAME = "rehearse";

  private static final int CALLS = 300;
  private static final long PATIENCE = 2_000;
  private static final String SETTINGS = """
      {"ordinal":0,"balancers":1,"zone":"z","tickMs":2,
       "familyInfo":{"keepAliveMs":9000,"ifCold":"load","marksCold":true,"notesPeersInHand":true,"placementCalls":true},
       "limits":{"maxAttempts":4,"cancelling":true,"retryAfter":true,"multiplex":100,"connectTimeoutMs":250,
        "connIdleMs":30000},
       "rules":{"stopSendingWithinMs":500,"coldFrom":0.2,"coldMs":9000,"tipMultiple":2,"overloadForMs":1500},
       "tenants":[{"name":"t","share":1,"quotaPerS":100}],
       "profiles":[{"name":"safe","effect":"pure","goalTimeMs":900,"giveUpMs":3000},
        {"name":"unsafe","effect":"side_effect","goalTimeMs":900,"giveUpMs":3000}]}""";

  @Override
  public Integer call() throws IOException, InterruptedException {
    Deed[] deeds = {Deed.SERVE, Deed.SERVE, Deed.REFUSE, Deed.SERVE, Deed.RESET, Deed.SERVE, Deed.NOISE};
    int[] next = new int[1];
    List<String> events = new ArrayList<>();
    Path file = Files.createTempFile("rehearsal", ".json");
    try (PlatformRunner a = new PlatformRunner(arrival -> deeds[next[0]++ % deeds.length]);
        PlatformRunner b = new PlatformRunner(arrival -> Deed.SERVE);
        PlatformChangeLog log = new PlatformChangeLog(events)) {
      events.add(PlatformChangeLog.event(1, true, "a", a.address(), "active"));
      Files.writeString(file, "{\"seed\":\"5\",\"limits\":{\"memory_mb\":128,\"sockets\":512},\"changelog\":\"127.0.0.1:"
          + log.address().getPort() + "\",\"known\":{\"seq\":1,\"results\":[" + events.get(0) + "]},\"settings\":"
          + SETTINGS + "}");
      Map<String, String> told = Map.of("ROUTER_NAME", "n0", "ROUTER_LISTEN", "127.0.0.1:0", "ROUTER_CONFIG", file.toString());
      try (Node node = new Node(NodeConfig.read(told)); FastCgiClient client = new FastCgiClient(node.address())) {
        log.add(PlatformChangeLog.event(2, false, "b", b.address(), "active"));
        int answered = 0;
        for (int i = 1; i <= CALLS; i++) {
          String id = String.format("%016x", i);
          client.send(i, FastCgiClient.params(i % 3 == 0 ? "unsafe" : "safe", id, id, PATIENCE), new byte[100]);
          answered += client.await(i, PATIENCE) == null ? 0 : 1;
        }
        node.stop();
        return answered == CALLS ? Main.GOOD : Main.BROKEN;
      }
    } finally {
      Files.delete(file);
    }
  }
}
