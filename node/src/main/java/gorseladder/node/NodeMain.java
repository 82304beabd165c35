package gorseladder.node;

import gorseladder.platform.BadInput;
import gorseladder.runtime.ProcessSignals;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/**
 * Runs one dispatcher of the platform until it is told to stop: SIGTERM stops it in order, SIGHUP has it read its
 * configuration again. Signals are noticed from the first moment on, since the machine's own way would end the process.
 */
public final class NodeMain {
  /** Exit codes. */
  public static final int OK = 0;

  public static final int CANNOT_START = 3;
  private static final int STACK_BYTES = 128 << 10;

  private NodeMain() {}

  /** The dispatcher as a process, without the command line around it. */
  public static void main(String[] args) throws InterruptedException {
    System.exit(run());
  }

  /** Runs until SIGTERM or SIGINT and returns the exit code; one line on standard error where it cannot start. */
  public static int run() throws InterruptedException {
    // Read by the logging's configuration: what the dispatcher says is seldom and worth
    // keeping.
    if (System.getProperty("gorseladder.log.level") == null) {
      System.setProperty("gorseladder.log.level", "INFO");
    }
    ProcessSignals signals = ProcessSignals.listenForStopAndReload();
    Map<String, String> environment = System.getenv();
    try (Node node = new Node(NodeConfig.read(environment));
        // Where it was replaced during the start, the file may have been read before that.
        Reconfiguration reconfiguration = new Reconfiguration(
            Path.of(environment.get(NodeConfig.CONFIG_FILE_VARIABLE)),
            new ChangeLogAddress(Path.of(environment.get(NodeConfig.CONFIG_FILE_VARIABLE)))::read,
            node.changeLogAddress(),
            node::followChangeLogAt,
            node::isChangeLogHeard,
            STACK_BYTES)) {
      node.setConfigurationSummary(reconfiguration::summary);
      while (!signals.awaitStopOrReload()) {
        reconfiguration.requestReload();
      }
      node.stop();
      return OK;
    } catch (BadInput | IOException e) {
      System.err.println("gorseladder: " + e.getMessage());
      return CANNOT_START;
    }
  }
}
