package gorseladder.app;

import gorseladder.soak.EdgeSoak;
import gorseladder.soak.Finding;
import gorseladder.soak.PlantedFault;
import gorseladder.soak.Preload;
import gorseladder.soak.SoakPlan;
import gorseladder.soak.SoakRun;
import gorseladder.soak.Trouble;
import gorseladder.testbed.process.RunLine;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code soak}: checks real dispatchers under random faults drawn from a seed. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description =
        "Run real dispatchers between clients, runners and a change log that misbehave by a plan "
            + "drawn from a seed, and hold "
            + "them to the rules. Exits 1 where a rule was broken.")
final class SoakCommand implements Callable<Integer> {
  private static final int MAX_PRINTED_FINDINGS = 20;

  @Option(
      names = "--seeds",
      paramLabel = "N[-M]",
      defaultValue = "11",
      description = "A seed, or the first and last of several (default: ${DEFAULT-VALUE}).")
  private String seeds;

  @Option(
      names = "--processes",
      defaultValue = "12",
      description = "Dispatchers, 1 to 40 (default: ${DEFAULT-VALUE}).")
  private int processes;

  @Option(
      names = "--seconds",
      defaultValue = "14",
      description = "Length of the traffic, 6 to 600 (default: ${DEFAULT-VALUE}).")
  private int seconds;

  @Option(
      names = "--troubles",
      split = ",",
      paramLabel = "WORD",
      description = "Only these: ${COMPLETION-CANDIDATES} (default: all).")
  private Set<Trouble> troubles = EnumSet.allOf(Trouble.class);

  @Option(
      names = "--logs",
      paramLabel = "DIR",
      description = "Keep configurations and logs there (default: a temporary folder).")
  private Path logs;

  @Option(
      names = "--root",
      defaultValue = ".",
      description = "Where deploy/balancer.toml is (default: here).")
  private Path root;

  @Option(
      names = "--planted",
      description = "Try the oracle instead: plant one fault after the other; each must be found.")
  private boolean plantFaults;

  @Option(
      names = "--faults",
      split = ",",
      paramLabel = "WORD",
      description = "With --planted, only these: ${COMPLETION-CANDIDATES} (default: all).")
  private Set<PlantedFault> faults = EnumSet.allOf(PlantedFault.class);

  @Option(
      names = "--edge",
      description =
          "Play days of an edge with a ledger instead: clock steps, a failing disk, kills.")
  private boolean edgeSoak;

  @Option(
      names = "--cores",
      paramLabel = "N",
      defaultValue = "0",
      description = "Let all dispatchers share the first N cores (default: all cores).")
  private int cores;

  @Override
  public Integer call() throws IOException, InterruptedException {
    String[] firstAndLast = seeds.split("-", 2);
    if (!seeds.matches("[0-9]{1,9}(-[0-9]{1,9})?")
        || processes < 1
        || processes > 40
        || seconds < 6
        || seconds > 600) {
      System.err.println("gorseladder: --seeds, --processes or --seconds is out of range");
      return Main.EXIT_BAD_USAGE;
    }
    Path folder = logs == null ? Files.createTempDirectory("gorseladder-soak-") : logs;
    if (edgeSoak) {
      return runEdges(
          Long.parseLong(firstAndLast[0]),
          Long.parseLong(firstAndLast[firstAndLast.length - 1]),
          folder);
    }
    if (plantFaults) {
      return runPlantedFaults(Long.parseLong(firstAndLast[0]), folder);
    }
    int failedSeeds = 0;
    for (long seed = Long.parseLong(firstAndLast[0]);
        seed <= Long.parseLong(firstAndLast[firstAndLast.length - 1]);
        seed++) {
      SoakPlan plan = SoakPlan.draw(seed, processes, seconds * 1_000_000L, troubles);
      try (SoakRun run = new SoakRun(
          plan, root.toAbsolutePath().normalize(), folder.resolve("seed" + seed), command())) {
        failedSeeds += print(run.execute()) ? 0 : 1;
      }
    }
    System.out.println("logs are in " + folder);
    return failedSeeds == 0 ? Main.EXIT_OK : Main.EXIT_CHECK_FAILED;
  }

