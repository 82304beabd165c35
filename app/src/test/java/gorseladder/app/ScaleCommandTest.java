package gorseladder.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the scale command with hollow dispatchers and with processes that the run line of the deploy file starts. */
class ScaleCommandTest {
  @TempDir
  Path directory;

  @Test
  void aSmallRunWritesItsTablesAndPlots() throws Exception {
    String out = directory.toString();
    int code = Main.run(
        "scale", "../examples/scale-small.txtpb", "--root", "..", "--out", out, "--plots", out);
    List<String> cells = Files.readAllLines(directory.resolve("cells.csv"));
    assertEquals(Main.EXIT_OK, code, () -> String.join("\n", cells));
    assertTrue(cells.stream()
        .anyMatch(row -> row.startsWith("REAL,") && row.contains("CHANGE_IN_FORCE_MILLIS")));
    assertTrue(Files.readAllLines(directory.resolve("slopes.csv")).size() > 1);
    assertTrue(Files.exists(directory.resolve("workers-call_micros.png")));
  }

  @Test
  void aFileThatCannotRunIsBadUsage() throws Exception {
    Path file = Files.writeString(directory.resolve("bad.txtpb"), "seed: 1");
    assertEquals(Main.EXIT_BAD_USAGE, Main.run("scale", file.toString()));
  }
}
