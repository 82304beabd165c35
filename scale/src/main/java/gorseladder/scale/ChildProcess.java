package gorseladder.scale;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A process that ends when this one does, in whatever way: a shell holds a pipe to this process and ends its child when
 * the pipe closes. Any thread.
 */
final class ChildProcess implements AutoCloseable {
  /** The shell keeps the pipe as descriptor 3; the command runs without it. */
  private static final String GUARD =
      "exec 3<&0; %s 3<&- </dev/null & child=$!; echo $child; read line <&3; "
          + "kill -9 $child 2>/dev/null; wait $child 2>/dev/null";

  private static final long END_SECONDS = 10;

  private final Process shell;
  private final ProcessHandle child;

  /**
   * Starts a command of the shell.
   *
   * @throws IOException where the shell cannot be started or does not name its child
   */
  ChildProcess(String command, Path directory, Map<String, String> environment, File log)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder("sh", "-c", GUARD.formatted("{ " + command + "; }"))
        .directory(directory.toFile())
        .redirectError(log);
    // An option of this process's own is none of the child's.
    builder.environment().remove("JAVA_TOOL_OPTIONS");
    builder.environment().putAll(environment);
    shell = builder.start();
    String line = shell.inputReader().readLine();
    if (line == null) {
      throw new IOException("cannot start: " + command);
    }
    child = ProcessHandle.of(Long.parseLong(line.strip()))
        .orElseThrow(() -> new IOException("ended at once"));
  }

  long pid() {
    return child.pid();
  }

  boolean isAlive() {
    return child.isAlive();
  }

  /** Processor time so far; empty where the process has ended. */
  Optional<Duration> processorTime() {
    return child.info().totalCpuDuration();
  }

  /** Ends the process at once. */
  @Override
  public void close() {
    try {
      shell.getOutputStream().close();
      if (!shell.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
        child.destroyForcibly();
        shell.destroyForcibly();
      }
    } catch (IOException e) {
      child.destroyForcibly();
    } catch (InterruptedException e) {
      child.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
