package gorseladder.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gorseladder.emulator.Experiment;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {
  @TempDir
  Path dir;

  /** Guards against an unknown command with {@code --help} that exits as if the command existed. */
  @Test
  void anUnknownCommandIsBadUsageAlsoWithHelp() {
    assertEquals(Main.EXIT_BAD_USAGE, Main.run("plannner", "--help"));
    assertEquals(Main.EXIT_BAD_USAGE, Main.run("plannner"));
    assertEquals(Main.EXIT_OK, Main.run("planner", "--help"));
    assertEquals(Main.EXIT_OK, Main.run("--help"));
  }

  @Test
  void badFilesAreBadUsage() throws Exception {
    Path file = dir.resolve("x.txtpb");
    Files.writeString(file, "no_such_field: 1\n");
    for (String command : new String[] {"emulate", "experiment"}) {
      assertEquals(Main.EXIT_BAD_USAGE, Main.run(command, file.toString()), command);
    }
    assertEquals(Main.EXIT_BAD_USAGE, Main.run("check", "--planner", file.toString()));
    assertEquals(Main.EXIT_BAD_USAGE, Main.run("planner", file.toString()));
    assertEquals(Main.EXIT_BAD_USAGE, Main.run("account", dir.toString()));
    assertEquals(
        Main.EXIT_BAD_USAGE, Main.run("replay", file.toString(), "--history", dir.toString()));
  }

  /** Guards against example files that no longer match the schema. */
  @Test
  void examplesAreSound() throws Exception {
    for (String name : new String[] {"terms-end.txtpb", "hard-cases.txtpb"}) {
      Experiment.load(Path.of("../examples").resolve(name));
    }
  }
}