  /** The run line of the deploy file, restricted to {@code --cores}; null where all cores may be used. */
  private String command() throws IOException {
    return cores == 0
        ? null
        : RunLine.read(root).replace("exec ", "exec taskset -c 0-" + (cores - 1) + " ");
  }

  private int runEdges(long first, long last, Path folder)
      throws IOException, InterruptedException {
    Files.createDirectories(folder);
    Optional<Preload> preload = Preload.build(folder);
    if (preload.isEmpty()) {
      System.err.println(
          "gorseladder: no C compiler here, so no disk can fail: nothing was played");
      return Main.EXIT_CANNOT_START;
    }
    boolean passed = true;
    for (long seed = first; seed <= last; seed++) {
      EdgeSoak soak =
          new EdgeSoak(seed, seconds * 1_000_000L, folder.resolve("edge" + seed), preload.get());
      EdgeSoak.Result result = soak.execute();
      passed &= result.violations().isEmpty();
      System.out.printf(
          Locale.ROOT,
          "edge seed %d: %d troubles; %d messages, %d ended served, %d not; %d calls failed; %d breaks%n",
          seed,
          result.troubles().size(),
          result.messages(),
          result.served(),
          result.unserved(),
          result.failedCalls(),
          result.violations().size());
      result.violations().stream()
          .limit(MAX_PRINTED_FINDINGS)
          .forEach(text -> System.out.println("  " + text));
      if (!result.violations().isEmpty()) {
        result.troubles().forEach(text -> System.out.println("    " + text));
      }
    }
    return passed ? Main.EXIT_OK : Main.EXIT_CHECK_FAILED;
  }

  private int runPlantedFaults(long seed, Path folder) throws IOException, InterruptedException {
    boolean allFound = true;
    for (PlantedFault fault : faults) {
      SoakRun.Result result = fault.runSoak(seed, root.toAbsolutePath().normalize(), folder);
      boolean found = fault.isFound(result);
      allFound &= found;
      System.out.printf(
          Locale.ROOT,
          "%-28s %-14s %s, %d findings%n",
          fault.name().toLowerCase(Locale.ROOT),
          fault.rule.name().toLowerCase(Locale.ROOT),
          found ? "found" : "NOT FOUND",
          result.findings().size());
    }
    return allFound ? Main.EXIT_OK : Main.EXIT_CHECK_FAILED;
  }

  private static boolean print(SoakRun.Result result) {
    System.out.printf(
        Locale.ROOT,
        "seed %d: %d dispatchers, %d runners, %d troubles; %d requests, %d served, %d attempts, "
            + "%d system calls failed; own stalls %d ms, longest %d; %d held in the write; "
            + "%d ends not judged; %d troubles not brought; %d findings%n",
        result.plan().seed(),
        result.plan().dispatchers(),
        result.plan().runners(),
        result.plan().events().size(),
        result.requests(),
        result.served(),
        result.attempts(),
        result.injected(),
        result.totalStall() / 1_000,
        result.longestStall() / 1_000,
        result.heldInTheWrite(),
        result.endsNotJudged(),
        result.troublesFailed(),
        result.findings().size());
    for (Finding finding :
        result.findings().stream().limit(MAX_PRINTED_FINDINGS).toList()) {
      System.out.printf(
          Locale.ROOT,
          "  %.3f s n%d %s: %s%n",
          finding.at() / 1e6,
          finding.dispatcher(),
          finding.rule().name().toLowerCase(Locale.ROOT),
          finding.text());
    }
    if (!result.findings().isEmpty()) {
      result.plan().events().forEach(event -> System.out.println("    " + event));
    }
    return result.findings().isEmpty();
  }
}
