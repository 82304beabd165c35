package gorseladder.app;

import gorseladder.node.Node;
import gorseladder.node.NodeConfig;
import gorseladder.testbed.platform.FastCgiClient;
import gorseladder.testbed.platform.PlatformChangeLog;
import gorseladder.testbed.platform.PlatformConfig;
import gorseladder.testbed.platform.PlatformRunner;
import gorseladder.testbed.platform.PlatformRunner.Reaction;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/**
 * {@code rehearse}: a live dispatcher serves a few hundred calls between stand-ins, in one process. The build has the
 * machine write down the classes that were used, so that a dispatcher starts with them ready.
 */
@Command(
    name = RehearseCommand.NAME,
    mixinStandardHelpOptions = true,
    description =
        "Run a live dispatcher between stand-ins for a moment; the build records the classes it uses.")
final class RehearseCommand implements Callable<Integer> {
  static final String NAME = "rehearse";

  private static final int CALLS = 300;
  private static final long PATIENCE = 2_000;
  private static final long DEADLINE = 3_000;

  @Override
  public Integer call() throws IOException, InterruptedException {
    Reaction[] deeds = {
      Reaction.SERVE,
      Reaction.SERVE,
      Reaction.REFUSE,
      Reaction.SERVE,
      Reaction.RESET,
      Reaction.SERVE,
      Reaction.NOISE
    };
    int[] next = new int[1];
    List<String> events = new ArrayList<>();
    Path file = Files.createTempFile("rehearsal", ".json");
    try (PlatformRunner a = new PlatformRunner(arrival -> deeds[next[0]++ % deeds.length]);
        PlatformRunner b = new PlatformRunner(arrival -> Reaction.SERVE);
        PlatformChangeLog log = new PlatformChangeLog(events)) {
      events.add(PlatformChangeLog.event(1, true, "a", a.address(), "active"));
      Files.writeString(file, PlatformConfig.text(log.address(), events.get(0), DEADLINE));
      Map<String, String> told = Map.of(
          "ROUTER_NAME", "n0", "ROUTER_LISTEN", "127.0.0.1:0", "ROUTER_CONFIG", file.toString());
      try (Node node = new Node(NodeConfig.read(told));
          FastCgiClient client = new FastCgiClient(node.address())) {
        log.add(PlatformChangeLog.event(2, false, "b", b.address(), "active"));
        int answered = 0;
        for (int i = 1; i <= CALLS; i++) {
          String id = String.format("%016x", i);
          client.send(
              i,
              FastCgiClient.params(i % 3 == 0 ? "unsafe" : "safe", id, id, PATIENCE),
              new byte[100]);
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
