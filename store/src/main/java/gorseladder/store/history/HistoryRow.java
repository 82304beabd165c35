package gorseladder.store.history;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * What happened to the calls of one function, class and tenant in a stretch of time. Rows of one key add up.
 *
 * @param startMinute the first minute, since 1970
 * @param minutes how many minutes it covers, 1 or more
 * @param calls taken; {@code found}, {@code began} and {@code awaited} say what their served attempts met
 * @param loads copies loaded and {@code loadMicros} the time they took in all
 */
public record HistoryRow(
    long startMinute,
    int minutes,
    String function,
    String requestClass,
    String tenant,
    long calls,
    long found,
    long began,
    long awaited,
    long refused,
    long failed,
    long loads,
    long loadMicros) {
  public HistoryRow {
    if (minutes < 1 || startMinute < 0) {
      throw new IllegalArgumentException("a row covers at least one minute since 1970");
    }
  }

  /** What makes two rows count the same thing. */
  record Key(String function, String requestClass, String tenant) {}

  Key key() {
    return new Key(function, requestClass, tenant);
  }

  /** The sum of two rows of one key, as a row over the given stretch. */
  HistoryRow plus(HistoryRow o, long start, int length) {
    return new HistoryRow(
        start,
        length,
        function,
        requestClass,
        tenant,
        calls + o.calls,
        found + o.found,
        began + o.began,
        awaited + o.awaited,
        refused + o.refused,
        failed + o.failed,
        loads + o.loads,
        loadMicros + o.loadMicros);
  }

  HistoryRow over(long start, int length) {
    return new HistoryRow(
        start,
        length,
        function,
        requestClass,
        tenant,
        calls,
        found,
        began,
        awaited,
        refused,
        failed,
        loads,
        loadMicros);
  }

  /** The row in its form on disk, without length and checksum. */
  public byte[] toBytes() {
    byte[][] texts = {
      function.getBytes(StandardCharsets.UTF_8),
      requestClass.getBytes(StandardCharsets.UTF_8),
      tenant.getBytes(StandardCharsets.UTF_8)
    };
    ByteBuffer out = ByteBuffer.allocate(
        8 + 4 + 6 + texts[0].length + texts[1].length + texts[2].length + 8 * 8);
    out.putLong(startMinute).putInt(minutes);
    for (byte[] text : texts) {
      out.putShort((short) text.length).put(text);
    }
    for (long number :
        new long[] {calls, found, began, awaited, refused, failed, loads, loadMicros}) {
      out.putLong(number);
    }
    return out.array();
  }

  /**
   * The row of its form on disk.
   *
   * @throws IllegalArgumentException where it is none
   */
  public static HistoryRow of(byte[] bytes) {
    try {
      ByteBuffer in = ByteBuffer.wrap(bytes);
      long startMinute = in.getLong();
      int minutes = in.getInt();
      String[] texts = new String[3];
      for (int i = 0; i < 3; i++) {
        byte[] text = new byte[in.getShort() & 0xffff];
        in.get(text);
        texts[i] = new String(text, StandardCharsets.UTF_8);
      }
      return new HistoryRow(
          startMinute,
          minutes,
          texts[0],
          texts[1],
          texts[2],
          in.getLong(),
          in.getLong(),
          in.getLong(),
          in.getLong(),
          in.getLong(),
          in.getLong(),
          in.getLong(),
          in.getLong());
    } catch (BufferUnderflowException e) {
      throw new IllegalArgumentException("a row that ends early", e);
    }
  }
}
