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
 * One file of the ledger and the tables of what stands in it. A head of 24 bytes (mark, format, number, checksum), then
 * frames: what one commit wrote, with mark, length and checksum. Only the last file is written, and only at its end.
 *
 * <p>The caller guards the tables; {@link #read} may be called by any thread.
 */
final class LedgerSegment implements Closeable {
  static final int HEAD = 24;
  static final int FRAME_HEAD = 12;
  private static final int MARK = 0x474c4c47;
  private static final int FRAME_MARK = 0x66724d21;
  private static final int FORMAT = 3;
  private static final int MOST_FRAME = 1 << 30;

  /** Hears each record of a file and where it stands. */
  interface Reader {
    void record(int at, LedgerRecord record);
  }

  final Path file;
  final long number;
  final DigestTable messages = new DigestTable();
  DigestTable requests = new DigestTable();
  long messagesUntil;
  long requestsUntil;
  /** Told time at which the first record was put; 0 before. */
  long begunAt;
  /** Where the next frame will begin, with all that was put by now. */
  int end = HEAD;

  private final LedgerFiles files;
  private FileChannel out;
  private RandomAccessFile in;

  LedgerSegment(Path file, long number, LedgerFiles files) {
    this.file = file;
    this.number = number;
    this.files = files;
  }

  /** When all in it may be forgotten. */
  long until() {
    return Math.max(messagesUntil, requestsUntil);
  }

  /**
   * Writes a frame at a place of the file, which is made at its first frame; the first bytes are kept free for its
   * head. What stands there and behind is of a write that failed: it was promised to nobody.
   *
   * @throws IOException where it was not written whole; it may then be written again at the same place
   */
  void append(ByteBuffer frame, int at, boolean sync) throws IOException {
    try {
      write(frame, at, sync);
    } catch (IOException | RuntimeException e) {
      letGo();
      throw e;
    }
  }

  private void write(ByteBuffer frame, int at, boolean sync) throws IOException {
    if (out == null) {
      out = FileChannel.open(file, StandardOpenOption.WRITE, StandardOpenOption.CREATE);
      if (out.size() < HEAD) {
        ByteBuffer head = ByteBuffer.allocate(HEAD).putInt(MARK).putInt(FORMAT).putLong(number);
        head.putInt(Digests.crc32c(head.array(), 0, HEAD - 8)).putInt(0);
        out.truncate(0);
        files.write(out, head.flip());
      }
      out.truncate(at);
    }
    out.position(at);
    int length = frame.limit() - FRAME_HEAD;
    frame
        .putInt(0, FRAME_MARK)
        .putInt(4, length)
        .putInt(8, Digests.crc32c(frame.array(), FRAME_HEAD, length));
    files.write(out, frame);
    if (sync) {
      files.force(out);
    }
  }

  /** Closes the file for writing, whatever comes of that; a later frame opens it again. */
  private void letGo() {
    try {
      if (out != null) {
        out.close();
      }
    } catch (IOException e) {
      // What was to be written is written again.
    }
    out = null;
  }

  /** No further frame comes: what was written is made to last before a later file has any. */
  void seal() throws IOException {
    if (out == null) {
      return;
    }
    try {
      files.force(out);
    } finally {
      letGo();
    }
  }

  /** The record at that place, which was written before. */
  synchronized LedgerRecord read(int at) throws IOException {
    if (in == null) {
      in = new RandomAccessFile(file.toFile(), "r");
    }
    return LedgerRecord.of(files.read(in, at));
  }

  /**
   * Reads the file from its beginning and sets where it ends.
   *
   * <p>A last frame that is not whole is what a kill in the middle of a write leaves; it was promised to nobody and is
   * cut off where this is the last file. Anything after it, or a file that is followed by others, makes it damage.
   *
   * @param last true for the file that will be written on
   */
  void load(boolean last, Reader reader) throws IOException {
    long length = Files.size(file);
    if (length < HEAD && last) {
      Files.delete(file);
      return;
    }
    try (DataInputStream bytes =
        new DataInputStream(new BufferedInputStream(Files.newInputStream(file), 1 << 18))) {
      byte[] head = new byte[HEAD];
      bytes.readFully(head);
      ByteBuffer h = ByteBuffer.wrap(head);
      if (h.getInt() != MARK || h.getInt(16) != Digests.crc32c(head, 0, HEAD - 8)) {
        throw new IOException(file.getFileName() + " is damaged at byte 0");
      }
      int format = h.getInt();
      if (format != FORMAT) {
        throw new IOException("the format of " + file.getFileName() + " is " + format
            + " and this program reads " + FORMAT);
      }
      while (end < length && frame(bytes, length - end, reader)) {
        continue;
      }
    }
    if (end < length) {
      if (!last || wholeFrameAfter(end)) {
        throw new IOException(file.getFileName() + " is damaged at byte " + end);
      }
      try (FileChannel cut = FileChannel.open(file, StandardOpenOption.WRITE)) {
        cut.truncate(end);
        cut.force(true);
      }
    }
  }

  private boolean frame(DataInputStream bytes, long left, Reader reader) throws IOException {
    if (left < FRAME_HEAD || bytes.readInt() != FRAME_MARK) {
      return false;
    }
    int length = bytes.readInt();
    int crc = bytes.readInt();
    if (length < 0 || length > Math.min(MOST_FRAME, left - FRAME_HEAD)) {
      return false;
    }
    byte[] payload = new byte[length];
    bytes.readFully(payload);
    if (Digests.crc32c(payload, 0, length) != crc) {
      return false;
    }
    ByteBuffer in = ByteBuffer.wrap(payload);
    while (in.hasRemaining()) {
      int at = end + FRAME_HEAD + in.position();
      byte[] record = new byte[in.getInt()];
      in.get(record);
      reader.record(at, LedgerRecord.of(record));
    }
    end += FRAME_HEAD + length;
    return true;
  }

  /** Looks for a frame that is whole beyond a place where none is; a torn tail has none. */
  private boolean wholeFrameAfter(int at) throws IOException {
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
      ByteBuffer rest = channel.map(FileChannel.MapMode.READ_ONLY, at, channel.size() - at);
      for (int i = 1; i + FRAME_HEAD <= rest.capacity(); i++) {
        if (rest.getInt(i) == FRAME_MARK) {
          int length = rest.getInt(i + 4);
          if (length >= 0 && length <= rest.capacity() - i - FRAME_HEAD) {
            byte[] payload = new byte[length];
            rest.get(i + FRAME_HEAD, payload);
            if (Digests.crc32c(payload, 0, length) == rest.getInt(i + 8)) {
              return true;
            }
          }
        }
      }
      return false;
    }
  }

  /** Lets go of the file. */
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

  /** Removes the file: all in it may be forgotten. */
  void drop() throws IOException {
    close();
    files.remove(file);
  }
}
