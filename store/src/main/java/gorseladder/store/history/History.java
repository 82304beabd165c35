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
 * What happened, kept on disk: an append-only log of rows in segments with checksums. A crash at any byte loses at most
 * what was not forced, and never a row before it. Rows are numbered without a gap, so that a reader who remembers its
 * last number reads each row once. Old whole segments are compacted into hours, and the oldest dropped past a bound on
 * bytes.
 *
 * <p>Thread safe; one process a directory.
 */
public final class History implements Closeable {
  private static final String SUFFIX = ".history";
  private static final int HOUR = 60;

  /**
   * Bounds.
   *
   * @param segmentBytes size at which a new segment begins
   * @param compactAfterMinutes rows wholly older than this are compacted into hours
   * @param maxBytes size of all segments at the most; the oldest are dropped
   */
  public record Bounds(long segmentBytes, long compactAfterMinutes, long maxBytes) {
    /** For reading a history whose edge is stopped. */
    public static final Bounds DEFAULT = new Bounds(4 << 20, 20_160, 256 << 20);

    public Bounds {
      if (segmentBytes < 1_024 || compactAfterMinutes < HOUR || maxBytes < 4 * segmentBytes) {
        throw new IllegalArgumentException("impossible bounds of a history");
      }
    }
  }

  /** One segment in memory: where it is and which numbers it stands for. */
  private record Part(
      Path file, long first, long covers, long bytes, long lastMinute, boolean coarse) {
    long end() {
      return first + covers;
    }
  }

  /**
   * What a reader gets: rows that follow its number.
   *
   * @param from the number the rows really begin at; lower than asked where a compacted segment had to be read whole
   *     (forget what was read from that number on), higher where older rows were dropped
   * @param next the number to ask for next time
   */
  public record Batch(long from, long next, List<HistoryRow> rows) {}

  /** Writes bytes to a file; tests give one that fails. */
  interface Sink {
    void write(FileChannel to, ByteBuffer bytes) throws IOException;
  }

  private final Path directory;
  private final Bounds bounds;
  private final Sink sink;
  private final TreeMap<Long, Part> parts = new TreeMap<>();
  private String identity;
  /** The segment that is written; null where a new one could not be begun yet. */
  private FileChannel channel;

  /** Bytes of a row that was not written whole may stand behind the last good one. */
  private boolean torn;

  private Path file;
  private long first;
  private long next;
  private long bytes;
  private long lastMinute;

  private History(Path directory, Bounds bounds, Sink sink) {
    this.directory = directory;
    this.bounds = bounds;
    this.sink = sink;
  }

  /** Opens a directory, cutting off a tail that was not written whole and dropping a compaction that was cut short. */
  public static History open(Path directory, Bounds bounds) throws IOException {
    return open(directory, bounds, History::writeAll);
  }

  private static void writeAll(FileChannel to, ByteBuffer bytes) throws IOException {
    while (bytes.hasRemaining()) {
      to.write(bytes);
    }
  }

  /** As above, with a way to write that tests choose. */
  static History open(Path directory, Bounds bounds, Sink sink) throws IOException {
    History history = new History(directory, bounds, sink);
    Files.createDirectories(directory);
    history.recover();
    return history;
  }

