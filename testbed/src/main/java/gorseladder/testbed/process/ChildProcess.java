package gorseladder.testbed.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A child process that ends whenever this process ends: a shell holds a pipe to this process and kills its child when
 * the pipe closes. Thread-safe.
 */
public final class ChildProcess implements AutoCloseable {
  /**
   * The shell keeps the pipe as descriptor 3 and runs the command without it. Standard output of the command goes to
   * its standard error in the log: a Java machine that fails to start writes its message to standard output, and an
   * unread pipe would block it once full.
   */
  private static final String GUARD = "exec 3<&0; %s 3<&- </dev/null >&2 & child=$!; echo $child; "
      + "{ read line <&3; kill -9 $child 2>/dev/null; } & reader=$!; "
      + "wait $child 2>/dev/null; code=$?; kill $reader 2>/dev/null; echo $code";

  private static final long END_TIMEOUT_SECONDS = 10;

  private final Process shell;
  private final ProcessHandle child;
  private int exitCode;

  /**
   * Runs a shell command.
   *
   * @throws IOException if the shell cannot be started or does not print the process id of its child
   */
  public ChildProcess(String command, Path directory, Map<String, String> environment, File log)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder("sh", "-c", GUARD.formatted("{ " + command + "; }"))
        .directory(directory.toFile())
        .redirectError(log);
    // Java options of this process are not meant for the child.
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

  public long pid() {
    return child.pid();
  }

  public boolean isAlive() {
    return child.isAlive();
  }

  /** Returns the processor time used so far; empty if the process has ended. */
  public Optional<Duration> processorTime() {
    return child.info().totalCpuDuration();
  }

  /**
   * Sends a signal, named as in {@code TERM}.
   *
   * @throws IOException if the command cannot be run
   */
  public void signal(String name) throws IOException, InterruptedException {
    // Uses the kill command built into the shell: not every machine has it as a program.
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + pid()).start().waitFor();
  }

  /**
   * Waits for the process to end. Returns its exit code, which is 128 or more if a signal ended it, or -1 if it still
   * runs after the given time.
   */
  public int await(long millis) throws IOException, InterruptedException {
    if (!shell.waitFor(millis, TimeUnit.MILLISECONDS)) {
      return -1;
    }
    for (String line = shell.inputReader().readLine();
        line != null;
        line = shell.inputReader().readLine()) {
      exitCode = line.matches("[0-9]{1,3}") ? Integer.parseInt(line) : exitCode;
    }
    return exitCode;
  }

  /** Kills the process. */
  @Override
  public void close() {
    try {
      shell.getOutputStream().close();
      if (!shell.waitFor(END_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
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
