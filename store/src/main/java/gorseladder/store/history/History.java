package gorseladder.store.history;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.stream.Stream;

/**
 * Call statistics on disk: an append-only log of rows in segment files with checksums. A crash at any point loses at
 * most rows that were not forced, and no row before them. Rows are numbered without gaps, so that a reader who keeps
 * its position reads each row once. Segments that only hold old rows are compacted to one row per hour and key, and the
 * oldest segments are deleted when the total size exceeds a limit.
 *
 * <p>Thread-safe; only one process may open a directory.
 */
public final class History implements Closeable {
  private static final String SEGMENT_SUFFIX = ".history";
  private static final int MINUTES_PER_HOUR = 60;

  /**
   * Size and age limits.
   *
   * @param segmentBytes size at which a new segment starts, at least 1024
   * @param compactAfterMinutes age at which segments are compacted to hours, at least 60
   * @param maxBytes maximum size of all segments, at least four segments
   */
  public record Bounds(long segmentBytes, long compactAfterMinutes, long maxBytes) {
    /** For commands that read the history of a stopped edge. */
    public static final Bounds DEFAULT = new Bounds(4 << 20, 20_160, 256 << 20);

    public Bounds {
      if (segmentBytes < 1_024
          || compactAfterMinutes < MINUTES_PER_HOUR
          || maxBytes < 4 * segmentBytes) {
        throw new IllegalArgumentException(
            "history bounds too small: segmentBytes, compactAfterMinutes or maxBytes");
      }
    }
  }

  /** A segment file and the row numbers it covers. */
  private record SegmentInfo(
      Path file,
      long firstNumber,
      long numberCount,
      long bytes,
      long lastMinute,
      boolean compacted) {
    long endNumber() {
      return firstNumber + numberCount;
    }
  }

  /**
   * Result of a read.
   *
   * @param from number of the first row; lower than requested if a compacted segment had to be read as a whole (the
   *     reader discards earlier rows from that number on), higher if older rows were deleted
   * @param next number to request next
   */
  public record Batch(long from, long next, List<HistoryRow> rows) {}

  /** Writes all bytes to a file; tests replace it to inject failures. */
  interface Sink {
    void write(FileChannel to, ByteBuffer bytes) throws IOException;
  }

  private final Path directory;
  private final Bounds bounds;
  private final Sink sink;
  private final TreeMap<Long, SegmentInfo> closedSegments = new TreeMap<>();
  private String identity;
  /** Channel of the active segment; null if starting a new segment failed. */
  private FileChannel activeChannel;

  /** True if an incomplete record may follow the last complete one. */
  private boolean partialRecord;

  private Path activeFile;
  private long activeFirstNumber;
  private long nextNumber;
  private long activeBytes;
  private long activeLastMinute;

  private History(Path directory, Bounds bounds, Sink sink) {
    this.directory = directory;
    this.bounds = bounds;
    this.sink = sink;
  }

  /** Opens a directory, truncates an incomplete last record and deletes files of an unfinished compaction. */
  public static History open(Path directory, Bounds bounds) throws IOException {
    return open(directory, bounds, History::writeAll);
  }

  private static void writeAll(FileChannel to, ByteBuffer bytes) throws IOException {
    while (bytes.hasRemaining()) {
      to.write(bytes);
    }
  }

  /** Opens a directory with the given sink, which tests replace. */
  static History open(Path directory, Bounds bounds, Sink sink) throws IOException {
    History history = new History(directory, bounds, sink);
    Files.createDirectories(directory);
    history.recover();
    return history;
  }

  private Path segmentFile(long number) {
    return directory.resolve(String.format("%020d%s", number, SEGMENT_SUFFIX));
  }

