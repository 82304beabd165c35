package gorseladder.app;

import gorseladder.emulator.Experiment;
import gorseladder.emulator.Experiment.Interval;
import gorseladder.emulator.Experiment.Measure;
import gorseladder.emulator.Outcomes;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code experiment}: runs a grid of emulations over several seeds. */
@Command(
    name = "experiment",
    mixinStandardHelpOptions = true,
    description =
        "Run a grid of emulations over seeds (protobuf text format); tables with 95 % intervals, plots. Simulated.")
final class ExperimentCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The experiment.")
  private Path file;

  @Option(
      names = "--plots",
      paramLabel = "DIR",
      description = "Write a plot of each measure there, as PNG.")
  private Path plots;

  @Option(
      names = "--at-once",
      defaultValue = "4",
      description = "Emulations at once (default ${DEFAULT-VALUE}).")
  private int atOnce;

  @Option(
      names = "--functions",
      description = "List the balance of every function, summed over the seeds, for each cell.")
  private boolean listFunctions;

  @Override
  public Integer call() throws IOException, InterruptedException {
    Experiment experiment;
    try {
      experiment = Experiment.load(file);
      experiment.run(atOnce);
    } catch (IllegalArgumentException e) {
      System.err.println("gorseladder: " + e.getMessage());
      return Main.EXIT_BAD_USAGE;
    }
    for (Measure measure : Measure.values()) {
      System.out.println(measure.title());
      experiment.results().forEach((name, outcomes) -> {
        Interval interval = experiment.interval(name, measure);
        System.out.printf(
            Locale.ROOT, "  %-40s %12.4f +- %.4f%n", name, interval.mean(), interval.half());
      });
      if (plots != null) {
        Files.createDirectories(plots);
        experiment.plot(measure, plots.resolve(measure.name().toLowerCase(Locale.ROOT) + ".png"));
      }
    }
    if (listFunctions) {
      experiment.results().forEach(ExperimentCommand::printBalances);
    }
    return experiment.results().values().stream()
            .flatMap(List::stream)
            .allMatch(outcomes -> outcomes.broken().isEmpty())
        ? Main.EXIT_OK
        : Main.EXIT_CHECK_FAILED;
  }

  private static void printBalances(String cell, List<Outcomes> outcomesBySeed) {
    Map<String, Outcomes.Balance> sums = new TreeMap<>();
    outcomesBySeed.forEach(outcomes -> outcomes
        .balances()
        .forEach((function, balance) ->
            sums.computeIfAbsent(function, key -> new Outcomes.Balance()).add(balance)));
    System.out.println(cell);
    sums.forEach((f, b) -> BalancePrinter.print("  " + f, b));
  }
}
