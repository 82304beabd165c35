package gorseladder.store.history;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Call counts of one function, class and tenant in a period. Rows with the same key add up.
 *
 * @param startMinute first minute of the period, in minutes since 1970
 * @param minutes length of the period, at least 1
 * @param calls calls that got their final answer
 * @param found served attempts that found a loaded copy
 * @param began served attempts that started the load of a copy
 * @param awaited served attempts that waited for a load in progress
 * @param refused calls that were refused or rejected
 * @param failed calls whose final reason is a failure
 * @param loads copies loaded
 * @param loadMicros total duration of these loads
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
      throw new IllegalArgumentException(
          "a history row covers at least one minute and starts in 1970 or later");
    }
  }

  /** Rows with equal keys count the same calls and can be added up. */
  record Key(String function, String requestClass, String tenant) {}

  Key key() {
    return new Key(function, requestClass, tenant);
  }

  /** Returns the sum of two rows with the same key, for the given period. */
  HistoryRow plus(HistoryRow other, long newStartMinute, int newMinutes) {
    return new HistoryRow(
        newStartMinute,
        newMinutes,
        function,
        requestClass,
        tenant,
        calls + other.calls,
        found + other.found,
        began + other.began,
        awaited + other.awaited,
        refused + other.refused,
        failed + other.failed,
        loads + other.loads,
        loadMicros + other.loadMicros);
  }

  HistoryRow withPeriod(long newStartMinute, int newMinutes) {
    return new HistoryRow(
        newStartMinute,
        newMinutes,
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

  /** Encodes the row as on disk, without length and checksum. */
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
   * Decodes a row.
   *
   * @throws IllegalArgumentException if the bytes are not a row
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
      throw new IllegalArgumentException("the history row is incomplete", e);
    }
  }
}
