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
 * Reads from outside how much processor time the threads of a process have used, by the names of the threads. One
 * thread.
 */
public final class ThreadTimes {
  private final Path tasks;
  /** The last reading of each thread, in nanoseconds, also of one that has ended since. */
  private final Map<String, Long> used = new HashMap<>();

  private final Map<String, String> names = new HashMap<>();

  /** Of the process with that number. */
  public ThreadTimes(long pid) {
    tasks = Path.of("/proc", Long.toString(pid), "task");
  }

  /**
   * Processor time so far in milliseconds, by name without the number at its end: {@code core} for {@code core-0}.
   *
   * @throws IOException where there is no such process
   */
  public Map<String, Double> read() throws IOException {
    try (DirectoryStream<Path> threads = Files.newDirectoryStream(tasks)) {
      for (Path thread : threads) {
        read(thread);
      }
    }
    Map<String, Double> sums = new TreeMap<>();
    used.forEach((thread, nanos) -> sums.merge(names.get(thread), nanos / 1e6, Double::sum));
    return sums;
  }

  private void read(Path thread) throws IOException {
    try {
      // Its first word is the time on a processor, in nanoseconds.
      String times = Files.readString(thread.resolve("schedstat"));
      String name = Files.readString(thread.resolve("comm")).strip();
      String number = thread.getFileName().toString();
      used.put(number, Long.parseLong(times.substring(0, times.indexOf(' '))));
      names.put(number, name.replaceAll("-[0-9]+$", ""));
    } catch (NoSuchFileException e) {
      // The thread has ended in between.
    }
  }
}
