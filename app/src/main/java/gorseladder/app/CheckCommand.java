package gorseladder.app;

import gorseladder.config.Fault;
import gorseladder.config.SettingsFile;
import gorseladder.edge.Edge;
import gorseladder.planner.PlannerFile;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code check FILE}: validates the settings of an edge or a planner. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Check a settings file and name every fault with file, line, field and reason.")
final class CheckCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "Settings in protobuf text format.")
  private Path file;

  @Option(names = "--planner", description = "The file is a planner's.")
  private boolean planner;

  @Override
  public Integer call() {
    List<Fault> faults;
    if (planner) {
      faults = PlannerFile.load(file).faults();
    } else {
      SettingsFile edge = Edge.load(file);
      edge.warnings().forEach(System.out::println);
      faults = edge.faults();
    }
    faults.forEach(System.out::println);
    if (faults.isEmpty()) {
      System.out.println(file + ": good");
    }
    return faults.isEmpty() ? Main.EXIT_OK : Main.EXIT_BAD_USAGE;
  }
}
