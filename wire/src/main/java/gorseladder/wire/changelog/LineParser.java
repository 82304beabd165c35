package gorseladder.wire.changelog;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits bytes into lines that end in a line feed, in pieces of any size; a carriage return before it is dropped. Grows
 * with the line up to a bound. Not thread safe.
 */
public final class LineParser {
  private static final int FIRST = 1_024;

  private final int most;
  private byte[] line = new byte[FIRST];
  private int has;

  /** A parser of lines of so many bytes at the most. */
  public LineParser(int most) {
    this.most = most;
  }

  /**
   * Reads a piece and hands on each whole line without its end; a half line is kept for the next piece.
   *
   * @throws IllegalArgumentException where a line is too long; nothing may be fed after that
   */
  public void feed(byte[] bytes, int from, int length, Consumer<byte[]> sink) {
    for (int at = from; at < from + length; at++) {
      if (bytes[at] == '\n') {
        int end = has > 0 && line[has - 1] == '\r' ? has - 1 : has;
        byte[] whole = Arrays.copyOf(line, end);
        has = 0;
        sink.accept(whole);
      } else {
        if (has == most) {
          throw new IllegalArgumentException("a line of more than " + most + " bytes");
        }
        if (has == line.length) {
          line = Arrays.copyOf(line, Math.min(most, 2 * has));
        }
        line[has++] = bytes[at];
      }
    }
  }
}
