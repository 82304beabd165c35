package gorseladder.node;

import gorseladder.platform.BadInput;
import gorseladder.runtime.ProcessSignals;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/**
 * Runs one dispatcher of the platform. SIGTERM stops it gracefully, SIGHUP reloads its configuration. Signals are
 * handled from the start of the process, because their default action would end it.
 */
public final class NodeMain {
  /** Exit codes. */
  public static final int OK = 0;

  public static final int CANNOT_START = 3;
  private static final int STACK_BYTES = 128 << 10;

  private NodeMain() {}

  /** Runs the dispatcher and exits, without the options of the command line program. */
  public static void main(String[] args) throws InterruptedException {
    System.exit(run());
  }

  /** Runs until SIGTERM or SIGINT and returns the exit code; prints one line to standard error if it cannot start. */
  public static int run() throws InterruptedException {
    // Read by the logging configuration; the messages of the dispatcher at INFO are few.
    if (System.getProperty("gorseladder.log.level") == null) {
      System.setProperty("gorseladder.log.level", "INFO");
    }
    ProcessSignals signals = ProcessSignals.listenForStopAndReload();
    Map<String, String> environment = System.getenv();
    try (Node node = new Node(NodeConfig.read(environment));
        // Reads the file again, since it may have been replaced after it was read.
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
