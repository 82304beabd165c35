package gorseladder;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Limits the size of the router's source, so that it can be reviewed as a whole. */
class ModuleSizeTest {
  @Test
  void moduleIsShortAndNarrow() throws IOException {
    List<String> lines = Files.readAllLines(Path.of("src/main/java/gorseladder/Router.java"));
    long filled = lines.stream().filter(line -> !line.isBlank()).count();
    assertTrue(filled <= 1_000, filled + " lines");
    assertTrue(lines.stream().allMatch(line -> line.length() <= 110), "a line is too wide");
    assertTrue(lines.stream().limit(25).anyMatch(line -> line.contains("RouterApi.java")));
  }
}
