package gorseladder.app;

import gorseladder.scale.CellResult;
import gorseladder.scale.Report;
import gorseladder.scale.Scale;
import gorseladder.scale.ScaleFile;
import gorseladder.scale.Slope;
import gorseladder.scale.proto.ScaleRun;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code scale}: measures hollow dispatchers (no sockets) and real processes over a sweep of sizes. */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description =
        "Run hollow dispatchers beside real ones over swept sizes (protobuf text format); "
            + "tables, fitted slopes and plots. Exits 1 where a cell failed.")
final class ScaleCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The scale run.")
  private Path file;

  @Option(
      names = "--out",
      paramLabel = "DIR",
      description = "Write cells.csv and slopes.csv there.")
  private Path out;

  @Option(
      names = "--plots",
      paramLabel = "DIR",
      description = "Write a plot of each measure there, as PNG.")
  private Path plots;

  @Option(
      names = "--root",
      defaultValue = ".",
      description = "Where deploy/balancer.toml is (default: here).")
  private Path root;

  @Override
  public Integer call() throws IOException, InterruptedException {
    ScaleRun settings;
    try {
      settings = ScaleFile.load(file, Runtime.getRuntime().maxMemory(), machineMemoryBytes());
    } catch (IllegalArgumentException e) {
      System.err.println("gorseladder: " + e.getMessage());
      return Main.EXIT_BAD_USAGE;
    }
    Scale scale = new Scale(settings, root);
    scale.run();
    if (out != null) {
      Report.write(scale, out);
    }
    if (plots != null) {
      Report.plot(scale, plots);
    }
    scale.slopes().forEach(ScaleCommand::print);
    boolean passed = true;
    for (CellResult cell : scale.results()) {
      if (cell.failure() != null) {
        passed = false;
        System.out.printf(
            Locale.ROOT,
            "FAILED %s %s %.0f: %s%n",
            cell.kind(),
            cell.sweep(),
            cell.size(),
            cell.failure());
      }
    }
    return passed ? Main.EXIT_OK : Main.EXIT_CHECK_FAILED;
  }

  private static void print(Slope slope) {
    System.out.printf(
        Locale.ROOT,
        "%-6s %-11s %-52s %12.4g + %10.4g +- %8.2g each, exponent %5.2f%n",
        slope.kind(),
        slope.sweep(),
        slope.measure().title(),
        slope.intercept(),
        slope.slope(),
        slope.halfWidth(),
        slope.exponent());
  }

  private static long machineMemoryBytes() {
    return ManagementFactory.getOperatingSystemMXBean()
            instanceof com.sun.management.OperatingSystemMXBean machine
        ? machine.getTotalMemorySize()
        : 0;
  }
}
