package gorseladder.testbed.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Limits a child process to a part of each period: it is stopped (SIGSTOP) and continued (SIGCONT) in a random pattern
 * drawn from a seed, until this is closed. Thread-safe.
 */
public final class ProcessorPattern implements AutoCloseable {
  private static final long PERIOD_MILLIS = 100;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A built-in command of the shell takes less than a millisecond; a process for each signal takes several. */
  private static final String SIGNAL_LOOP =
      "while read signal; do kill -$signal %d 2>/dev/null; done; kill -CONT %d 2>/dev/null";

  private final Process shell;
  private final Writer signals;
  private final Random random;
  private final long runMillis;
  private final Thread thread;
  private volatile boolean closed;

  /**
   * Starts the pattern.
   *
   * @param runMillis mean running time in each 100 ms; each turn lasts 0.5 to 1.5 times its mean
   */
  public ProcessorPattern(ChildProcess child, long runMillis, long seed) throws IOException {
    this.shell =
        new ProcessBuilder("sh", "-c", SIGNAL_LOOP.formatted(child.pid(), child.pid())).start();
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

  /** Waits for 0.5 to 1.5 times the mean. */
  private void pause(long meanMillis) {
    long until =
        System.nanoTime() + (long) ((0.5 + random.nextDouble()) * meanMillis * NANOS_PER_MILLI);
    for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
      LockSupport.parkNanos(left);
    }
  }

  /** Ends the pattern; the process keeps running. */
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
