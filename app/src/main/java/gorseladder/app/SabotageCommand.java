package gorseladder.app;

import gorseladder.config.Fault;
import gorseladder.config.TextFile;
import gorseladder.config.proto.Edit;
import gorseladder.config.proto.PlantedFault;
import gorseladder.config.proto.Sabotage;
import gorseladder.config.proto.SabotageDay;
import java.io.File;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code sabotage}: plants faults into copies of single classes, plays each on its day with those classes before the
 * program's own, and says which the checker of the rules found. The program itself and its jar stay as they are.
 */
@Command(
    name = "sabotage",
    mixinStandardHelpOptions = true,
    description =
        "Plant faults one at a time and see that the checker finds them. Needs the sources and a JDK. "
            + "Exits 1 where one was "
            + "not found.")
final class SabotageCommand implements Callable<Integer> {
  private static final long MOST_SECONDS = 120;
  private static final Pattern BREAK = Pattern.compile("^  rule ([1-5]): ");

  @Option(
      names = "--root",
      defaultValue = ".",
      description = "Where the sources are (default: here).")
  private Path root;

  @Option(
      names = "--faults",
      description = "The list of faults (default: testbed/sabotage/faults.txtpb of the sources).")
  private Path faults;

  @Option(
      names = "--only",
      description = "Plant only faults with this in their name.",
      defaultValue = "")
  private String only;

  @Option(
      names = "--seeds",
      defaultValue = "1",
      description = "Days for each fault, each of another seed (default ${DEFAULT-VALUE}).")
  private int seeds;

  @Option(names = "--none", description = "Also play each day without any fault; it must be good.")
  private boolean none;

  @Option(
      names = "--plant",
      description = "Only see that each fault can still be planted; play nothing.")
  private boolean plantOnly;

  private record Outcome(Set<Integer> rules, boolean good, double seconds) {}

  @Override
  public Integer call() throws IOException, InterruptedException {
    Sabotage.Builder list = Sabotage.newBuilder();
    Path file = faults != null ? faults : root.resolve("testbed/sabotage/faults.txtpb");
    List<Fault> unread = new ArrayList<>();
    TextFile.parse(file.toString(), Files.readString(file), list, unread);
    if (!unread.isEmpty()) {
      unread.forEach(System.err::println);
      return Main.BAD_USAGE;
    }
    Map<String, String> days = new LinkedHashMap<>();
    for (SabotageDay d : list.getDayList()) {
      days.put(d.getName(), d.getScript());
    }
    boolean all = true;
    if (none) {
      for (String day : days.keySet()) {
        Outcome o = play(days.get(day), 0, null);
        System.out.printf(
            Locale.ROOT,
            "%-42s %-10s %-22s %5.0f s%n",
            "(none)",
            day,
            o.good() ? "good" : "BAD: rules " + o.rules(),
            o.seconds());
        all &= o.good();
      }
    }
    for (PlantedFault fault : list.getFaultList()) {
      if (fault.getName().contains(only)) {
        all &= find(fault, days);
      }
    }
    return all ? Main.GOOD : Main.BROKEN;
  }

  private boolean find(PlantedFault fault, Map<String, String> days)
      throws IOException, InterruptedException {
    if (!days.containsKey(fault.getDay())) {
      throw new IOException(
          "fault '" + fault.getName() + "': there is no day '" + fault.getDay() + "'");
    }
    Path classes = plant(fault);
    if (plantOnly) {
      System.out.println(fault.getName() + ": can be planted");
      return true;
    }
    int found = 0;
    double seconds = 0;
    Set<Integer> rules = new TreeSet<>();
    for (int seed = 0; seed < seeds; seed++) {
      Outcome o = play(days.get(fault.getDay()), seed, classes);
      found += o.rules().contains(fault.getRule()) ? 1 : 0;
      rules.addAll(o.rules());
      seconds += o.seconds();
    }
    System.out.printf(
        Locale.ROOT,
        "%-42s %-10s rule %d found %d of %d%s %5.0f s%n",
        fault.getName(),
        fault.getDay(),
        fault.getRule(),
        found,
        seeds,
        rules.size() > 1 ? ", rules " + rules : "",
        seconds);
    return 2 * found > seeds;
  }

  /** Compiles the changed classes into a folder of their own. */
  private Path plant(PlantedFault fault) throws IOException {
    Map<Path, String> changed = new LinkedHashMap<>();
    for (Edit e : fault.getEditList()) {
      Path source = root.resolve(e.getFile());
      String text = changed.containsKey(source) ? changed.get(source) : Files.readString(source);
      int at = text.indexOf(e.getFind());
      if (at < 0 || text.indexOf(e.getFind(), at + 1) >= 0) {
        throw new IOException("fault '" + fault.getName()
            + "': its text does not stand exactly once in " + e.getFile());
      }
      changed.put(
          source,
          text.substring(0, at)
              + e.getReplace()
              + text.substring(at + e.getFind().length()));
    }
    JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
    if (compiler == null) {
      throw new IOException("planting a fault needs a JDK, and this is none");
    }
    Path work = Files.createTempDirectory("gorseladder-sabotage-");
    Path classes = Files.createDirectories(work.resolve("classes"));
    List<String> options = new ArrayList<>(List.of(
        "-proc:none",
        "-nowarn",
        "-cp",
        System.getProperty("java.class.path"),
        "-d",
        classes.toString()));
    List<Path> sources = new ArrayList<>();
    for (Map.Entry<Path, String> e : changed.entrySet()) {
      sources.add(
          Files.writeString(work.resolve(e.getKey().getFileName().toString()), e.getValue()));
    }
    StringWriter said = new StringWriter();
    try (var files = compiler.getStandardFileManager(null, Locale.ROOT, StandardCharsets.UTF_8)) {
      if (!compiler
          .getTask(said, files, null, options, null, files.getJavaFileObjectsFromPaths(sources))
          .call()) {
        throw new IOException("fault '" + fault.getName() + "' does not compile: "
            + said.toString().lines().findFirst().orElse(""));
      }
    }
    return classes;
  }

  /** Plays a day in a process of its own, with those classes before the program's; null for the program as it is. */
  private static Outcome play(String script, int seed, Path classes)
      throws IOException, InterruptedException {
    String own = System.getProperty("java.class.path");
    Path day = Files.createTempFile("gorseladder-sabotage-", ".day");
    // A later setting of the same name counts.
    Files.writeString(day, seed == 0 ? script : script + " seed = " + (1_000 + seed) + ";");
    Path out = Files.createTempFile("gorseladder-sabotage-", ".txt");
    long began = System.nanoTime();
    Process process = new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx1g",
            "-XX:+UseSerialGC",
            "-cp",
            classes == null ? own : classes + File.pathSeparator + own,
            Main.class.getName(),
            "play",
            day.toString())
        .redirectErrorStream(true)
        .redirectOutput(out.toFile())
        .start();
    boolean ended = process.waitFor(MOST_SECONDS, TimeUnit.SECONDS);
    process.descendants().forEach(ProcessHandle::destroyForcibly);
    process.destroyForcibly();
    Set<Integer> rules = new TreeSet<>();
    for (String line : Files.readAllLines(out)) {
      Matcher m = BREAK.matcher(line);
      if (m.find()) {
        rules.add(Integer.parseInt(m.group(1)));
      }
    }
    return new Outcome(rules, ended && process.exitValue() == 0, (System.nanoTime() - began) / 1e9);
  }
}
