package gorseladder.testbed.process;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a child process ends with its parent, also where the parent is killed. */
class ChildProcessTest {
  private static final long END_TIMEOUT_SECONDS = 10;

  @TempDir
  Path directory;

  /** Starts a child that would run for long, prints its process id and waits. */
  public static final class Parent {
    private Parent() {}

    /** Takes the directory of the child. */
    public static void main(String[] args) throws Exception {
      ChildProcess child = startSleeping(Path.of(args[0]));
      System.out.println(child.pid());
      Thread.sleep(Long.MAX_VALUE);
    }
  }

  private static ChildProcess startSleeping(Path directory) throws Exception {
    File log = directory.resolve("log").toFile();
    return new ChildProcess("exec sleep 600", directory, Map.of(), log);
  }

  @Test
  void aClosedChildEnds() throws Exception {
    ChildProcess child = startSleeping(directory);
    assertTrue(child.isAlive());
    child.close();
    assertFalse(child.isAlive());
  }

  @Test
  void aKilledParentLeavesNoChild() throws Exception {
    Process parent = new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            Parent.class.getName(),
            directory.toString())
        .redirectError(ProcessBuilder.Redirect.INHERIT)
        .start();
    ProcessHandle child =
        ProcessHandle.of(Long.parseLong(parent.inputReader().readLine())).orElseThrow();
    assertTrue(child.isAlive());
    parent.destroyForcibly();
    child.onExit().get(END_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertFalse(child.isAlive());
  }
}
