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

/** {@code demo}: plays a day with faults, about 20 seconds long, on loopback and prints the verdict. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description =
        "Play a bad day of about 20 s on loopback: three edges, twelve stand-in runners, list and archive. "
            + "Prints a table and exits 0 only when no rule was broken.")
final class DemoCommand implements Callable<Integer> {
  @Override
  public Integer call() throws IOException, InterruptedException, DayScript.BadScript {
    try (InputStream in = TestFleet.class.getResourceAsStream("/days/demo.day")) {
      return play(DayScript.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8)), true);
    }
  }

  /**
   * Plays a script, each edge in its own process, and prints the verdict.
   *
   * @param requireAllRules whether a rule that the day did not test counts as broken
   */
  static int play(DayScript script, boolean requireAllRules)
      throws IOException, InterruptedException {
    Path directory = Files.createTempDirectory("gorseladder-");
    System.out.println("starting " + script.count("edges") + " edges and " + script.count("runners")
        + " runners; files in " + directory);
    Play.Verdict verdict;
    try (TestFleet fleet = new TestFleet(script, directory, true, line -> {})) {
      verdict = new Play(script, fleet).run(System.out);
    }
    verdict.print(System.out);
    if (requireAllRules && !verdict.untested().isEmpty()) {
      System.out.println("BAD: the day showed nothing about rules " + verdict.untested());
      return Main.EXIT_CHECK_FAILED;
    }
    return verdict.good() ? Main.EXIT_OK : Main.EXIT_CHECK_FAILED;
  }
}
