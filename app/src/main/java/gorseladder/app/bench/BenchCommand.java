package gorseladder.app.bench;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** {@code bench}: groups the measurements, none of which is part of the checks. */
@Command(
    name = "bench",
    mixinStandardHelpOptions = true,
    description = "Measure; results stand in docs/measurements.md.",
    subcommands = {
      LatencyBench.class,
      OverloadBench.class,
      RouterBench.class,
      OrderBench.class,
      LedgerBench.class,
      IdleBench.class,
      TimersCommand.class,
      ForecastBench.class,
      PlacementBench.class,
      HistoryBench.class
    })
public final class BenchCommand implements Runnable {
  @Spec
  private CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "name a measurement");
  }
}
