package gorseladder.testbed.process;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads from outside how much processor time the threads of a process have used, by the names of the threads. Not
 * thread-safe.
 */
public final class ThreadTimes {
  private final Path tasks;
  /** The last reading of each thread, in nanoseconds, including threads that have ended. */
  private final Map<String, Long> usedNanos = new HashMap<>();

  private final Map<String, String> names = new HashMap<>();

  /** Reads the threads of the process with this id. */
  public ThreadTimes(long pid) {
    tasks = Path.of("/proc", Long.toString(pid), "task");
  }

  /**
   * Returns the processor time so far in milliseconds, by thread name without the number at its end: {@code core} for
   * {@code core-0}.
   *
   * @throws IOException if there is no such process
   */
  public Map<String, Double> read() throws IOException {
    try (DirectoryStream<Path> threads = Files.newDirectoryStream(tasks)) {
      for (Path thread : threads) {
        read(thread);
      }
    }
    Map<String, Double> sums = new TreeMap<>();
    usedNanos.forEach((thread, nanos) -> sums.merge(names.get(thread), nanos / 1e6, Double::sum));
    return sums;
  }

  private void read(Path thread) throws IOException {
    try {
      // The first field is the time spent on a processor, in nanoseconds.
      String times = Files.readString(thread.resolve("schedstat"));
      String name = Files.readString(thread.resolve("comm")).strip();
      String number = thread.getFileName().toString();
      usedNanos.put(number, Long.parseLong(times.substring(0, times.indexOf(' '))));
      names.put(number, name.replaceAll("-[0-9]+$", ""));
    } catch (NoSuchFileException e) {
      // The thread has ended meanwhile.
    }
  }
}
