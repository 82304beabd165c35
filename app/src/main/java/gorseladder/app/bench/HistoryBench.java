package gorseladder.app.bench;

import gorseladder.store.history.History;
import gorseladder.store.history.HistoryRow;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import picocli.CommandLine.Command;

/** {@code bench history}: compares history segments with the embedded store (MVStore). */
@Command(
    name = "history",
    mixinStandardHelpOptions = true,
    description =
        "A day of minutes with 200 rows each, forced to disk each minute: own segments against MVStore.")
final class HistoryBench implements Runnable {
  private static final int MINUTES = 1_440;
  private static final int ROWS_PER_MINUTE = 200;

  @Override
  public void run() {
    try {
      for (int round = 0; round < 2; round++) {
        measureSegments(round == 1);
        measureMvStore(round == 1);
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static List<HistoryRow> rowsOf(long minute) {
    List<HistoryRow> rows = new ArrayList<>();
    for (int i = 0; i < ROWS_PER_MINUTE; i++) {
      rows.add(new HistoryRow(
          minute, 1, "svc/function-" + i, "safe", "bygg-sektion", i, i, 0, 0, 0, 0, 0, 0));
    }
    return rows;
  }

  private static void measureSegments(boolean print) throws IOException {
    Path directory = Files.createTempDirectory("gorseladder-bench-");
    History.Bounds bounds = new History.Bounds(4 << 20, 20_160, 1L << 30);
    long startNanos = System.nanoTime();
    try (History history = History.open(directory, bounds)) {
      for (long minute = 0; minute < MINUTES; minute++) {
        history.append(rowsOf(minute));
        history.force();
      }
    }
    long writeNanos = System.nanoTime() - startNanos;
    startNanos = System.nanoTime();
    int rows;
    try (History history = History.open(directory, bounds)) {
      rows = history.read(0, Integer.MAX_VALUE).rows().size();
    }
    report(print, "segments", directory, rows, writeNanos, System.nanoTime() - startNanos);
  }

  private static void measureMvStore(boolean print) throws IOException {
    Path directory = Files.createTempDirectory("gorseladder-bench-");
    String file = directory.resolve("history.mv").toString();
    long startNanos = System.nanoTime();
    long next = 0;
    try (MVStore store =
        new MVStore.Builder().fileName(file).autoCommitDisabled().open()) {
      MVMap<Long, byte[]> map = store.openMap("rows");
      for (long minute = 0; minute < MINUTES; minute++) {
        for (HistoryRow row : rowsOf(minute)) {
          map.append(next++, row.toBytes());
        }
        store.commit();
        store.sync();
      }
    }
    long writeNanos = System.nanoTime() - startNanos;
    startNanos = System.nanoTime();
    int rows = 0;
    try (MVStore store = new MVStore.Builder().fileName(file).readOnly().open()) {
      for (byte[] bytes : store.<Long, byte[]>openMap("rows").values()) {
        rows += bytes.length > 0 ? 1 : 0;
      }
    }
    report(print, "MVStore", directory, rows, writeNanos, System.nanoTime() - startNanos);
  }

  private static void report(
      boolean print, String name, Path directory, int rows, long writeNanos, long readNanos)
      throws IOException {
    long bytes = 0;
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.toList()) {
        bytes += Files.size(file);
      }
    }
    if (print) {
      System.out.printf(
          Locale.ROOT,
          "%-9s %7d rows: %.2f ms to write and force a minute, %.0f ms to open and read all,"
              + " %.0f bytes a row%n",
          name,
          rows,
          writeNanos / 1e6 / MINUTES,
          readNanos / 1e6,
          (double) bytes / rows);
    }
  }
}
