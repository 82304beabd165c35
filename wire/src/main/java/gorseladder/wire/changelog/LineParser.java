package gorseladder.wire.changelog;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits a byte stream, fed in chunks of any size, into lines that end in LF; a CR before the LF is dropped. The buffer
 * grows with the line up to a limit. Not thread safe.
 */
public final class LineParser {
  private static final int INITIAL_BYTES = 1_024;

  private final int maxLineBytes;
  private byte[] line = new byte[INITIAL_BYTES];
  private int lineLength;

  public LineParser(int maxLineBytes) {
    this.maxLineBytes = maxLineBytes;
  }

  /** Size of the buffer that may be needed to take this many more bytes. */
  public int bytesToKeep(int more) {
    int size = line.length;
    while (size < lineLength + more && size < maxLineBytes) {
      size = Math.min(maxLineBytes, 2 * size);
    }
    return size > INITIAL_BYTES ? size : 0;
  }

  /**
   * Parses the next bytes and passes each complete line, without its line end, to the sink. An incomplete line is kept
   * for the next call.
   *
   * @throws IllegalArgumentException if a line is too long; the parser cannot be used afterwards
   */
  public void feed(byte[] bytes, int from, int length, Consumer<byte[]> sink) {
    for (int at = from; at < from + length; at++) {
      if (bytes[at] == '\n') {
        int end = lineLength > 0 && line[lineLength - 1] == '\r' ? lineLength - 1 : lineLength;
        byte[] whole = Arrays.copyOf(line, end);
        lineLength = 0;
        sink.accept(whole);
      } else {
        if (lineLength == maxLineBytes) {
          throw new IllegalArgumentException("a line of more than " + maxLineBytes + " bytes");
        }
        if (lineLength == line.length) {
          line = Arrays.copyOf(line, Math.min(maxLineBytes, 2 * lineLength));
        }
        line[lineLength++] = bytes[at];
      }
    }
  }
}
