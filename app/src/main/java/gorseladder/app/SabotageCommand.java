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
 * {@code sabotage}: mutation tests of the rule checker. Each fault is compiled into copies of a few classes, which come
 * first on the class path of a process that plays the fault's day; the output says which faults the checker found.
 * The program itself and its jar are not changed.
 */
@Command(
    name = "sabotage",
    mixinStandardHelpOptions = true,
    description =
        "Plant faults one at a time and see that the checker finds them. Needs the sources and a JDK. "
            + "Exits 1 where one was "
            + "not found.")
final class SabotageCommand implements Callable<Integer> {
  private static final long MAX_DAY_SECONDS = 120;
  private static final Pattern VIOLATION_LINE = Pattern.compile("^  rule ([1-5]): ");

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
  private boolean playUnchanged;

  @Option(
      names = "--plant",
      description = "Only see that each fault can still be planted; play nothing.")
  private boolean plantOnly;

  private record Outcome(Set<Integer> brokenRules, boolean good, double seconds) {}

  @Override
  public Integer call() throws IOException, InterruptedException {
    Sabotage.Builder list = Sabotage.newBuilder();
    Path file = faults != null ? faults : root.resolve("testbed/sabotage/faults.txtpb");
    List<Fault> errors = new ArrayList<>();
    TextFile.parse(file.toString(), Files.readString(file), list, errors);
    if (!errors.isEmpty()) {
      errors.forEach(System.err::println);
      return Main.EXIT_BAD_USAGE;
    }
    Map<String, String> days = new LinkedHashMap<>();
    for (SabotageDay day : list.getDayList()) {
      days.put(day.getName(), day.getScript());
    }
    boolean passed = true;
    if (playUnchanged) {
      for (String day : days.keySet()) {
        Outcome outcome = play(days.get(day), 0, null);
        System.out.printf(
            Locale.ROOT,
            "%-42s %-10s %-22s %5.0f s%n",
            "(none)",
            day,
            outcome.good() ? "good" : "BAD: rules " + outcome.brokenRules(),
            outcome.seconds());
        passed &= outcome.good();
      }
    }
    for (PlantedFault fault : list.getFaultList()) {
      if (fault.getName().contains(only)) {
        passed &= isDetected(fault, days);
      }
    }
    return passed ? Main.EXIT_OK : Main.EXIT_CHECK_FAILED;
  }

  private boolean isDetected(PlantedFault fault, Map<String, String> days)
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
    Set<Integer> brokenRules = new TreeSet<>();
    for (int seed = 0; seed < seeds; seed++) {
      Outcome outcome = play(days.get(fault.getDay()), seed, classes);
      found += outcome.brokenRules().contains(fault.getRule()) ? 1 : 0;
      brokenRules.addAll(outcome.brokenRules());
      seconds += outcome.seconds();
    }
    System.out.printf(
        Locale.ROOT,
        "%-42s %-10s rule %d found %d of %d%s %5.0f s%n",
        fault.getName(),
        fault.getDay(),
        fault.getRule(),
        found,
        seeds,
        brokenRules.size() > 1 ? ", rules " + brokenRules : "",
        seconds);
    return 2 * found > seeds;
  }

  /** Compiles the changed classes into a new folder and returns it. */
  private Path plant(PlantedFault fault) throws IOException {
    Map<Path, String> changed = new LinkedHashMap<>();
    for (Edit edit : fault.getEditList()) {
      Path source = root.resolve(edit.getFile());
      String text = changed.containsKey(source) ? changed.get(source) : Files.readString(source);
      int position = text.indexOf(edit.getFind());
      if (position < 0 || text.indexOf(edit.getFind(), position + 1) >= 0) {
        throw new IOException("fault '" + fault.getName()
            + "': its text does not stand exactly once in " + edit.getFile());
      }
      changed.put(
          source,
          text.substring(0, position)
              + edit.getReplace()
              + text.substring(position + edit.getFind().length()));
    }
    JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
    if (compiler == null) {
      throw new IOException("planting a fault needs a JDK, and this is none");
    }
    Path workDirectory = Files.createTempDirectory("gorseladder-sabotage-");
    Path classes = Files.createDirectories(workDirectory.resolve("classes"));
    List<String> options = new ArrayList<>(List.of(
        "-proc:none",
        "-nowarn",
        "-cp",
        System.getProperty("java.class.path"),
        "-d",
        classes.toString()));
    List<Path> sources = new ArrayList<>();
    for (Map.Entry<Path, String> entry : changed.entrySet()) {
      sources.add(Files.writeString(
          workDirectory.resolve(entry.getKey().getFileName().toString()), entry.getValue()));
    }
    StringWriter compilerOutput = new StringWriter();
    try (var files = compiler.getStandardFileManager(null, Locale.ROOT, StandardCharsets.UTF_8)) {
      if (!compiler
          .getTask(
              compilerOutput,
              files,
              null,
              options,
              null,
              files.getJavaFileObjectsFromPaths(sources))
          .call()) {
        throw new IOException("fault '" + fault.getName() + "' does not compile: "
            + compilerOutput.toString().lines().findFirst().orElse(""));
      }
    }
    return classes;
  }

  /**
   * Plays a day in its own process.
   *
   * @param classes a folder that comes first on the class path; null to play the unchanged program
   */
  private static Outcome play(String script, int seed, Path classes)
      throws IOException, InterruptedException {
    String classPath = System.getProperty("java.class.path");
    Path scriptFile = Files.createTempFile("gorseladder-sabotage-", ".day");
    // Of two settings with the same name the later one counts.
    Files.writeString(scriptFile, seed == 0 ? script : script + " seed = " + (1_000 + seed) + ";");
    Path output = Files.createTempFile("gorseladder-sabotage-", ".txt");
    long startNanos = System.nanoTime();
    Process process = new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx1g",
            "-XX:+UseSerialGC",
            "-cp",
            classes == null ? classPath : classes + File.pathSeparator + classPath,
            Main.class.getName(),
            "play",
            scriptFile.toString())
        .redirectErrorStream(true)
        .redirectOutput(output.toFile())
        .start();
    boolean exited = process.waitFor(MAX_DAY_SECONDS, TimeUnit.SECONDS);
    process.descendants().forEach(ProcessHandle::destroyForcibly);
    process.destroyForcibly();
    Set<Integer> brokenRules = new TreeSet<>();
    for (String line : Files.readAllLines(output)) {
      Matcher matcher = VIOLATION_LINE.matcher(line);
      if (matcher.find()) {
        brokenRules.add(Integer.parseInt(matcher.group(1)));
      }
    }
    return new Outcome(
        brokenRules, exited && process.exitValue() == 0, (System.nanoTime() - startNanos) / 1e9);
  }
}
