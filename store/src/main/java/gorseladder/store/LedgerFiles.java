package gorseladder.store;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * File operations of a ledger; tests replace them to inject failures and delays. The ledger's thread calls the methods
 * that write; any thread may call {@link #read}.
 */
public interface LedgerFiles {
  /** Plain file system operations. */
  LedgerFiles DEFAULT = (to, bytes) -> {
    while (bytes.hasRemaining()) {
      to.write(bytes);
    }
  };

  /** Writes all bytes or throws. */
  void write(FileChannel to, ByteBuffer bytes) throws IOException;

  /** Forces written data to disk. */
  default void force(FileChannel channel) throws IOException {
    channel.force(false);
  }

  /** Reads the record at an offset: a length prefix of four bytes, then the record. */
  default byte[] read(RandomAccessFile from, int offset) throws IOException {
    from.seek(offset);
    byte[] record = new byte[from.readInt()];
    from.readFully(record);
    return record;
  }

  default void remove(Path file) throws IOException {
    Files.deleteIfExists(file);
  }
}
