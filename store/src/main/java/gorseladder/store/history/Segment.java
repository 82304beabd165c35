package gorseladder.store.history;

import gorseladder.store.Digests;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The form of a segment file: a head of 32 bytes (mark, format, first sequence number, how many numbers it covers,
 * checksum), then records of length, checksum and row. A file that is still written covers as many numbers as it has
 * whole records; one that was compacted says in its head how many it stands for.
 */
final class Segment {
  static final int HEAD = 32;
  private static final int MARK = 0x474c4853;
  private static final int FORMAT = 1;
  private static final int MOST_RECORD = 1 << 20;

  private Segment() {}

  /** What a file holds: its rows, where the last whole record ends, and the numbers it stands for. */
  record Content(long first, long covers, List<HistoryRow> rows, long goodBytes) {}

  static byte[] head(long first, long covers) {
    ByteBuffer out = ByteBuffer.allocate(HEAD);
    out.putInt(MARK).putInt(FORMAT).putLong(first).putLong(covers).putInt(0);
    out.putInt(28, Digests.crc32c(out.array(), 0, 28));
    return out.array();
  }

  static byte[] record(HistoryRow row) {
    byte[] bytes = row.toBytes();
    ByteBuffer out = ByteBuffer.allocate(8 + bytes.length);
    out.putInt(bytes.length).putInt(Digests.crc32c(bytes, 0, bytes.length)).put(bytes);
    return out.array();
  }

  /**
   * Reads a file up to its last whole record.
   *
   * @return null where not even its head is whole
   */
  static Content read(Path file) throws IOException {
    ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file));
    if (in.capacity() < HEAD
        || in.getInt(0) != MARK
        || in.getInt(28) != Digests.crc32c(in.array(), 0, 28)) {
      return null;
    }
    if (in.getInt(4) != FORMAT) {
      throw new IOException(
          file + " has format " + in.getInt(4) + " and this program reads " + FORMAT);
    }
    long first = in.getLong(8);
    long covers = in.getLong(16);
    in.position(HEAD);
    List<HistoryRow> rows = new ArrayList<>();
    int good = HEAD;
    while (in.remaining() >= 8) {
      int length = in.getInt();
      int crc = in.getInt();
      if (length < 0 || length > MOST_RECORD || length > in.remaining()) {
        break;
      }
      byte[] bytes = new byte[length];
      in.get(bytes);
      if (crc != Digests.crc32c(bytes, 0, length)) {
        break;
      }
      rows.add(HistoryRow.of(bytes));
      good = in.position();
    }
    return new Content(first, covers > 0 ? covers : rows.size(), rows, good);
  }
}