  private void recover() throws IOException {
    try (Stream<Path> all = Files.list(directory)) {
      for (Path f : all.filter(f -> f.toString().endsWith(".new")).toList()) {
        Files.delete(f);
      }
    }
    Path identityFile = directory.resolve("identity");
    if (!Files.exists(identityFile)) {
      Files.writeString(identityFile, UUID.randomUUID().toString());
    }
    identity = Files.readString(identityFile);
    List<Path> files;
    try (Stream<Path> all = Files.list(directory)) {
      files = all.filter(f -> f.toString().endsWith(SEGMENT_SUFFIX)).sorted().toList();
    }
    for (Path f : files) {
      Segment.Content content = Segment.read(f);
      boolean last = f.equals(files.get(files.size() - 1));
      if (last && content == null) {
        Files.delete(f);
        break;
      }
      if (last) {
        truncate(f, content.validBytes());
      }
      if (content == null
          || content.firstNumber() < nextNumber
          || content.validBytes() != Files.size(f)) {
        throw new IOException(
            "history segment " + f + " is damaged; move it away to go on without its rows");
      }
      register(f, content);
    }
    startSegment();
  }

  /** Truncates a record that a crash left incomplete, which would look like damage at a later opening. */
  private static void truncate(Path f, long validBytes) throws IOException {
    try (FileChannel channel = FileChannel.open(f, StandardOpenOption.WRITE)) {
      channel.truncate(validBytes);
    }
  }

  private void register(Path f, Segment.Content content) {
    long latest = content.rows().stream()
        .mapToLong(r -> r.startMinute() + r.minutes() - 1)
        .max()
        .orElse(0);
    boolean compacted = content.numberCount() != content.rows().size()
        || content.rows().stream().allMatch(r -> r.minutes() >= MINUTES_PER_HOUR);
    closedSegments.put(
        content.firstNumber(),
        new SegmentInfo(
            f,
            content.firstNumber(),
            content.numberCount(),
            content.validBytes(),
            latest,
            compacted));
    nextNumber = content.firstNumber() + content.numberCount();
  }

  /** Starts a new segment; the previous one is no longer written. */
  private void startSegment() throws IOException {
    Path fresh = segmentFile(nextNumber);
    FileChannel opened = FileChannel.open(
        fresh,
        StandardOpenOption.CREATE,
        StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING);
    try {
      sink.write(opened, ByteBuffer.wrap(Segment.header(nextNumber, 0)));
    } catch (IOException e) {
      opened.close();
      throw e;
    }
    activeChannel = opened;
    activeFile = fresh;
    activeFirstNumber = nextNumber;
    partialRecord = false;
    activeBytes = Segment.HEADER_BYTES;
    activeLastMinute = 0;
    closedSegments.remove(activeFirstNumber);
  }

  /**
   * Appends rows, which survive a kill of the process, and a power loss after {@link #force()}.
   *
   * @return the next row number
   * @throws IOException if a row cannot be written; the rows before it were written, it and later ones were not
   */
  public synchronized long append(List<HistoryRow> rows) throws IOException {
    for (HistoryRow row : rows) {
      ByteBuffer record = ByteBuffer.wrap(Segment.record(row));
      int length = record.remaining();
      write(record);
      activeBytes += length;
      nextNumber++;
      activeLastMinute = Math.max(activeLastMinute, row.startMinute() + row.minutes() - 1);
      if (activeBytes >= bounds.segmentBytes()) {
        rollSegment();
      }
    }
    return nextNumber;
  }

  /** Writes a record after the last complete one, and first removes what a failed write left there. */
  private void write(ByteBuffer record) throws IOException {
    if (activeChannel == null) {
      startSegment();
    }
    if (partialRecord) {
      activeChannel.truncate(activeBytes);
      activeChannel.position(activeBytes);
    }
    partialRecord = true;
    sink.write(activeChannel, record);
    partialRecord = false;
  }

  /**
   * Closes the active segment and starts a new one. Failures are ignored since the current row is already written; the
   * next write retries.
   */
  private void rollSegment() {
    closedSegments.put(
        activeFirstNumber,
        new SegmentInfo(
            activeFile,
            activeFirstNumber,
            nextNumber - activeFirstNumber,
            activeBytes,
            activeLastMinute,
            false));
    try (FileChannel whole = activeChannel) {
      activeChannel = null;
      whole.force(false);
      startSegment();
    } catch (IOException e) {
      // The next append reports the failure if it persists.
    }
  }

  /** Forces appended rows to disk. */
  public synchronized void force() throws IOException {
    if (activeChannel != null) {
      activeChannel.force(false);
    }
  }

