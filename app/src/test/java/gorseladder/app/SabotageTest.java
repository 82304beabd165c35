package gorseladder.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Guards against a list of faults that no longer fits the sources; plays one quick fault, which must be found. */
class SabotageTest {
  @Test
  void everyFaultCanStillBePlanted() {
    assertEquals(Main.EXIT_OK, Main.run("sabotage", "--root", "..", "--plant"));
  }

  @Test
  void anEdgeThatAnswersTwiceIsFound() {
    assertEquals(Main.EXIT_OK, Main.run("sabotage", "--root", "..", "--only", "answered twice"));
  }

  @Test
  void aFaultThatDoesNotApplyIsNamed() throws Exception {
    Path list = Files.createTempFile("faults", ".txtpb");
    Files.writeString(
        list,
        "day { name: \"d\" script: \"day = 1s;\" }\n"
            + "fault { name: \"f\" rule: 1 day: \"d\" "
            + "edit { file: \"README.md\" find: \"no such text\" replace: \"\" } }");
    assertEquals(
        Main.EXIT_CANNOT_START, Main.run("sabotage", "--root", "..", "--faults", list.toString()));
  }
}
