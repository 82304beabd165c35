package gorseladder.store;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * One record of the ledger: a message with how far it got, a signed request until it may be forgotten, both, or the
 * count of openings. Immutable but for the entry's arrays.
 *
 * @param message null where the record is about no message; {@code entry} stands and falls with it
 * @param request null where it is about no request
 * @param boots how often the ledger was opened; 0 in all other records
 */
record LedgerRecord(
    String message, LedgerEntry entry, String request, long requestUntil, long boots) {
  private static final int MESSAGE = 1;
  private static final int REQUEST = 2;
  private static final int BOOTS = 4;

  /** The bytes as they stand in a frame, with their length before them. */
  byte[] toBytes() {
    byte[] name = message == null ? null : message.getBytes(StandardCharsets.UTF_8);
    byte[] about = entry == null ? null : entry.toBytes();
    byte[] key = request == null ? null : request.getBytes(StandardCharsets.UTF_8);
    int length = 1
        + (name == null ? 0 : 8 + name.length + about.length)
        + (key == null ? 0 : 12 + key.length)
        + (boots > 0 ? 8 : 0);
    ByteBuffer out = ByteBuffer.allocate(4 + length);
    out.putInt(length).put((byte)
        ((name == null ? 0 : MESSAGE) | (key == null ? 0 : REQUEST) | (boots > 0 ? BOOTS : 0)));
    if (name != null) {
      out.putInt(name.length).put(name).putInt(about.length).put(about);
    }
    if (key != null) {
      out.putInt(key.length).put(key).putLong(requestUntil);
    }
    if (boots > 0) {
      out.putLong(boots);
    }
    return out.array();
  }

  /** Reads a record without the length before it. */
  static LedgerRecord of(byte[] bytes) {
    try {
      ByteBuffer in = ByteBuffer.wrap(bytes);
      int has = in.get();
      String message = (has & MESSAGE) != 0 ? new String(read(in), StandardCharsets.UTF_8) : null;
      LedgerEntry entry = message == null ? null : LedgerEntry.of(read(in));
      String request = (has & REQUEST) != 0 ? new String(read(in), StandardCharsets.UTF_8) : null;
      long until = request == null ? 0 : in.getLong();
      return new LedgerRecord(
          message, entry, request, until, (has & BOOTS) != 0 ? in.getLong() : 0);
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