  /** Random id of this history; a reader whose position belongs to another history starts again from 0. */
  public String identity() {
    return identity;
  }

  /** Number of the next row. */
  public synchronized long nextNumber() {
    return nextNumber;
  }

  /**
   * Reads rows.
   *
   * @param from number of the first row; 0 for the oldest
   * @param maxRows number of rows after which no further segment is read
   */
  public synchronized Batch read(long from, int maxRows) throws IOException {
    List<HistoryRow> rows = new ArrayList<>();
    long firstRead = -1;
    long at = from;
    List<SegmentInfo> all = new ArrayList<>(closedSegments.values());
    if (activeChannel != null) {
      all.add(new SegmentInfo(
          activeFile,
          activeFirstNumber,
          nextNumber - activeFirstNumber,
          activeBytes,
          activeLastMinute,
          false));
    }
    for (SegmentInfo segment : all) {
      if (segment.endNumber() <= from || rows.size() >= maxRows) {
        continue;
      }
      Segment.Content content = Segment.read(segment.file());
      long start =
          segment.compacted() ? segment.firstNumber() : Math.max(segment.firstNumber(), at);
      rows.addAll(
          segment.compacted()
              ? content.rows()
              : content
                  .rows()
                  .subList((int) (start - segment.firstNumber()), content.rows().size()));
      firstRead = firstRead < 0 ? start : firstRead;
      at = segment.endNumber();
    }
    return new Batch(
        firstRead < 0 ? Math.max(from, nextNumber) : firstRead, Math.max(at, from), rows);
  }

  /** Compacts closed segments whose rows are all old enough and deletes the oldest segments above the size limit. */
  public synchronized void compact(long nowMinute) throws IOException {
    for (SegmentInfo segment : List.copyOf(closedSegments.values())) {
      if (!segment.compacted() && segment.lastMinute() + bounds.compactAfterMinutes() < nowMinute) {
        compactSegment(segment);
      }
    }
    long total = (activeChannel == null ? 0 : activeBytes)
        + closedSegments.values().stream().mapToLong(SegmentInfo::bytes).sum();
    while (total > bounds.maxBytes() && !closedSegments.isEmpty()) {
      SegmentInfo oldest = closedSegments.pollFirstEntry().getValue();
      Files.deleteIfExists(oldest.file());
      total -= oldest.bytes();
    }
  }

  private void compactSegment(SegmentInfo segment) throws IOException {
    Map<List<Object>, HistoryRow> hours = new LinkedHashMap<>();
    for (HistoryRow row : Segment.read(segment.file()).rows()) {
      long hour = row.startMinute() / MINUTES_PER_HOUR * MINUTES_PER_HOUR;
      int length = Math.max(MINUTES_PER_HOUR, row.minutes());
      hours.merge(
          List.of(hour, row.key()),
          row.withPeriod(hour, length),
          (a, b) -> a.plus(b, hour, length));
    }
    Path fresh = segment.file().resolveSibling(segment.file().getFileName() + ".new");
    try (FileChannel out = FileChannel.open(
        fresh,
        StandardOpenOption.CREATE,
        StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING)) {
      out.write(ByteBuffer.wrap(Segment.header(segment.firstNumber(), segment.numberCount())));
      for (HistoryRow row : hours.values()) {
        out.write(ByteBuffer.wrap(Segment.record(row)));
      }
      out.force(true);
    }
    Files.move(
        fresh, segment.file(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    closedSegments.put(
        segment.firstNumber(),
        new SegmentInfo(
            segment.file(),
            segment.firstNumber(),
            segment.numberCount(),
            Files.size(segment.file()),
            segment.lastMinute(),
            true));
  }

  /** Size of all segments on disk. */
  public synchronized long sizeBytes() {
    return (activeChannel == null ? 0 : activeBytes)
        + closedSegments.values().stream().mapToLong(SegmentInfo::bytes).sum();
  }

  @Override
  public synchronized void close() throws IOException {
    if (activeChannel == null) {
      return;
    }
    try (FileChannel last = activeChannel) {
      if (partialRecord) {
        last.truncate(activeBytes);
      }
      last.force(false);
    }
  }
}
