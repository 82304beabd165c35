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
 * Makes the class data sharing (CDS) archive that dispatchers start with. One dispatcher, started as the deploy file
 * does, runs through a {@link DispatcherDay} while the JVM records the classes that it uses.
 *
 * <p>The archive is a static one of JDK and program classes ({@code -Xshare:dump}), not a dynamic one on top of the
 * JDK's ({@code -XX:ArchiveClassesAtExit}): only a static archive takes lambdas by name, so that it can hold lambdas
 * which the run did not reach.
 */
public final class ArchiveMaker {
  private static final String JAR = "app/target/gorseladder.jar";
  private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=";
  private static final long DUMP_TIMEOUT_MILLIS = 120_000;

  private final Path root;
  private final Path workDirectory;

  /**
   * Creates a maker for the built jar.
   *
   * @param root the root of the project, below which the jar is
   * @param workDirectory an empty directory for intermediate files
   */
  public ArchiveMaker(Path root, Path workDirectory) {
    this.root = root;
    this.workDirectory = workDirectory;
  }

  /**
   * Makes the archive, also when the day did not go as expected; it then lacks the classes that were not reached. An
   * earlier archive is deleted first and the new one is moved into place when it is complete, since the JVM exits at
   * its start when the file is incomplete.
   *
   * @param archive the file to write
   * @return the problems met; empty when the archive exists and the day went as expected
   */
  public List<String> make(Path archive) throws IOException, InterruptedException {
    Files.deleteIfExists(archive);
    Path usedList = workDirectory.resolve("used.classlist");
    List<String> problems = new ArrayList<>(rehearse(usedList));
    if (!Files.exists(usedList)) {
      problems.add("the dispatcher left no list of its classes");
      return problems;
    }
    Path classList = workDirectory.resolve("all.classlist");
    try (JarFile jar = new JarFile(root.resolve(JAR).toFile())) {
      Files.write(classList, ClassList.complete(Files.readAllLines(usedList), jar));
    }
    List<String> dumpProblems = dump(classList, archive);
    problems.addAll(dumpProblems);
    if (!dumpProblems.isEmpty()) {
      // An archive of only the classes that the run used is still useful.
      problems.addAll(dump(usedList, archive));
    }
    return problems;
  }

  private List<String> rehearse(Path usedList) throws IOException, InterruptedException {
    String command = RunLine.ofJar(root)
        .replaceFirst(ARCHIVE_OPTION + "[^ ]*", "-XX:DumpLoadedClassList=" + usedList);
    Path log = workDirectory.resolve("rehearsal.log");
    try (DispatcherDay day = new DispatcherDay(workDirectory);
        ChildProcess dispatcher =
            new ChildProcess(command, root, day.environment(), log.toFile())) {
      day.play(dispatcher, scene -> {});
      return day.problems();
    }
  }

  private List<String> dump(Path classList, Path archive) throws IOException, InterruptedException {
    Path unfinished = archive.resolveSibling(archive.getFileName() + ".part");
    try {
      return dump(classList, unfinished, archive);
    } finally {
      Files.deleteIfExists(unfinished);
    }
  }

  private List<String> dump(Path classList, Path unfinished, Path archive)
      throws IOException, InterruptedException {
    String command = "exec java -XX:+UseSerialGC -Xmx128m -XX:ErrorFile="
        + workDirectory.resolve("error.log") + " -Xshare:dump -XX:SharedClassListFile=" + classList
        + " "
        + ARCHIVE_OPTION + unfinished.toAbsolutePath() + " -cp " + JAR;
    Path log = workDirectory.resolve("dump.log");
    try (ChildProcess dumpProcess = new ChildProcess(command, root, Map.of(), log.toFile())) {
      int exitCode = dumpProcess.await(DUMP_TIMEOUT_MILLIS);
      if (exitCode != 0 || !Files.exists(unfinished)) {
        return List.of("the dump ended with " + exitCode + ": " + Files.readString(log));
      }
      Files.move(unfinished, archive, StandardCopyOption.ATOMIC_MOVE);
      return List.of();
    }
  }
}
