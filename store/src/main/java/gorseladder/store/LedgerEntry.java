package gorseladder.store;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * What the ledger holds of one message. Times are microseconds since 1970. Immutable but for the arrays, which are not
 * changed after they were handed over.
 *
 * @param stage how far the message got; the values are part of the file format
 * @param mayHaveRun true where some attempt is not known not to have run
 * @param takenAt when it was last taken
 * @param leftAt when the first attempt that may have run may have left; 0 where none
 * @param keepUntil when it may be forgotten
 * @param contentDigest digest of class, function and body
 * @param reason the word of the final reason, empty before the end
 * @param status the HTTP status answered, 0 before the end
 * @param answer the answer's content where it is kept, else null
 */
public record LedgerEntry(
    Stage stage,
    boolean mayHaveRun,
    long takenAt,
    long leftAt,
    long keepUntil,
    byte[] contentDigest,
    String reason,
    int status,
    byte[] answer) {
  private static final byte FORMAT = 1;

  /** How far a message got. Order and number are part of the file format. */
  public enum Stage {
    ACCEPTED,
    LEAVING,
    SERVED,
    CLOSED
  }

  /** The same message at another stage, without an end. */
  public LedgerEntry withStage(Stage next, boolean ran, long left) {
    return new LedgerEntry(
        next, ran, takenAt, left, keepUntil, contentDigest, reason, status, answer);
  }

  /** The same message with its end. */
  public LedgerEntry withOutcome(Stage next, boolean ran, String why, int code, byte[] body) {
    return new LedgerEntry(
        next, ran, takenAt, ran ? leftAt : 0, keepUntil, contentDigest, why, code, body);
  }

  byte[] toBytes() {
    byte[] word = reason.getBytes(StandardCharsets.UTF_8);
    int answerLength = answer == null ? -1 : answer.length;
    ByteBuffer out = ByteBuffer.allocate(4
        + 3
        + 24
        + 2
        + contentDigest.length
        + 2
        + word.length
        + 2
        + 4
        + Math.max(0, answerLength));
    out.position(4);
    out.put(FORMAT).put((byte) stage.ordinal()).put((byte) (mayHaveRun ? 1 : 0));
    out.putLong(takenAt).putLong(leftAt).putLong(keepUntil);
    out.putShort((short) contentDigest.length).put(contentDigest);
    out.putShort((short) word.length).put(word);
    out.putShort((short) status).putInt(answerLength);
    if (answer != null) {
      out.put(answer);
    }
    byte[] bytes = out.array();
    out.putInt(0, checksum(bytes));
    return bytes;
  }

  static LedgerEntry of(byte[] bytes) {
    try {
      ByteBuffer in = ByteBuffer.wrap(bytes);
      if (in.getInt() != checksum(bytes)) {
        throw new IllegalArgumentException("checksum");
      }
      byte format = in.get();
      if (format != FORMAT) {
        throw new IllegalArgumentException("format " + format);
      }
      Stage stage = Stage.values()[in.get()];
      boolean mayHaveRun = in.get() != 0;
      long takenAt = in.getLong();
      long leftAt = in.getLong();
      long keepUntil = in.getLong();
      byte[] contentDigest = read(in, in.getShort());
      String reason = new String(read(in, in.getShort()), StandardCharsets.UTF_8);
      int status = in.getShort();
      int answerLength = in.getInt();
      return new LedgerEntry(
          stage,
          mayHaveRun,
          takenAt,
          leftAt,
          keepUntil,
          contentDigest,
          reason,
          status,
          answerLength < 0 ? null : read(in, answerLength));
    } catch (BufferUnderflowException | IndexOutOfBoundsException | NegativeArraySizeException e) {
      throw new IllegalArgumentException("length", e);
    }
  }

  private static byte[] read(ByteBuffer in, int length) {
    if (length > in.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] bytes = new byte[length];
    in.get(bytes);
    return bytes;
  }

  private static int checksum(byte[] bytes) {
    return Digests.crc32c(bytes, 4, bytes.length - 4);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof LedgerEntry e && Arrays.equals(toBytes(), e.toBytes());
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(toBytes());
  }
}
