package gorseladder.app;

import gorseladder.emulator.EmulatedFleet;
import gorseladder.emulator.Experiment;
import gorseladder.emulator.Outcomes;
import gorseladder.emulator.Recording;
import gorseladder.emulator.proto.Ahead.Mode;
import gorseladder.emulator.proto.Emulation;
import gorseladder.store.history.History;
import gorseladder.store.history.HistoryRow;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code replay}: compares a recorded history on an emulated fleet without and with loads ahead. */
@Command(
    name = "replay",
    mixinStandardHelpOptions = true,
    description =
        "Replay the history of stopped edges on an emulated fleet, without and with loads ahead, walk-forward, "
            + "and list every "
            + "function's balance. Simulated.")
final class ReplayCommand implements Callable<Integer> {
  @Parameters(
      paramLabel = "FILE",
      description =
          "The fleet, as for emulate; its populations but for the first one's sizes do not count.")
  private Path file;

  @Option(
      names = "--history",
      paramLabel = "DIR",
      required = true,
      description = "data_directory/history of an edge; several for several.")
  private List<Path> histories;

  @Override
  public Integer call() throws IOException {
    Recording recording = new Recording();
    for (Path directory : histories) {
      if (!Files.exists(directory.resolve("identity"))) {
        System.err.println("gorseladder: " + directory + " holds no history");
        return Main.EXIT_BAD_USAGE;
      }
      try (History history = History.open(directory, History.Bounds.DEFAULT)) {
        for (HistoryRow row : history.read(0, Integer.MAX_VALUE).rows()) {
          if (row.calls() > 0 && !row.function().isEmpty()) {
            recording.add(row.startMinute(), row.minutes(), row.function(), row.calls());
          }
        }
      }
    }
    try {
      Emulation emulation = Experiment.loadEmulation(file);
      Outcomes unplanned =
          EmulatedFleet.run(emulation.toBuilder().clearAhead().build(), recording, part -> {});
      Emulation.Builder builder = emulation.toBuilder();
      builder.getAheadBuilder().setMode(Mode.FORECAST);
      Outcomes planned = EmulatedFleet.run(builder.build(), recording, part -> {});
      System.out.printf(
          Locale.ROOT,
          "%,d calls recorded on %d days, the first %d teach only (simulated)%n",
          recording.calls(),
          recording.days(),
          emulation.getTeachDays());
      print("without", unplanned);
      print("with loads ahead", planned);
      BalancePrinter.print("all", planned.totalBalance());
      planned.callsByFunction().forEach((function, calls) -> {
        long[] unplannedCalls = unplanned.callsByFunction().getOrDefault(function, new long[2]);
        System.out.printf(
            Locale.ROOT,
            "%-32s %8d calls, cold %d without, %d with%n",
            function,
            calls[0],
            unplannedCalls[1],
            calls[1]);
        if (planned.balancesByFunction().containsKey(function)) {
          BalancePrinter.print("  its loads ahead", planned.balancesByFunction().get(function));
        }
      });
      return planned.violations().isEmpty() && unplanned.violations().isEmpty()
          ? Main.EXIT_OK
          : Main.EXIT_CHECK_FAILED;
    } catch (IllegalArgumentException e) {
      System.err.println("gorseladder: " + e.getMessage());
      return Main.EXIT_BAD_USAGE;
    }
  }

  private static void print(String name, Outcomes outcomes) {
    System.out.printf(
        Locale.ROOT,
        "%-18s service %.4f, met no copy %.4f, mean %.1f ms, p99 %.1f ms, %.3f fetches a call%n",
        name,
        outcomes.service(),
        outcomes.coldShare(),
        outcomes.meanLatencyMillis(),
        outcomes.latencyMillis(99),
        outcomes.fetches() / (double) Math.max(1, outcomes.calls()));
  }
}
