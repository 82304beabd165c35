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
 * Runs one edge until it is told to stop. SIGTERM or SIGINT stops it in order: nothing new is taken and what was taken
 * is answered; a second signal ends it at once.
 */
public final class EdgeMain {
  /** Exit codes. */
  public static final int OK = 0;

  public static final int BAD_SETTINGS = 2;
  public static final int CANNOT_START = 3;
  private static final int EXIT_KILLED = 143;

  private EdgeMain() {}

  /** Runs the edge of the settings file named first; ends with the process that holds its standard input. */
  public static void main(String[] args) throws InterruptedException {
    // Not by way of Threads: that class has a logger, and the settings decide how logging is set
    // up.
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
      // As good as its end.
    }
    Runtime.getRuntime().halt(EXIT_KILLED);
  }

  /** Runs until a signal comes; one line of JSON on {@code out} says when it is ready and where. */
  public static int run(Path file, PrintStream out, PrintStream err) throws InterruptedException {
    // Not by way of Edge: its class has a logger, and the settings decide how logging is set
    // up.
    SettingsFile loaded = SettingsFile.load(file, EdgeConfig::checkSecret);
    if (!loaded.faults().isEmpty()) {
      loaded.faults().forEach(err::println);
      return BAD_SETTINGS;
    }
    // Read by the logging's configuration, which must not be touched before.
    System.setProperty(
        "gorseladder.log.form", loaded.settings().getLog().getForm().name());
    System.setProperty("gorseladder.log.level", loaded.settings().getLog().getLevel());
    try (Edge edge = new Edge(loaded.settings())) {
      ProcessSignals signals =
          ProcessSignals.listenForStop(() -> Runtime.getRuntime().halt(EXIT_KILLED));
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
