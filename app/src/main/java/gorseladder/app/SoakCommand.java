package gorseladder.app;

import gorseladder.soak.Finding;
import gorseladder.soak.SoakPlan;
import gorseladder.soak.SoakRun;
import gorseladder.soak.Trouble;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code soak}: real dispatchers under troubles drawn from a seed. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description =
        "Run real dispatchers between clients, runners and a change log that misbehave by a plan drawn from a seed, and hold "
            + "them to the rules. Exits 1 where a rule was broken.")
final class SoakCommand implements Callable<Integer> {
  private static final int MOST_SHOWN = 20;

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

  @Override
  public Integer call() throws IOException, InterruptedException {
    String[] range = seeds.split("-", 2);
    if (!seeds.matches("[0-9]{1,9}(-[0-9]{1,9})?")
        || processes < 1
        || processes > 40
        || seconds < 6
        || seconds > 600) {
      System.err.println("gorseladder: --seeds, --processes or --seconds is out of range");
      return Main.BAD_USAGE;
    }
    Path folder = logs == null ? Files.createTempDirectory("gorseladder-soak-") : logs;
    int broken = 0;
    for (long seed = Long.parseLong(range[0]);
        seed <= Long.parseLong(range[range.length - 1]);
        seed++) {
      SoakPlan plan = SoakPlan.draw(seed, processes, seconds * 1_000_000L, troubles);
      try (SoakRun run = new SoakRun(
          plan, root.toAbsolutePath().normalize(), folder.resolve("seed" + seed), null)) {
        broken += print(run.play()) ? 0 : 1;
      }
    }
    System.out.println("logs are in " + folder);
    return broken == 0 ? Main.GOOD : Main.BROKEN;
  }

  private static boolean print(SoakRun.Result result) {
    System.out.printf(
        Locale.ROOT,
        "seed %d: %d dispatchers, %d runners, %d troubles; %d requests, %d served, %d attempts, "
            + "%d system calls failed; %d findings%n",
        result.plan().seed(),
        result.plan().dispatchers(),
        result.plan().runners(),
        result.plan().events().size(),
        result.requests(),
        result.served(),
        result.attempts(),
        result.injected(),
        result.findings().size());
    for (Finding finding : result.findings().stream().limit(MOST_SHOWN).toList()) {
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
