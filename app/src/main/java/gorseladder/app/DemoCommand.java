package gorseladder.app;

import gorseladder.testbed.Play;
import gorseladder.testbed.TestFleet;
import gorseladder.testbed.script.DayScript;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** {@code demo}: a bad day of about 20 seconds on loopback, and its verdict. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description =
        "Play a bad day of about 20 s on loopback: three edges, twelve stand-in runners, list and archive. "
            + "Prints a table and exits 0 only when no rule was broken.")
final class Demo implements Callable<Integer> {
  @Override
  public Integer call() throws IOException, InterruptedException, DayScript.BadScript {
    try (InputStream in = TestFleet.class.getResourceAsStream("/days/demo.day")) {
      return play(DayScript.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8)), true);
    }
  }

  /**
   * Plays a script with edges in processes of their own and prints the verdict.
   *
   * @param all true where a rule that the day did not test counts as broken
   */
  static int play(DayScript script, boolean all) throws IOException, InterruptedException {
    Path directory = Files.createTempDirectory("gorseladder-");
    System.out.println("starting " + script.count("edges") + " edges and " + script.count("runners")
        + " runners; files in " + directory);
    Play.Verdict verdict;
    try (TestFleet fleet = new TestFleet(script, directory, true, line -> {})) {
      verdict = new Play(script, fleet).run(System.out);
    }
    verdict.print(System.out);
    if (all && !verdict.untested().isEmpty()) {
      System.out.println("BAD: the day showed nothing about rules " + verdict.untested());
      return Main.BROKEN;
    }
    return verdict.good() ? Main.GOOD : Main.BROKEN;
  }
}
