package gorseladder.testbed.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Gives a child process the processor for a part of each period alone: it is stopped (SIGSTOP) and let go (SIGCONT) by
 * a pattern drawn from a seed, until this is closed. Any thread.
 */
public final class ProcessorPattern implements AutoCloseable {
  private static final long PERIOD_MILLIS = 100;
  private static final long NANOS_A_MILLI = 1_000_000;

  /** A shell's own command: it takes less than a millisecond, where a process for each signal takes several. */
  private static final String SIGNALS =
      "while read signal; do kill -$signal %d 2>/dev/null; done; kill -CONT %d 2>/dev/null";

  private final Process shell;
  private final Writer signals;
  private final Random random;
  private final long runMillis;
  private final Thread thread;
  private volatile boolean closed;

  /**
   * Begins.
   *
   * @param runMillis of each 100 ms the process runs so many in the mean; each turn is half to one and a half of that
   */
  public ProcessorPattern(ChildProcess child, long runMillis, long seed) throws IOException {
    this.shell =
        new ProcessBuilder("sh", "-c", SIGNALS.formatted(child.pid(), child.pid())).start();
    this.signals = shell.outputWriter();
    this.random = new Random(seed);
    this.runMillis = runMillis;
    this.thread = new Thread(this::play, "processor-pattern");
    thread.setDaemon(true);
    thread.start();
  }

  private void play() {
    try {
      while (!closed) {
        signal("STOP");
        pause(PERIOD_MILLIS - runMillis);
        signal("CONT");
        pause(runMillis);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void signal(String name) throws IOException {
    signals.write(name + "\n");
    signals.flush();
  }

  /** Half to one and a half of the mean. */
  private void pause(long meanMillis) {
    long until =
        System.nanoTime() + (long) ((0.5 + random.nextDouble()) * meanMillis * NANOS_A_MILLI);
    for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
      LockSupport.parkNanos(left);
    }
  }

  /** Ends the pattern; the process runs on. */
  @Override
  public void close() {
    closed = true;
    try {
      thread.join();
      signals.close();
      shell.waitFor(1, TimeUnit.SECONDS);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
