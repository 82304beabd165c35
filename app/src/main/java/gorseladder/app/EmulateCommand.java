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

/** {@code emulate}: one fleet in simulated time. */
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
  private boolean functions;

  @Override
  public Integer call() throws IOException {
    long began = System.nanoTime();
    Outcomes o;
    try {
      o = EmulatedFleet.run(Experiment.loadEmulation(file), part -> {});
    } catch (IllegalArgumentException e) {
      System.err.println("gorseladder: " + e.getMessage());
      return Main.BAD_USAGE;
    }
    double seconds = (System.nanoTime() - began) / 1e9;
    System.out.printf(
        Locale.ROOT,
        "%,d calls: %,d served, %,d refused, %,d failed; service %.4f (simulated)%n",
        o.calls(),
        o.served(),
        o.refused(),
        o.failed(),
        o.service());
    System.out.printf(
        Locale.ROOT,
        "latency ms: mean %.1f, p50 %.1f, p99 %.1f; met no copy %.4f, in first minutes of surges %.4f of %,d%n",
        o.meanLatencyMillis(),
        o.latencyMillis(50),
        o.latencyMillis(99),
        o.coldShare(),
        o.surgeColdShare(),
        o.surgeCalls());
    System.out.printf(
        Locale.ROOT,
        "%,d fetches, %,d orders of plans; %,d events in %.1f s of this machine%n",
        o.fetches(),
        o.planOrders(),
        o.events(),
        seconds);
    Balances.print("all", o.totalBalance());
    if (functions) {
      o.callsByFunction().forEach((f, n) -> {
        System.out.printf(Locale.ROOT, "%-24s %8d calls %8d cold%n", f, n[0], n[1]);
        if (o.balancesByFunction().containsKey(f)) {
          Balances.print("  its loads ahead", o.balancesByFunction().get(f));
        }
      });
    }
    o.occasions()
        .forEach((what, times) -> System.out.printf(Locale.ROOT, "judged %s: %,d%n", what, times));
    o.violations()
        .forEach((what, times) -> System.out.printf("BROKEN %s: %d times%n", what, times));
    return o.violations().isEmpty() ? Main.GOOD : Main.BROKEN;
  }
}
