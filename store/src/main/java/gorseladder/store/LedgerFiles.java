package gorseladder.store;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a ledger does with its files; tests give one that fails or stalls. Writes are called on the ledger's own thread,
 * reads on any.
 */
public interface LedgerFiles {
  /** Files as the system has them. */
  LedgerFiles DEFAULT = (to, bytes) -> {
    while (bytes.hasRemaining()) {
      to.write(bytes);
    }
  };

  /** Writes all of the bytes, or fails. */
  void write(FileChannel to, ByteBuffer bytes) throws IOException;

  /** Makes what was written last. */
  default void force(FileChannel written) throws IOException {
    written.force(false);
  }

  /** Reads the record at a place: its length as four bytes, then so many bytes. */
  default byte[] read(RandomAccessFile from, int at) throws IOException {
    from.seek(at);
    byte[] record = new byte[from.readInt()];
    from.readFully(record);
    return record;
  }

  /** Removes a file. */
  default void remove(Path file) throws IOException {
    Files.deleteIfExists(file);
  }
}
