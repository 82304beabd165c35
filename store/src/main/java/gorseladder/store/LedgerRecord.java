package gorseladder.store;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * One record of the ledger: a message and its state, a signed request and its expiry time, both, or the open count.
 *
 * @param message null if the record holds no message; {@code entry} is null exactly then
 * @param request null if the record holds no signed request
 * @param openCount how often the ledger was opened; 0 in records of messages and requests
 */
record LedgerRecord(
    String message, LedgerEntry entry, String request, long requestKeepUntil, long openCount) {
  private static final int HAS_MESSAGE = 1;
  private static final int HAS_REQUEST = 2;
  private static final int HAS_OPEN_COUNT = 4;

  /** Encodes the record for a frame, with a length prefix. */
  byte[] toBytes() {
    byte[] messageBytes = message == null ? null : message.getBytes(StandardCharsets.UTF_8);
    byte[] entryBytes = entry == null ? null : entry.toBytes();
    byte[] requestBytes = request == null ? null : request.getBytes(StandardCharsets.UTF_8);
    int length = 1
        + (messageBytes == null ? 0 : 8 + messageBytes.length + entryBytes.length)
        + (requestBytes == null ? 0 : 12 + requestBytes.length)
        + (openCount > 0 ? 8 : 0);
    ByteBuffer out = ByteBuffer.allocate(4 + length);
    out.putInt(length).put((byte) ((messageBytes == null ? 0 : HAS_MESSAGE)
        | (requestBytes == null ? 0 : HAS_REQUEST)
        | (openCount > 0 ? HAS_OPEN_COUNT : 0)));
    if (messageBytes != null) {
      out.putInt(messageBytes.length)
          .put(messageBytes)
          .putInt(entryBytes.length)
          .put(entryBytes);
    }
    if (requestBytes != null) {
      out.putInt(requestBytes.length).put(requestBytes).putLong(requestKeepUntil);
    }
    if (openCount > 0) {
      out.putLong(openCount);
    }
    return out.array();
  }

  /** Decodes a record without its length prefix. */
  static LedgerRecord of(byte[] bytes) {
    try {
      ByteBuffer in = ByteBuffer.wrap(bytes);
      int flags = in.get();
      String message =
          (flags & HAS_MESSAGE) != 0 ? new String(read(in), StandardCharsets.UTF_8) : null;
      LedgerEntry entry = message == null ? null : LedgerEntry.of(read(in));
      String request =
          (flags & HAS_REQUEST) != 0 ? new String(read(in), StandardCharsets.UTF_8) : null;
      long keepUntil = request == null ? 0 : in.getLong();
      return new LedgerRecord(
          message, entry, request, keepUntil, (flags & HAS_OPEN_COUNT) != 0 ? in.getLong() : 0);
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("length", e);
    }
  }

  private static byte[] read(ByteBuffer in) {
    int length = in.getInt();
    if (length < 0 || length > in.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] bytes = new byte[length];
    in.get(bytes);
    return bytes;
  }
}
