package gorseladder.store.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class HistoryTest {
  private static final History.Bounds BOUNDS = new History.Bounds(2_000, 120, 1 << 20);

  @TempDir
  Path dir;

  private static HistoryRow row(long minute, int function, long calls) {
    return new HistoryRow(
        minute, 1, "svc/f" + function, "safe", "t", calls, calls / 2, 1, 0, 0, 1, 1, 300_000);
  }

  private static List<HistoryRow> rows(long minute) {
    return List.of(row(minute, 0, minute + 1), row(minute, 1, 7));
  }

  private static long calls(List<HistoryRow> rows) {
    return rows.stream().mapToLong(HistoryRow::calls).sum();
  }

  /** Truncating the log at any byte keeps all complete rows in order, and the log accepts new rows. */
  @Test
  void aCrashAtAnyByteLosesOnlyItsTail() throws IOException {
    Path original = dir.resolve("one");
    List<HistoryRow> all = new ArrayList<>();
    try (History history = History.open(original, new History.Bounds(100_000, 120, 1 << 20))) {
      for (int minute = 0; minute < 5; minute++) {
        all.addAll(rows(minute));
        history.append(rows(minute));
      }
    }
    Path file = files(original).get(0);
    byte[] whole = Files.readAllBytes(file);
    int recordBytes = (whole.length - Segment.HEADER_BYTES) / all.size();
    for (int cut = 0; cut <= whole.length; cut++) {
      Path copy = dir.resolve("cut" + cut);
      Files.createDirectories(copy);
      Files.write(copy.resolve(file.getFileName()), java.util.Arrays.copyOf(whole, cut));
      int expected = Math.max(0, (cut - Segment.HEADER_BYTES) / recordBytes);
      for (int opening = 0; opening < 2; opening++) {
        try (History history = History.open(copy, BOUNDS)) {
          assertEquals(
              all.subList(0, expected),
              history.read(0, 1000).rows().subList(0, expected),
              "cut at " + cut);
          assertEquals(expected + opening, history.nextNumber());
          history.append(List.of(row(99, 9, 9)));
        }
      }
    }
  }

  private static List<Path> files(Path directory) throws IOException {
    try (Stream<Path> all = Files.list(directory)) {
      return all.filter(f -> f.toString().endsWith(".history")).sorted().toList();
    }
  }

  @Test
  void damageInTheMiddleIsNamedAndNothingIsTouched() throws IOException {
    try (History history = History.open(dir, BOUNDS)) {
      for (int minute = 0; minute < 100; minute++) {
        history.append(rows(minute));
      }
    }
    Path damaged = files(dir).get(1);
    byte[] bytes = Files.readAllBytes(damaged);
    bytes[bytes.length / 2] ^= 1;
    Files.write(damaged, bytes);
    String error =
        assertThrows(IOException.class, () -> History.open(dir, BOUNDS)).getMessage();
    assertTrue(error.contains(damaged.toString()) && error.contains("move it away"), error);
    Files.move(damaged, dir.resolve("away"));
    try (History history = History.open(dir, BOUNDS)) {
      assertEquals(200, history.nextNumber(), "numbers are not given twice");
    }
  }

  /** A reader counts every call once while segments roll, are compacted and the history is reopened. */
  @Test
  void aReaderCountsEachCallOnceThroughRollsCompactionsAndRestarts() throws IOException {
    Random random = new Random(5);
    long expectedCalls = 0;
    TreeMap<Long, List<HistoryRow>> read = new TreeMap<>();
    long cursor = 0;
    History history = History.open(dir, BOUNDS);
    String identity = history.identity();
    for (int minute = 0; minute < 1_500; minute++) {
      expectedCalls += calls(rows(minute));
      history.append(rows(minute));
      if (random.nextInt(40) == 0) {
        history.compact(minute);
      }
      if (random.nextInt(100) == 0) {
        history.close();
        history = History.open(dir, BOUNDS);
      }
      if (random.nextInt(60) == 0) {
        cursor = follow(history, cursor, read);
      }
    }
    follow(history, cursor, read);
    assertEquals(
        expectedCalls, read.values().stream().mapToLong(HistoryTest::calls).sum());
    assertEquals(identity, history.identity());
    List<HistoryRow> all = history.read(0, Integer.MAX_VALUE).rows();
    assertEquals(expectedCalls, calls(all));
    assertTrue(all.size() < 1_500, all.size() + " rows of 3000 after compaction");
    assertTrue(all.stream().anyMatch(r -> r.minutes() == 60));
    history.close();
  }

  /** Keeps batches by their first row number; a batch that starts lower replaces everything read from there on. */
  private static long follow(History history, long cursor, TreeMap<Long, List<HistoryRow>> read)
      throws IOException {
    long at = cursor;
    while (at < history.nextNumber()) {
      History.Batch batch = history.read(at, 10);
      // A compacted segment may overlap batches read before: they are dropped and read again.
      Long covering = read.floorKey(batch.from());
      if (covering != null && batch.from() < at) {
        read.tailMap(covering, true).clear();
        if (covering < batch.from()) {
          at = covering;
          continue;
        }
      }
      read.put(batch.from(), batch.rows());
      at = batch.next();
    }
    return at;
  }

  @Test
  void theOldestAreDroppedPastTheBound() throws IOException {
    try (History history = History.open(dir, new History.Bounds(2_000, 60, 8_000))) {
      for (int minute = 0; minute < 3_000; minute++) {
        history.append(List.of(row(minute, minute, 1)));
        history.compact(minute);
        assertTrue(history.sizeBytes() <= 10_100, history.sizeBytes() + " bytes");
      }
      History.Batch oldest = history.read(0, 1);
      assertTrue(oldest.from() > 2_000);
      assertFalse(oldest.rows().isEmpty());
    }
  }

  @Test
  void impossibleBoundsAndRowsAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new History.Bounds(10, 60, 1 << 20));
    assertThrows(
        IllegalArgumentException.class,
        () -> new HistoryRow(-1, 1, "", "", "", 0, 0, 0, 0, 0, 0, 0, 0));
  }

  /**
   * A disk that is temporarily full, within a segment and at the start of one, loses only the rows whose append failed.
   */
  @Test
  void aDiskThatIsFullForAWhileSpoilsNoRow() throws IOException {
    boolean[] full = new boolean[1];
    History.Sink disk = (to, bytes) -> {
      if (full[0]) {
        to.write(bytes.slice(0, bytes.remaining() / 2));
        throw new IOException("No space left on device");
      }
      while (bytes.hasRemaining()) {
        to.write(bytes);
      }
    };
    List<HistoryRow> kept = new ArrayList<>();
    try (History history = History.open(dir, new History.Bounds(1_024, 60, 1 << 20), disk)) {
      for (int minute = 0; minute < 300; minute++) {
        HistoryRow row = new HistoryRow(minute, 1, "f" + minute, "c", "t", 1, 1, 0, 0, 0, 0, 0, 0);
        full[0] = minute % 7 == 3;
        try {
          history.append(List.of(row));
          kept.add(row);
        } catch (IOException e) {
          assertTrue(full[0], () -> "a disk with room: " + e);
        }
      }
      assertEquals(kept, history.read(0, 1_000).rows());
    }
    try (History history = History.open(dir, new History.Bounds(1_024, 60, 1 << 20))) {
      assertEquals(kept, history.read(0, 1_000).rows());
      assertEquals(kept.size(), history.nextNumber());
    }
  }
}
