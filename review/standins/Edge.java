package review;

import java.io.BufferedReader;
import java.io.File;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An edge of the program, as a process of its own. */
final class Edge {
  private static final Pattern ADDRESS = Pattern.compile("\"edge\":\"127.0.0.1:([0-9]+)\"");

  private final Process process;
  private final int port;
  private final Record record;

  private Edge(Process process, int port, Record record) {
    this.process = process;
    this.port = port;
    this.record = record;
  }

  /** Starts an edge by its settings and waits until it is ready. */
  static Edge start(Path folder, String settings, Record record) throws Exception {
    Path file = folder.resolve("edge.txtpb");
    Files.writeString(file, settings);
    Process process = new ProcessBuilder(
            "java", "-Xmx1g", "-XX:+UseSerialGC", "-jar", "app/target/gorseladder.jar", "edge", file.toString())
        .redirectError(new File(folder.toFile(), "program.log"))
        .start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    String line = new BufferedReader(new InputStreamReader(process.getInputStream())).readLine();
    Matcher address = ADDRESS.matcher(String.valueOf(line));
    if (!address.find()) {
      throw new IllegalStateException("the edge did not start: " + line);
    }
    record.line("edge %d is ready at 127.0.0.1:%s", process.pid(), address.group(1));
    return new Edge(process, Integer.parseInt(address.group(1)), record);
  }

  int port() {
    return port;
  }

  void signal(String name) throws Exception {
    record.line("SIG%s to the edge", name);
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Waits for the end of the process; returns its exit code, or null if it still runs. */
  Integer awaitEnd(long millis) throws Exception {
    return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : null;
  }

  void kill() throws Exception {
    process.destroyForcibly().waitFor();
  }
}
