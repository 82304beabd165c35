package gorseladder.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The list of faults stays true to the sources, and a quick pick of them is played and found. */
class SabotageTest {
  @Test
  void everyFaultCanStillBePlanted() {
    assertEquals(Main.GOOD, Main.run("sabotage", "--root", "..", "--plant"));
  }

  @Test
  void anEdgeThatAnswersTwiceIsFound() {
    assertEquals(Main.GOOD, Main.run("sabotage", "--root", "..", "--only", "answered twice"));
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
        Main.CANNOT_START, Main.run("sabotage", "--root", "..", "--faults", list.toString()));
  }
}