  private Path name(long number) {
    return directory.resolve(String.format("%020d%s", number, SUFFIX));
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
      files = all.filter(f -> f.toString().endsWith(SUFFIX)).sorted().toList();
    }
    for (Path f : files) {
      Segment.Content content = Segment.read(f);
      boolean last = f.equals(files.get(files.size() - 1));
      if (last && content == null) {
        Files.delete(f);
        break;
      }
      if (last) {
        cut(f, content.goodBytes());
      }
      if (content == null || content.first() < next || content.goodBytes() != Files.size(f)) {
        throw new IOException(
            "history segment " + f + " is damaged; move it away to go on without its rows");
      }
      add(f, content);
    }
    begin();
  }

  /** A record that a crash left half written must not look like damage at the next opening. */
  private static void cut(Path f, long goodBytes) throws IOException {
    try (FileChannel torn = FileChannel.open(f, StandardOpenOption.WRITE)) {
      torn.truncate(goodBytes);
    }
  }

  private void add(Path f, Segment.Content content) {
    long latest = content.rows().stream()
        .mapToLong(r -> r.startMinute() + r.minutes() - 1)
        .max()
        .orElse(0);
    boolean coarse = content.covers() != content.rows().size()
        || content.rows().stream().allMatch(r -> r.minutes() >= HOUR);
    parts.put(
        content.first(),
        new Part(f, content.first(), content.covers(), content.goodBytes(), latest, coarse));
    next = content.first() + content.covers();
  }

  /** Begins a new segment; the one before is whole and not written any more. */
  private void begin() throws IOException {
    Path fresh = name(next);
    FileChannel opened = FileChannel.open(
        fresh,
        StandardOpenOption.CREATE,
        StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING);
    try {
      sink.write(opened, ByteBuffer.wrap(Segment.head(next, 0)));
    } catch (IOException e) {
      opened.close();
      throw e;
    }
    channel = opened;
    file = fresh;
    first = next;
    torn = false;
    bytes = Segment.HEAD;
    lastMinute = 0;
    parts.remove(first);
  }

  /**
   * Appends rows; they survive a kill of the process, and a power cut once {@link #force()} returned. Returns the next
   * number.
   *
   * @throws IOException where a row cannot be written; those before it were, it and those behind it were not
   */
  public synchronized long append(List<HistoryRow> rows) throws IOException {
    for (HistoryRow row : rows) {
      ByteBuffer record = ByteBuffer.wrap(Segment.record(row));
      int length = record.remaining();
      write(record);
      bytes += length;
      next++;
      lastMinute = Math.max(lastMinute, row.startMinute() + row.minutes() - 1);
      if (bytes >= bounds.segmentBytes()) {
        roll();
      }
    }
    return next;
  }

  /** Writes a record behind the last good one; what a write that failed left there goes first. */
  private void write(ByteBuffer record) throws IOException {
    if (channel == null) {
      begin();
    }
    if (torn) {
      channel.truncate(bytes);
      channel.position(bytes);
    }
    torn = true;
    sink.write(channel, record);
    torn = false;
  }

  /**
   * Ends a segment. Where the next one cannot be begun now, the next row tries again: this one is written in any case.
   */
  private void roll() {
    parts.put(first, new Part(file, first, next - first, bytes, lastMinute, false));
    try (FileChannel whole = channel) {
      channel = null;
      whole.force(false);
      begin();
    } catch (IOException e) {
      // The row after this one tells, where it still fails.
    }
  }

  /** Writes through to disk. */
  public synchronized void force() throws IOException {
    if (channel != null) {
      channel.force(false);
    }
  }

  /** Names this history: a reader that remembers numbers of another one begins anew. */
  public String identity() {
    return identity;
  }

  /** The number that the next row will get. */
  public synchronized long nextNumber() {
    return next;
  }

  /** Rows from a number on, at most about so many; 0 begins at the oldest. */
  public synchronized Batch read(long from, int most) throws IOException {
    List<HistoryRow> rows = new ArrayList<>();
    long begins = -1;
    long at = from;
    List<Part> all = new ArrayList<>(parts.values());
    if (channel != null) {
      all.add(new Part(file, first, next - first, bytes, lastMinute, false));
    }
    for (Part part : all) {
      if (part.end() <= from || rows.size() >= most) {
        continue;
      }
      Segment.Content content = Segment.read(part.file());
      long start = part.coarse() ? part.first() : Math.max(part.first(), at);
      rows.addAll(
          part.coarse()
              ? content.rows()
              : content
                  .rows()
                  .subList((int) (start - part.first()), content.rows().size()));
      begins = begins < 0 ? start : begins;
      at = part.end();
    }
    return new Batch(begins < 0 ? Math.max(from, next) : begins, Math.max(at, from), rows);
  }

  /**
   * Compacts whole segments whose rows are all old enough, and drops the oldest past the bound; called now and then.
   */
  public synchronized void compact(long nowMinute) throws IOException {
    for (Part part : List.copyOf(parts.values())) {
      if (!part.coarse() && part.lastMinute() + bounds.compactAfterMinutes() < nowMinute) {
        coarsen(part);
      }
    }
    long total = (channel == null ? 0 : bytes)
        + parts.values().stream().mapToLong(Part::bytes).sum();
    while (total > bounds.maxBytes() && !parts.isEmpty()) {
      Part oldest = parts.pollFirstEntry().getValue();
      Files.deleteIfExists(oldest.file());
      total -= oldest.bytes();
    }
  }

  private void coarsen(Part part) throws IOException {
    Map<List<Object>, HistoryRow> hours = new LinkedHashMap<>();
    for (HistoryRow row : Segment.read(part.file()).rows()) {
      long hour = row.startMinute() / HOUR * HOUR;
      int length = Math.max(HOUR, row.minutes());
      hours.merge(
          List.of(hour, row.key()), row.over(hour, length), (a, b) -> a.plus(b, hour, length));
    }
    Path fresh = part.file().resolveSibling(part.file().getFileName() + ".new");
    try (FileChannel out = FileChannel.open(
        fresh,
        StandardOpenOption.CREATE,
        StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING)) {
      out.write(ByteBuffer.wrap(Segment.head(part.first(), part.covers())));
      for (HistoryRow row : hours.values()) {
        out.write(ByteBuffer.wrap(Segment.record(row)));
      }
      out.force(true);
    }
    Files.move(
        fresh, part.file(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    parts.put(
        part.first(),
        new Part(
            part.file(),
            part.first(),
            part.covers(),
            Files.size(part.file()),
            part.lastMinute(),
            true));
  }

  /** Bytes on disk. */
  public synchronized long sizeBytes() {
    return (channel == null ? 0 : bytes)
        + parts.values().stream().mapToLong(Part::bytes).sum();
  }

  @Override
  public synchronized void close() throws IOException {
    if (channel == null) {
      return;
    }
    try (FileChannel last = channel) {
      if (torn) {
        last.truncate(bytes);
      }
      last.force(false);
    }
  }
}
