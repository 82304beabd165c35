package gorseladder.app;

import gorseladder.edge.EdgeMain;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code edge FILE}: runs one edge. */
@Command(
    name = "edge",
    mixinStandardHelpOptions = true,
    description =
        "Run one edge by a settings file. Prints one line of JSON when ready. SIGTERM takes nothing new and "
            + "answers what was taken; a second signal ends it at once.")
final class EdgeCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "Settings in protobuf text format.")
  private Path file;

  @Override
  public Integer call() throws InterruptedException {
    return EdgeMain.run(file, System.out, System.err);
  }
}
