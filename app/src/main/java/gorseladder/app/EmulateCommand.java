package gorseladder.app;

import gorseladder.emulator.EmulatedFleet;
import gorseladder.emulator.Experiment;
import gorseladder.emulator.Outcomes;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code emulate}: runs one fleet in simulated time. */
@Command(
    name = "emulate",
    mixinStandardHelpOptions = true,
    description =
        "Run a fleet in simulated time by a file (protobuf text format) and print what came of it. Simulated.")
final class EmulateCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The emulation.")
  private Path file;

  @Option(
      names = "--functions",
      description = "List every function: calls, cold ones and the balance of its loads ahead.")
  private boolean listFunctions;

  @Override
  public Integer call() throws IOException {
    long startNanos = System.nanoTime();
    Outcomes outcomes;
    try {
      outcomes = EmulatedFleet.run(Experiment.emulation(file), part -> {});
    } catch (IllegalArgumentException e) {
      System.err.println("gorseladder: " + e.getMessage());
      return Main.EXIT_BAD_USAGE;
    }
    double wallSeconds = (System.nanoTime() - startNanos) / 1e9;
    System.out.printf(
        Locale.ROOT,
        "%,d calls: %,d served, %,d refused, %,d failed; service %.4f (simulated)%n",
        outcomes.calls(),
        outcomes.served(),
        outcomes.refused(),
        outcomes.failed(),
        outcomes.service());
    System.out.printf(
        Locale.ROOT,
        "latency ms: mean %.1f, p50 %.1f, p99 %.1f; met no copy %.4f, in first minutes of surges %.4f of %,d%n",
        outcomes.meanMillis(),
        outcomes.latencyMillis(50),
        outcomes.latencyMillis(99),
        outcomes.coldShare(),
        outcomes.surgeColdShare(),
        outcomes.surgeCalls());
    System.out.printf(
        Locale.ROOT,
        "%,d fetches, %,d orders of plans; %,d events in %.1f s of this machine%n",
        outcomes.fetches(),
        outcomes.aheadOrders(),
        outcomes.events(),
        wallSeconds);
    BalancePrinter.print("all", outcomes.balance());
    if (listFunctions) {
      outcomes.byFunction().forEach((function, calls) -> {
        System.out.printf(Locale.ROOT, "%-24s %8d calls %8d cold%n", function, calls[0], calls[1]);
        if (outcomes.balances().containsKey(function)) {
          BalancePrinter.print("  its loads ahead", outcomes.balances().get(function));
        }
      });
    }
    outcomes
        .judged()
        .forEach((text, count) -> System.out.printf(Locale.ROOT, "judged %s: %,d%n", text, count));
    outcomes
        .broken()
        .forEach((text, count) -> System.out.printf("BROKEN %s: %d times%n", text, count));
    return outcomes.broken().isEmpty() ? Main.EXIT_OK : Main.EXIT_CHECK_FAILED;
  }
}
