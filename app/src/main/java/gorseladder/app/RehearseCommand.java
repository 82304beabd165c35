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
 * {@code rehearse}: a live dispatcher, started as the deploy file does, goes through a short day between stand-ins. The
 * build makes of the classes that it uses the archive that dispatchers start with.
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
    Path directory = Files.createTempDirectory("rehearsal");
    try {
      List<String> troubles =
          new ArchiveMaker(Path.of("").toAbsolutePath(), directory).make(archive);
      troubles.forEach(trouble -> System.err.println("gorseladder: " + trouble));
      return troubles.isEmpty() ? Main.GOOD : Main.BROKEN;
    } finally {
      delete(directory);
    }
  }

  private static void delete(Path directory) throws IOException {
    try (Stream<Path> all = Files.walk(directory)) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }
}
