package gorseladder.app.archive;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.process.ChildProcess;
import gorseladder.testbed.process.RunLine;
import gorseladder.testbed.rehearsal.DispatcherDay;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the class archive that the build makes, in a dispatcher that is started as the deploy file does. */
class ClassArchiveIT {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final String ARCHIVE_SOURCE = "shared objects file";

  @TempDir
  Path dir;

  private Path classLog;
  private int linesRead;
  private final List<String> loadedElsewhere = new ArrayList<>();

  /**
   * Guards against classes that are loaded from the jar or generated when a code path first runs. In a dispatcher with
   * a tenth of a core each took 10 ms of processor time or more, and the core loop stood still for seconds.
   */
  @Test
  void afterReadyNoClassComesFromOutsideTheArchive() throws Exception {
    Path archive = dir.resolve("node.jsa");
    assertEquals(List.of(), new ArchiveMaker(ROOT, folder("making")).make(archive));
    classLog = dir.resolve("classes.log");
    try (DispatcherDay day = new DispatcherDay(folder("day"))) {
      Map<String, String> environment = new HashMap<>(day.environment());
      environment.put("JAVA_TOOL_OPTIONS", "-Xlog:class+load:file=" + classLog);
      String command = RunLine.ofJar(ROOT)
          .replaceFirst("-XX:SharedArchiveFile=[^ ]*", "-XX:SharedArchiveFile=" + archive);
      Path log = dir.resolve("dispatcher.log");
      try (ChildProcess dispatcher = new ChildProcess(command, ROOT, environment, log.toFile())) {
        day.play(dispatcher, this::recordLoadedClasses);
      }
      assertEquals(List.of(), day.problems(), () -> read(log));
    }
    assertEquals(List.of(), loadedElsewhere);
  }

  /** Guards against an archive that is written where no dispatcher looks: the JVM starts without one silently. */
  @Test
  void theBuildMakesTheArchiveThatIsRead() throws Exception {
    String deploy = Files.readString(ROOT.resolve("deploy/balancer.toml"));
    assertTrue(deploy.contains("rehearse app/target/node.jsa "), deploy);
    assertTrue(RunLine.ofJar(ROOT).contains("-XX:SharedArchiveFile=app/target/node.jsa "), deploy);
  }

  private Path folder(String name) throws IOException {
    return Files.createDirectory(dir.resolve(name));
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      return e.toString();
    }
  }

  /** Records the classes loaded from elsewhere since the previous scene; those before ready are skipped. */
  private void recordLoadedClasses(String scene) {
    try {
      List<String> lines = Files.readAllLines(classLog);
      if (linesRead > 0) {
        lines.subList(linesRead, lines.size()).stream()
            .filter(line -> !line.contains(ARCHIVE_SOURCE))
            .forEach(line -> loadedElsewhere.add(scene + ": " + line));
      }
      linesRead = lines.size();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
