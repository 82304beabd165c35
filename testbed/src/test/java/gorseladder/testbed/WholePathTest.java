package gorseladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.script.DayScript;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A webhook through the router to a stand-in runner and back. */
class WholePathTest {
  @TempDir
  Path dir;

  @Test
  void aCalmDayServesEveryCall() throws Exception {
    DayScript script = DayScript.parse("day = 2s; edges = 2; runners = 4; functions = 4; rate = 60;");
    try (World world = new World(script, dir, false, line -> { })) {
      Play.Verdict verdict = new Play(script, world).run(null);
      assertTrue(verdict.good(), verdict.breaks().toString());
      assertEquals(verdict.totals().calls.get(), verdict.totals().served.get(), verdict.totals().reasons.toString());
    }
  }
}
