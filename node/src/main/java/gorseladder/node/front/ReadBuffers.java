package gorseladder.node.front;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/**
 * Buffers for reads that do not wait. As many exist as connections are read at once, so that a connection that waits
 * for its client holds none. The bytes are read through a buffer outside the heap that belongs to the pair:
 * otherwise the JDK keeps one for each thread, together with a table of four kilobytes. Thread safe.
 */
final class ReadBuffers {
  private static final int BUFFER_BYTES = 8_192;

  private final ArrayDeque<Buffer> free = new ArrayDeque<>();

  /** A buffer; used by one thread at a time. */
  static final class Buffer {
    private final ByteBuffer direct = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final byte[] bytes = new byte[BUFFER_BYTES];
    private int length;

    /** Empties the buffer. */
    void clear() {
      length = 0;
    }

    /** Appends a byte that was read before. */
    void put(byte value) {
      bytes[length++] = value;
    }

    /** Reads as much as fits; returns the number of bytes, negative at the end of the connection. */
    int read(SocketChannel channel) throws IOException {
      direct.clear().limit(BUFFER_BYTES - length);
      int count = channel.read(direct);
      if (count > 0) {
        direct.flip().get(bytes, length, count);
        length += count;
      }
      return count;
    }

    byte[] bytes() {
      return bytes;
    }

    /** Number of bytes in the buffer. */
    int length() {
      return length;
    }
  }

  /** Takes an empty buffer. */
  Buffer take() {
    Buffer buffer;
    synchronized (this) {
      buffer = free.pollLast();
    }
    if (buffer == null) {
      return new Buffer();
    }
    buffer.clear();
    return buffer;
  }

  /** Gives back a buffer that was taken. */
  synchronized void giveBack(Buffer buffer) {
    free.addLast(buffer);
  }
}
