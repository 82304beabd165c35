package gorseladder.planner;

import gorseladder.config.Address;
import gorseladder.runtime.Clock;
import gorseladder.runtime.ProcessSignals;
import gorseladder.wire.json.Json;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** Runs a planner until a signal stops it; edges continue without it. */
public final class PlannerMain {
  private static final int OK = 0;
  private static final int BAD_SETTINGS = 2;
  private static final int CANNOT_START = 3;

  private PlannerMain() {}

  /** Runs a planner with the settings file given as the first argument. */
  public static void main(String[] args) throws InterruptedException {
    System.exit(run(Path.of(args[0]), System.out, System.err));
  }

  /**
   * Runs a planner until a signal stops it. Once it is ready, one line of JSON with its address is written to
   * {@code out}.
   *
   * @return the exit code
   */
  public static int run(Path file, PrintStream out, PrintStream err) throws InterruptedException {
    PlannerFile loaded = PlannerFile.load(file);
    if (!loaded.faults().isEmpty()) {
      loaded.faults().forEach(err::println);
      return BAD_SETTINGS;
    }
    System.setProperty(
        "gorseladder.log.form", loaded.settings().getLog().getForm().name());
    System.setProperty("gorseladder.log.level", loaded.settings().getLog().getLevel());
    try (PlannerServer server = new PlannerServer(loaded.settings(), Clock::wallMicros)) {
      ProcessSignals signals = ProcessSignals.listenForStop(() -> {});
      Map<String, Object> ready = new LinkedHashMap<>();
      ready.put("ready", true);
      ready.put("planner", Address.print(server.address()));
      out.println(Json.write(ready));
      out.flush();
      signals.awaitStopOrReload();
      return OK;
    } catch (IOException e) {
      err.println("gorseladder: " + e.getMessage());
      return CANNOT_START;
    }
  }
}
