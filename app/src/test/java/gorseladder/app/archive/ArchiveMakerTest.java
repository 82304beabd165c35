package gorseladder.app.archive;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ArchiveMakerTest {
  @TempDir
  Path root;

  /** Guards against dispatchers that start with the archive of an earlier build or with an incomplete one. */
  @Test
  void whereNoneCanBeMadeNoneIsLeft() throws Exception {
    Files.createDirectory(root.resolve("deploy"));
    Files.writeString(
        root.resolve("deploy/balancer.toml"),
        "run = \"sleep 1; exit 3; -jar app/target/gorseladder.jar node\"\n");
    Path archive = Files.writeString(root.resolve("node.jsa"), "a part of one");
    Path workDirectory = Files.createDirectory(root.resolve("making"));
    List<String> problems = new ArchiveMaker(root, workDirectory).make(archive);
    assertFalse(problems.isEmpty());
    try (Stream<Path> files = Files.list(root)) {
      assertEquals(0, files.filter(file -> file.toString().contains("node.jsa")).count());
    }
  }
}
