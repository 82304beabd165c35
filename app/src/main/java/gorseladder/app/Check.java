package gorseladder.app;

import gorseladder.config.SettingsFile;
import gorseladder.edge.Edge;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code check FILE}. */
@Command(name = "check", mixinStandardHelpOptions = true,
    description = "Check a settings file and name every fault with file, line, field and reason.")
final class Check implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "Settings in protobuf text format.")
  private Path file;

  @Override
  public Integer call() {
    SettingsFile loaded = Edge.load(file);
    loaded.faults().forEach(System.out::println);
    if (loaded.faults().isEmpty()) {
      System.out.println(file + ": good");
    }
    return loaded.faults().isEmpty() ? Main.GOOD : Main.BAD_USAGE;
  }
}
