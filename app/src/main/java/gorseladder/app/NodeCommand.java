package gorseladder.app;

import gorseladder.node.NodeMain;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** {@code node}: runs a dispatcher of the platform, configured by environment variables. */
@Command(
    name = NodeCommand.NAME,
    mixinStandardHelpOptions = true,
    description =
        "Run a live dispatcher of the platform, told by ROUTER_NAME, ROUTER_LISTEN and ROUTER_CONFIG.")
final class NodeCommand implements Callable<Integer> {
  static final String NAME = "node";

  @Override
  public Integer call() throws InterruptedException {
    return NodeMain.run();
  }
}
