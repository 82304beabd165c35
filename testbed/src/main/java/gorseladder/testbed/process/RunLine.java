package gorseladder.testbed.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The command line with which the deploy file starts a dispatcher. */
public final class RunLine {
  private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
  private static final Path JAR = Path.of("app/target/gorseladder.jar");
  private static final Path LAUNCHER = Path.of("app/target/gorseladder-java");
  private static final Path LAUNCHER_BUILD = Path.of("app/src/main/c/build.sh");
  private static final String JAR_COMMAND = "-jar " + JAR + " node";
  /**
   * The class archive fits only the jar; a machine that is given one that does not fit does not use its default one
   * either.
   */
  private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=app/target/node.jsa ";

  /** The packages that the manifest of the jar opens ({@code Add-Opens}); a class path needs the options. */
  private static final String ADD_OPENS_OPTION =
      "--add-opens java.base/jdk.internal.misc=ALL-UNNAMED "
          + "--add-opens java.base/sun.nio.ch=ALL-UNNAMED ";

  private static final String MAIN = "gorseladder.node.NodeMain";
  private static final Pattern RUN_PATTERN = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);

  private RunLine() {}

  /**
   * Returns the command line for a dispatcher of this program: from the jar, or from the class path of this process
   * if it does not run from the jar.
   *
   * @throws IOException if there is no deploy file or no such line in it
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
   * Returns the command line as the deploy file has it, for a dispatcher from the jar.
   *
   * @throws IOException if there is no deploy file or no such line in it
   */
  public static String ofJar(Path root) throws IOException {
    return readRunLine(root);
  }

  /** Returns the command line with classes put before the class path of this process. */
  public static String read(Path root, Path classes) throws IOException {
    String own = System.getProperty("java.class.path");
    return onClassPath(root, classes + File.pathSeparator + own);
  }

  /**
   * Compiles the launcher of the Java machine, as the {@code build} command of the deploy file does.
   *
   * @throws IOException if the compiler fails or is missing
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
   * Returns the run line with another build of the launcher.
   *
   * @throws IOException if the run line does not name the launcher
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
