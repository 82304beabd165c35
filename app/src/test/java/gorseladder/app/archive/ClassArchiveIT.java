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

/** The class archive as the build makes it, in a dispatcher that is started as the deploy file does. */
class ClassArchiveIT {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final String FROM_ARCHIVE = "shared objects file";

  @TempDir
  Path dir;

  private Path classes;
  private int seen;
  private final List<String> outside = new ArrayList<>();

  /**
   * Seen in a dispatcher with a tenth of a core: paths that ran for the first time loaded classes from the jar and had
   * the machine make code, 10 ms of processor and more for each, and the core stood still for seconds meanwhile.
   */
  @Test
  void afterReadyNoClassComesFromOutsideTheArchive() throws Exception {
    Path archive = dir.resolve("node.jsa");
    assertEquals(List.of(), new ArchiveMaker(ROOT, folder("making")).make(archive));
    classes = dir.resolve("classes.log");
    try (DispatcherDay day = new DispatcherDay(folder("day"))) {
      Map<String, String> environment = new HashMap<>(day.environment());
      environment.put("JAVA_TOOL_OPTIONS", "-Xlog:class+load:file=" + classes);
      String command = RunLine.ofJar(ROOT)
          .replaceFirst("-XX:SharedArchiveFile=[^ ]*", "-XX:SharedArchiveFile=" + archive);
      Path log = dir.resolve("dispatcher.log");
      try (ChildProcess dispatcher = new ChildProcess(command, ROOT, environment, log.toFile())) {
        day.play(dispatcher, this::note);
      }
      assertEquals(List.of(), day.problems(), () -> read(log));
    }
    assertEquals(List.of(), outside);
  }

  /** The build writes the archive where a dispatcher looks for it; it would start without one and say nothing. */
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

  /** Notes the classes from outside since the scene before; what came before ready is passed over. */
  private void note(String scene) {
    try {
      List<String> all = Files.readAllLines(classes);
      if (seen > 0) {
        all.subList(seen, all.size()).stream()
            .filter(line -> !line.contains(FROM_ARCHIVE))
            .forEach(line -> outside.add(scene + ": " + line));
      }
      seen = all.size();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
