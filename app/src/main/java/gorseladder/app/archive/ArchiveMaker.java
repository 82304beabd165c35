package gorseladder.app.archive;

import gorseladder.testbed.process.ChildProcess;
import gorseladder.testbed.process.RunLine;
import gorseladder.testbed.rehearsal.DispatcherDay;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.jar.JarFile;

/**
 * Makes the class archive that dispatchers start with: one dispatcher, started as the deploy file does, lives through a
 * {@link DispatcherDay}, and the Java machine writes down what it uses.
 *
 * <p>A whole archive of the machine's own classes and the program's ({@code -Xshare:dump}), not one on top of the
 * machine's ({@code -XX:ArchiveClassesAtExit}): only the former takes lambdas by name, also those that the run did not
 * come by.
 */
public final class ArchiveMaker {
  private static final String JAR = "app/target/gorseladder.jar";
  private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=";
  private static final long DUMP_MILLIS = 120_000;

  private final Path root;
  private final Path directory;

  /**
   * A maker for the jar that was built below the root.
   *
   * @param directory an empty one for what is needed meanwhile
   */
  public ArchiveMaker(Path root, Path directory) {
    this.root = root;
    this.directory = directory;
  }

  /**
   * Makes it, also where the day did not go as expected: it then lacks what was not met. It takes its place whole or
   * not at all, and one from before goes first: the Java machine ends at the start where the file is a part of one.
   *
   * @return what went otherwise than expected; empty where the archive is there and nothing did
   */
  public List<String> make(Path archive) throws IOException, InterruptedException {
    Files.deleteIfExists(archive);
    Path used = directory.resolve("used.classlist");
    List<String> troubles = new ArrayList<>(rehearse(used));
    if (!Files.exists(used)) {
      troubles.add("the dispatcher left no list of its classes");
      return troubles;
    }
    Path list = directory.resolve("all.classlist");
    try (JarFile jar = new JarFile(root.resolve(JAR).toFile())) {
      Files.write(list, ClassList.completed(Files.readAllLines(used), jar));
    }
    List<String> failed = dump(list, archive);
    troubles.addAll(failed);
    if (!failed.isEmpty()) {
      // Without what the run did not meet it is still worth having.
      troubles.addAll(dump(used, archive));
    }
    return troubles;
  }

  private List<String> rehearse(Path used) throws IOException, InterruptedException {
    String command = RunLine.ofJar(root)
        .replaceFirst(ARCHIVE_OPTION + "[^ ]*", "-XX:DumpLoadedClassList=" + used);
    Path log = directory.resolve("rehearsal.log");
    try (DispatcherDay day = new DispatcherDay(directory);
        ChildProcess dispatcher =
            new ChildProcess(command, root, day.environment(), log.toFile())) {
      day.play(dispatcher, scene -> {});
      return day.problems();
    }
  }

  private List<String> dump(Path list, Path archive) throws IOException, InterruptedException {
    Path unfinished = archive.resolveSibling(archive.getFileName() + ".part");
    try {
      return dump(list, unfinished, archive);
    } finally {
      Files.deleteIfExists(unfinished);
    }
  }

  private List<String> dump(Path list, Path unfinished, Path archive)
      throws IOException, InterruptedException {
    String command = "exec java -XX:+UseSerialGC -Xmx128m -XX:ErrorFile="
        + directory.resolve("error.log") + " -Xshare:dump -XX:SharedClassListFile=" + list + " "
        + ARCHIVE_OPTION + unfinished.toAbsolutePath() + " -cp " + JAR;
    Path log = directory.resolve("dump.log");
    try (ChildProcess dumping = new ChildProcess(command, root, Map.of(), log.toFile())) {
      int code = dumping.await(DUMP_MILLIS);
      if (code != 0 || !Files.exists(unfinished)) {
        return List.of("the dump ended with " + code + ": " + Files.readString(log));
      }
      Files.move(unfinished, archive, StandardCopyOption.ATOMIC_MOVE);
      return List.of();
    }
  }
}
