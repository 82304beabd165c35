package gorseladder.app;

import gorseladder.testbed.TestFleet;
import gorseladder.testbed.script.DayScript;
import gorseladder.wire.json.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sun.misc.Signal;

/** {@code up}: runs a fleet with stand-in runners until it is stopped. */
@Command(
    name = "up",
    mixinStandardHelpOptions = true,
    description =
        "Hold edges, stand-in runners, list and archive in the foreground. Prints one line of JSON when ready. "
            + "An edge that is killed is started again at its address; SIGINT or SIGTERM stops all in order.")
final class UpCommand implements Callable<Integer> {
  @Option(
      names = "--edges",
      defaultValue = "1",
      description = "Edges, each a process (default ${DEFAULT-VALUE}).")
  private int edges;

  @Option(
      names = "--runners",
      defaultValue = "4",
      description = "Stand-in runners (default ${DEFAULT-VALUE}).")
  private int runners;

  @Override
  public Integer call() throws IOException, InterruptedException, DayScript.BadScript {
    if (edges < 1 || edges > 100 || runners < 1 || runners > 500) {
      System.err.println("gorseladder: --edges takes 1 to 100, --runners 1 to 500");
      return Main.EXIT_BAD_USAGE;
    }
    Path directory = Files.createTempDirectory("gorseladder-");
    Path runnerLog = directory.resolve("runners.jsonl");
    CountDownLatch stop = new CountDownLatch(1);
    for (String name : new String[] {"TERM", "INT"}) {
      Signal.handle(new Signal(name), signal -> {
        if (stop.getCount() == 0) {
          Runtime.getRuntime().halt(143);
        }
        stop.countDown();
      });
    }
    DayScript script = DayScript.parse("edges = " + edges + "; runners = " + runners + "; seed = "
        + (System.nanoTime() & 0xffff) + ";");
    try (Writer log = Files.newBufferedWriter(runnerLog);
        TestFleet fleet = new TestFleet(script, directory, true, fields -> write(log, fields))) {
      System.out.println(fleet.readyLine(runnerLog.toFile()));
      System.out.flush();
      while (!stop.await(200, TimeUnit.MILLISECONDS)) {
        fleet.restartEnded();
      }
    }
    return Main.EXIT_OK;
  }

  private static void write(Writer log, java.util.Map<String, Object> fields) {
    try {
      synchronized (log) {
        log.write(Json.write(fields) + "\n");
        log.flush();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
