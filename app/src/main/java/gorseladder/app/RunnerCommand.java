package gorseladder.app;

import gorseladder.RouterApi.Rules;
import gorseladder.testbed.Archive;
import gorseladder.testbed.StandInRunner;
import gorseladder.testbed.Tap;
import gorseladder.wire.json.Json;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code runner}: runs one stand-in runner. */
@Command(
    name = "runner",
    mixinStandardHelpOptions = true,
    description =
        "Run one stand-in runner on a free loopback port. Prints its address, then a line of JSON for each "
            + "infer request that began.")
final class RunnerCommand implements Callable<Integer> {
  @Option(
      names = "--work-ms",
      defaultValue = "30",
      description = "Work of a call (default ${DEFAULT-VALUE}).")
  private long workMillis;

  @Option(
      names = "--load-ms",
      defaultValue = "300",
      description = "Load of a copy (default ${DEFAULT-VALUE}).")
  private long loadMillis;

  @Option(names = "--miss", description = "Answer a miss instead of loading by itself.")
  private boolean answerMiss;

  @Override
  public Integer call() throws IOException, InterruptedException {
    StandInRunner.Settings settings = new StandInRunner.Settings(
        "",
        0,
        4,
        1,
        6_000,
        64,
        workMillis * 1000,
        loadMillis * 1000,
        8_000_000,
        !answerMiss,
        true,
        8_000_000,
        new Rules(500_000, 0.2, 6_000_000, 2.5, 1_500_000, 0, 0, 0));
    StandInRunner runner = new StandInRunner(
        settings,
        new Archive(4, 64),
        new StandInRunner.IdempotencyKeys(),
        new Tap(),
        1,
        line -> System.out.println(Json.write(line)));
    System.out.println(Json.write(Map.of("ready", true, "runner", runner.id())));
    new CountDownLatch(1).await();
    return Main.EXIT_OK;
  }
}
