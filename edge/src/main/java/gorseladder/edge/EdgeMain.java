package gorseladder.edge;

import gorseladder.config.Address;
import gorseladder.config.SettingsFile;
import gorseladder.runtime.ProcessSignals;
import gorseladder.wire.json.Json;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Runs one edge until it is stopped. SIGTERM or SIGINT stops it gracefully: it accepts no new calls and answers the
 * accepted ones. A second signal ends it at once.
 */
public final class EdgeMain {
  /** Exit codes. */
  public static final int OK = 0;

  public static final int BAD_SETTINGS = 2;
  public static final int CANNOT_START = 3;
  private static final int EXIT_KILLED = 143;

  private EdgeMain() {}

  /**
   * Runs the edge of the settings file that is the first argument. The process halts when its standard input closes,
   * that is when its parent ends.
   */
  public static void main(String[] args) throws InterruptedException {
    // Threads has a logger, which must not be created before the settings configure logging.
    Thread parent = new Thread(EdgeMain::haltWithParent, "parent");
    parent.setDaemon(true);
    parent.start();
    System.exit(run(Path.of(args[0]), System.out, System.err));
  }

  private static void haltWithParent() {
    try {
      while (System.in.read() >= 0) {
        continue;
      }
    } catch (IOException e) {
      // A read error counts as the end of the stream.
    }
    Runtime.getRuntime().halt(EXIT_KILLED);
  }

  /**
   * Runs until a signal arrives.
   *
   * @param out receives one line of JSON with the address when the edge is ready
   * @param err receives the faults of the settings and of the start
   * @return the exit code
   */
  public static int run(Path file, PrintStream out, PrintStream err) throws InterruptedException {
    // Edge has a logger, which must not be created before the settings configure logging.
    SettingsFile loaded = SettingsFile.load(file, EdgeConfig::checkSecret);
    if (!loaded.faults().isEmpty()) {
      loaded.faults().forEach(err::println);
      return BAD_SETTINGS;
    }
    loaded.warnings().forEach(err::println);
    // The logging configuration reads these properties when the first logger is created.
    System.setProperty(
        "gorseladder.log.form", loaded.settings().getLog().getForm().name());
    System.setProperty("gorseladder.log.level", loaded.settings().getLog().getLevel());
    // Before the edge listens: a stop during the start must answer what was taken by then.
    ProcessSignals signals =
        ProcessSignals.listenForStop(() -> Runtime.getRuntime().halt(EXIT_KILLED));
    try (Edge edge = new Edge(loaded.settings())) {
      Map<String, Object> ready = new LinkedHashMap<>();
      ready.put("ready", true);
      ready.put("edge", Address.print(edge.address()));
      out.println(Json.write(ready));
      out.flush();
      signals.awaitStopOrReload();
      edge.stop();
      return OK;
    } catch (IOException e) {
      err.println("gorseladder: " + e.getMessage());
      return CANNOT_START;
    }
  }
}
