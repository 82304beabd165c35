package gorseladder.app;

import gorseladder.planner.PlannerMain;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code planner FILE}: runs the planner. */
@Command(
    name = "planner",
    mixinStandardHelpOptions = true,
    description =
        "Run the planner by a settings file. Prints one line of JSON when ready. Edges go on without it when it ends.")
final class PlannerCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "Settings in protobuf text format.")
  private Path file;

  @Override
  public Integer call() throws InterruptedException {
    return PlannerMain.run(file, System.out, System.err);
  }
}
