package gorseladder.app;

import gorseladder.app.archive.ArchiveMaker;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * {@code rehearse}: makes the class archive that dispatchers start with. A dispatcher, started as the deploy file does,
 * goes through a short day against stand-ins, and the classes that it uses are archived. The build runs this command.
 */
@Command(
    name = RehearseCommand.NAME,
    mixinStandardHelpOptions = true,
    description = "Run a live dispatcher through a short day and archive the classes that it uses. "
        + "From the root, after the build.")
final class RehearseCommand implements Callable<Integer> {
  static final String NAME = "rehearse";

  @Parameters(paramLabel = "ARCHIVE", description = "The archive to be written.")
  private Path archive;

  @Override
  public Integer call() throws IOException, InterruptedException {
    Path workDirectory = Files.createTempDirectory("rehearsal");
    try {
      List<String> problems =
          new ArchiveMaker(Path.of("").toAbsolutePath(), workDirectory).make(archive);
      problems.forEach(problem -> System.err.println("gorseladder: " + problem));
      return problems.isEmpty() ? Main.EXIT_OK : Main.EXIT_CHECK_FAILED;
    } finally {
      delete(workDirectory);
    }
  }

  private static void delete(Path workDirectory) throws IOException {
    try (Stream<Path> paths = Files.walk(workDirectory)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }
}
