package gorseladder.app;

import gorseladder.testbed.script.DayScript;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code play FILE}: plays the script of a day and judges it. */
@Command(
    name = "play",
    mixinStandardHelpOptions = true,
    description =
        "Play a day's script on loopback and judge it, as demo does; docs/play.md describes the language.")
final class PlayCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The script.")
  private Path file;

  @Override
  public Integer call() throws IOException, InterruptedException {
    try {
      return DemoCommand.play(
          DayScript.parse(Files.readString(file, StandardCharsets.UTF_8)), false);
    } catch (DayScript.BadScript e) {
      System.err.println(file + ":" + e.getMessage());
      return Main.EXIT_BAD_USAGE;
    }
  }
}
