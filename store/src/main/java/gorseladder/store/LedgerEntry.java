package gorseladder.store;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * State of one message in the ledger. Times are microseconds of {@link LedgerClock}. Callers do not modify the arrays.
 *
 * @param stage progress of the message
 * @param mayHaveRun true unless every attempt is known not to have run
 * @param takenAt when the message was last accepted
 * @param leftAt earliest time at which an attempt that may have run was sent; 0 if there is none
 * @param keepUntil expiry time
 * @param contentDigest digest of class, function and body
 * @param reason code of the final reason, empty before the final answer
 * @param status HTTP status of the final answer, 0 before it
 * @param answer body of the answer if it is kept, else null
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

  /** Progress of a message. The file format stores ordinals, so the order of the constants is fixed. */
  public enum Stage {
    /** Accepted; no attempt has been sent. */
    ACCEPTED,
    /** An attempt may have been sent. */
    LEAVING,
    /** Answered by a runner; repeats get the stored answer. */
    SERVED,
    /** Ended without an answer that the ledger stores. */
    CLOSED
  }

  /** Returns a copy at another stage that keeps the outcome. */
  public LedgerEntry withStage(Stage newStage, boolean newMayHaveRun, long newLeftAt) {
    return new LedgerEntry(
        newStage,
        newMayHaveRun,
        takenAt,
        newLeftAt,
        keepUntil,
        contentDigest,
        reason,
        status,
        answer);
  }

  /** Returns a copy with the final answer; {@code leftAt} becomes 0 if no attempt may have run. */
  public LedgerEntry withOutcome(
      Stage newStage, boolean newMayHaveRun, String newReason, int newStatus, byte[] newAnswer) {
    return new LedgerEntry(
        newStage,
        newMayHaveRun,
        takenAt,
        newMayHaveRun ? leftAt : 0,
        keepUntil,
        contentDigest,
        newReason,
        newStatus,
        newAnswer);
  }

  byte[] toBytes() {
    byte[] reasonBytes = reason.getBytes(StandardCharsets.UTF_8);
    int answerLength = answer == null ? -1 : answer.length;
    ByteBuffer out = ByteBuffer.allocate(4
        + 3
        + 24
        + 2
        + contentDigest.length
        + 2
        + reasonBytes.length
        + 2
        + 4
        + Math.max(0, answerLength));
    out.position(4);
    out.put(FORMAT).put((byte) stage.ordinal()).put((byte) (mayHaveRun ? 1 : 0));
    out.putLong(takenAt).putLong(leftAt).putLong(keepUntil);
    out.putShort((short) contentDigest.length).put(contentDigest);
    out.putShort((short) reasonBytes.length).put(reasonBytes);
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
