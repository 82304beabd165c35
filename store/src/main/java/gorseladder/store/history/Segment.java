package gorseladder.store.history;

import gorseladder.store.Digests;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Format of a segment file: a header of 32 bytes (magic, format, first row number, count of row numbers, checksum),
 * followed by records of length, checksum and row. The header of a compacted file holds the count of row numbers it
 * covers; in other files that count is 0 and the file covers as many numbers as it has complete records.
 */
final class Segment {
  static final int HEADER_BYTES = 32;
  private static final int MAGIC = 0x474c4853;
  private static final int FORMAT = 1;
  private static final int MAX_RECORD_BYTES = 1 << 20;

  private Segment() {}

  /**
   * Content of a segment file.
   *
   * @param firstNumber number of the first row
   * @param numberCount count of row numbers that the file covers
   * @param validBytes offset of the end of the last complete record
   */
  record Content(long firstNumber, long numberCount, List<HistoryRow> rows, long validBytes) {}

  static byte[] header(long firstNumber, long numberCount) {
    ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES);
    out.putInt(MAGIC).putInt(FORMAT).putLong(firstNumber).putLong(numberCount).putInt(0);
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
   * Reads a file up to its last complete record.
   *
   * @return null if the header is incomplete or invalid
   * @throws IOException if the file cannot be read or has another format
   */
  static Content read(Path file) throws IOException {
    ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file));
    if (in.capacity() < HEADER_BYTES
        || in.getInt(0) != MAGIC
        || in.getInt(28) != Digests.crc32c(in.array(), 0, 28)) {
      return null;
    }
    if (in.getInt(4) != FORMAT) {
      throw new IOException(
          file + " has format " + in.getInt(4) + " and this program reads " + FORMAT);
    }
    long firstNumber = in.getLong(8);
    long numberCount = in.getLong(16);
    in.position(HEADER_BYTES);
    List<HistoryRow> rows = new ArrayList<>();
    int validBytes = HEADER_BYTES;
    while (in.remaining() >= 8) {
      int length = in.getInt();
      int crc = in.getInt();
      if (length < 0 || length > MAX_RECORD_BYTES || length > in.remaining()) {
        break;
      }
      byte[] bytes = new byte[length];
      in.get(bytes);
      if (crc != Digests.crc32c(bytes, 0, length)) {
        break;
      }
      rows.add(HistoryRow.of(bytes));
      validBytes = in.position();
    }
    return new Content(firstNumber, numberCount > 0 ? numberCount : rows.size(), rows, validBytes);
  }
}
