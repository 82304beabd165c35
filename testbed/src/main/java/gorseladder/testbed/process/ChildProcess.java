package gorseladder.testbed.process;

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
public final class ChildProcess implements AutoCloseable {
  /**
   * The shell keeps the pipe as descriptor 3; the command runs without it. Its standard output joins its standard error
   * in the log: a Java machine that cannot start says so there, and a pipe that nobody reads would stop it once it is
   * full.
   */
  private static final String GUARD = "exec 3<&0; %s 3<&- </dev/null >&2 & child=$!; echo $child; "
      + "{ read line <&3; kill -9 $child 2>/dev/null; } & reader=$!; "
      + "wait $child 2>/dev/null; code=$?; kill $reader 2>/dev/null; echo $code";

  private static final long END_TIMEOUT_SECONDS = 10;

  private final Process shell;
  private final ProcessHandle child;
  private int exitCode;

  /**
   * Starts a command of the shell.
   *
   * @throws IOException where the shell cannot be started or does not name its child
   */
  public ChildProcess(String command, Path directory, Map<String, String> environment, File log)
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

  /** Its number. */
  public long pid() {
    return child.pid();
  }

  /** True until it has ended. */
  public boolean isAlive() {
    return child.isAlive();
  }

  /** Processor time so far; empty where the process has ended. */
  public Optional<Duration> processorTime() {
    return child.info().totalCpuDuration();
  }

  /**
   * Sends it a signal by its short name, as {@code TERM}.
   *
   * @throws IOException where that cannot be done
   */
  public void signal(String name) throws IOException, InterruptedException {
    // The shell's own command: not every machine has it as a program.
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + pid()).start().waitFor();
  }

  /**
   * Waits for its end: its exit code (128 and more where a signal ended it), or -1 where it runs on after that time.
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

  /** Ends the process at once. */
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
