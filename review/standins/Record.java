package review;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time in milliseconds since the start of the case. */
final class Record {
  private final PrintWriter out;
  private final long start = System.nanoTime();

  Record(Path file) throws Exception {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  /** Milliseconds since the start of the case, on the monotonic clock. */
  double now() {
    return (System.nanoTime() - start) / 1e6;
  }

  synchronized void line(String format, Object... values) {
    out.println(String.format("%10.1f  ", now()) + String.format(format, values));
  }
}
