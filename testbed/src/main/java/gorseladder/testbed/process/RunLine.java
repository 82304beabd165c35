package gorseladder.testbed.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The command by which the deploy file starts a dispatcher. */
public final class RunLine {
  private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
  private static final Path JAR = Path.of("app/target/gorseladder.jar");
  private static final Path LAUNCHER = Path.of("app/target/gorseladder-java");
  private static final Path LAUNCHER_BUILD = Path.of("app/src/main/c/build.sh");
  private static final String JAR_COMMAND = "-jar " + JAR + " node";
  /** The archive fits the jar alone; with one that does not fit the machine's own is not used either. */
  private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=app/target/node.jsa ";

  /** What the jar's manifest opens ({@code Add-Opens}); a class path has no manifest. */
  private static final String ADD_OPENS_OPTION =
      "--add-opens java.base/jdk.internal.misc=ALL-UNNAMED ";

  private static final String MAIN = "gorseladder.node.NodeMain";
  private static final Pattern RUN_PATTERN = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);

  private RunLine() {}

  /**
   * Reads it; a program that does not run from the jar starts dispatchers from its own class path.
   *
   * @throws IOException where there is no deploy file or no such line in it
   */
  public static String read(Path root) throws IOException {
    String own = System.getProperty("java.class.path");
    boolean fromJar = Path.of(own.split(File.pathSeparator)[0])
        .toAbsolutePath()
        .normalize()
        .equals(root.resolve(JAR).toAbsolutePath().normalize());
    return fromJar ? readRunLine(root) : onClassPath(root, own);
  }

  /**
   * Reads it as it stands, for a dispatcher from the jar.
   *
   * @throws IOException where there is no deploy file or no such line in it
   */
  public static String ofJar(Path root) throws IOException {
    return readRunLine(root);
  }

  /** The same with classes put before the program's own. */
  public static String read(Path root, Path classes) throws IOException {
    String own = System.getProperty("java.class.path");
    return onClassPath(root, classes + File.pathSeparator + own);
  }

  /**
   * Compiles the program that starts the Java machine, as the deploy file's {@code build} does.
   *
   * @throws IOException where the machine has no compiler that can
   */
  public static Path buildLauncher(Path root, Path folder)
      throws IOException, InterruptedException {
    Path file = folder.resolve(LAUNCHER.getFileName());
    Process build = new ProcessBuilder(
            "sh", root.resolve(LAUNCHER_BUILD).toString(), file.toString())
        .inheritIO()
        .start();
    if (build.waitFor() != 0) {
      throw new IOException("cannot compile " + LAUNCHER.getFileName());
    }
    return file;
  }

  /**
   * A run line with another build of the program that starts the Java machine.
   *
   * @throws IOException where the line names none
   */
  public static String withLauncher(String runLine, Path launcher) throws IOException {
    if (!runLine.contains(LAUNCHER.toString())) {
      throw new IOException("the run line does not name " + LAUNCHER);
    }
    return runLine.replace(LAUNCHER.toString(), launcher.toString());
  }

  private static String onClassPath(Path root, String path) throws IOException {
    return readRunLine(root)
        .replace(ARCHIVE_OPTION, "")
        .replace(JAR_COMMAND, ADD_OPENS_OPTION + "-cp " + path + " " + MAIN);
  }

  private static String readRunLine(Path root) throws IOException {
    Path file = root.resolve(DEPLOY_FILE);
    Matcher run = RUN_PATTERN.matcher(Files.readString(file));
    if (!run.find() || !run.group(1).contains(JAR_COMMAND)) {
      throw new IOException(file + ": no run line with '" + JAR_COMMAND + "'");
    }
    return run.group(1);
  }
}
