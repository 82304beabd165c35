package gorseladder.store;

import gorseladder.structures.DigestTable;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * One file of the ledger and its in-memory index. The file starts with a header of 24 bytes (magic, format, number,
 * checksum), followed by frames, one for each commit, with magic, length and checksum. Only the last file is written,
 * and only at its end.
 *
 * <p>The caller synchronizes access to the index; {@link #read} is thread-safe.
 */
final class LedgerSegment implements Closeable {
  static final int HEADER_BYTES = 24;
  static final int FRAME_HEADER_BYTES = 12;
  private static final int MAGIC = 0x474c4c47;
  private static final int FRAME_MAGIC = 0x66724d21;
  private static final int FORMAT = 3;
  private static final int MAX_FRAME_BYTES = 1 << 30;

  /** Receives each record of a file and its offset. */
  interface RecordVisitor {
    void visit(int offset, LedgerRecord record);
  }

  final Path file;
  final long number;
  final DigestTable messageOffsets = new DigestTable();
  DigestTable requestOffsets = new DigestTable();
  long messagesKeepUntil;
  long requestsKeepUntil;
  /** Latest time passed to {@link Ledger#expireUntil} when the first record was put; 0 before. */
  long firstRecordAt;
  /** Offset of the next frame, after all frames taken for writing so far. */
  int endOffset = HEADER_BYTES;

  private final LedgerFiles files;
  private FileChannel out;
  private RandomAccessFile in;

  LedgerSegment(Path file, long number, LedgerFiles files) {
    this.file = file;
    this.number = number;
    this.files = files;
  }

  /** Time at which all records of the segment have expired. */
  long keepUntil() {
    return Math.max(messagesKeepUntil, requestsKeepUntil);
  }

  /**
   * Writes a frame at an offset and creates the file if needed. The first bytes of the buffer are reserved for the
   * frame header. On reopening, bytes from the offset on are truncated: they come from a failed write that was never
   * acknowledged.
   *
   * @throws IOException if the frame was not written completely; the caller may write it again at the same offset
   */
  void append(ByteBuffer frame, int offset, boolean sync) throws IOException {
    try {
      write(frame, offset, sync);
    } catch (IOException | RuntimeException e) {
      closeOutput();
      throw e;
    }
  }

  private void write(ByteBuffer frame, int offset, boolean sync) throws IOException {
    if (out == null) {
      out = FileChannel.open(file, StandardOpenOption.WRITE, StandardOpenOption.CREATE);
      if (out.size() < HEADER_BYTES) {
        ByteBuffer header =
            ByteBuffer.allocate(HEADER_BYTES).putInt(MAGIC).putInt(FORMAT).putLong(number);
        header.putInt(Digests.crc32c(header.array(), 0, HEADER_BYTES - 8)).putInt(0);
        out.truncate(0);
        files.write(out, header.flip());
      }
      out.truncate(offset);
    }
    out.position(offset);
    int length = frame.limit() - FRAME_HEADER_BYTES;
    frame
        .putInt(0, FRAME_MAGIC)
        .putInt(4, length)
        .putInt(8, Digests.crc32c(frame.array(), FRAME_HEADER_BYTES, length));
    files.write(out, frame);
    if (sync) {
      files.force(out);
    }
  }

  /** Closes the output and ignores failures; the next frame reopens the file. */
  private void closeOutput() {
    try {
      if (out != null) {
        out.close();
      }
    } catch (IOException e) {
      // The caller writes the frame again.
    }
    out = null;
  }

  /** Syncs and closes a file that gets no further frame, before a later file is written. */
  void seal() throws IOException {
    if (out == null) {
      return;
    }
    try {
      files.force(out);
    } finally {
      closeOutput();
    }
  }

  /** Reads a record that is already in the file. */
  synchronized LedgerRecord read(int offset) throws IOException {
    if (in == null) {
      in = new RandomAccessFile(file.toFile(), "r");
    }
    return LedgerRecord.of(files.read(in, offset));
  }

  /**
   * Reads all records and sets {@link #endOffset}.
   *
   * <p>A kill during a write leaves an incomplete last frame, which was never acknowledged: it is truncated if this is
   * the last file. It counts as damage if an intact frame or another file follows it.
   *
   * @param last true for the newest file, to which further frames are appended
   */
  void load(boolean last, RecordVisitor visitor) throws IOException {
    long length = Files.size(file);
    if (length < HEADER_BYTES && last) {
      Files.delete(file);
      return;
    }
    try (DataInputStream bytes =
        new DataInputStream(new BufferedInputStream(Files.newInputStream(file), 1 << 18))) {
      byte[] header = new byte[HEADER_BYTES];
      bytes.readFully(header);
      ByteBuffer headerFields = ByteBuffer.wrap(header);
      if (headerFields.getInt() != MAGIC
          || headerFields.getInt(16) != Digests.crc32c(header, 0, HEADER_BYTES - 8)) {
        throw new IOException(file.getFileName() + " is damaged at byte 0");
      }
      int format = headerFields.getInt();
      if (format != FORMAT) {
        throw new IOException("the format of " + file.getFileName() + " is " + format
            + " and this program reads " + FORMAT);
      }
      while (endOffset < length && readFrame(bytes, length - endOffset, visitor)) {
        continue;
      }
    }
    if (endOffset < length) {
      if (!last || hasIntactFrameAfter(endOffset)) {
        throw new IOException(file.getFileName() + " is damaged at byte " + endOffset);
      }
      try (FileChannel truncated = FileChannel.open(file, StandardOpenOption.WRITE)) {
        truncated.truncate(endOffset);
        truncated.force(true);
      }
    }
  }

  private boolean readFrame(DataInputStream bytes, long remaining, RecordVisitor visitor)
      throws IOException {
    if (remaining < FRAME_HEADER_BYTES || bytes.readInt() != FRAME_MAGIC) {
      return false;
    }
    int length = bytes.readInt();
    int crc = bytes.readInt();
    if (length < 0 || length > Math.min(MAX_FRAME_BYTES, remaining - FRAME_HEADER_BYTES)) {
      return false;
    }
    byte[] payload = new byte[length];
    bytes.readFully(payload);
    if (Digests.crc32c(payload, 0, length) != crc) {
      return false;
    }
    ByteBuffer in = ByteBuffer.wrap(payload);
    while (in.hasRemaining()) {
      int offset = endOffset + FRAME_HEADER_BYTES + in.position();
      byte[] record = new byte[in.getInt()];
      in.get(record);
      visitor.visit(offset, LedgerRecord.of(record));
    }
    endOffset += FRAME_HEADER_BYTES + length;
    return true;
  }

  /** Searches for an intact frame after an invalid one; an incomplete last write has none after it. */
  private boolean hasIntactFrameAfter(int offset) throws IOException {
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
      ByteBuffer tail = channel.map(FileChannel.MapMode.READ_ONLY, offset, channel.size() - offset);
      for (int i = 1; i + FRAME_HEADER_BYTES <= tail.capacity(); i++) {
        if (tail.getInt(i) == FRAME_MAGIC) {
          int length = tail.getInt(i + 4);
          if (length >= 0 && length <= tail.capacity() - i - FRAME_HEADER_BYTES) {
            byte[] payload = new byte[length];
            tail.get(i + FRAME_HEADER_BYTES, payload);
            if (Digests.crc32c(payload, 0, length) == tail.getInt(i + 8)) {
              return true;
            }
          }
        }
      }
      return false;
    }
  }

  @Override
  public synchronized void close() throws IOException {
    if (in != null) {
      in.close();
      in = null;
    }
    if (out != null) {
      out.close();
      out = null;
    }
  }

  /** Closes and deletes the file. */
  void delete() throws IOException {
    close();
    files.remove(file);
  }
}
