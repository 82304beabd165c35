package gorseladder.wire.http1;

import gorseladder.wire.http1.BadMessage.Fault;
import java.util.Arrays;
import java.util.List;

/**
 * Incremental parser for the content of one message: of a given length, chunked, or up to the end of the connection
 * (RFC 9112 sections 6 and 7). A message whose length two parsers could interpret differently is malformed: one with
 * both Content-Length and Transfer-Encoding, with more than one Content-Length (even if equal), or with anything but
 * digits in it. The buffer grows with the bytes received, not with the announced length, and {@link #bufferBytesAfter}
 * predicts its size. Not thread safe; one instance per message.
 */
public final class BodyParser {
  private enum State {
    FIXED,
    SIZE,
    EXTENSION,
    SIZE_LF,
    DATA,
    DATA_CR,
    DATA_LF,
    TRAILER,
    TRAILER_LF,
    UNTIL_CLOSE,
    DONE
  }

  private static final int MAX_EXTENSION_BYTES = 256;
  private static final int MIN_BUFFER_BYTES = 512;
  private static final byte[] EMPTY = {};

  private final HttpLimits limits;
  private byte[] buffer = EMPTY;
  private int size;
  private State state;
  private long remaining;
  private int sizeDigits;
  private int extensionBytes;
  private int trailerLineBytes;
  private int trailerBytes;

  private BodyParser(HttpLimits limits, State state, long remaining) throws BadMessage {
    this.limits = limits;
    this.state = state;
    this.remaining = remaining;
    if (state == State.FIXED) {
      requireWithinLimit(remaining);
      if (remaining == 0) {
        this.state = State.DONE;
      }
    }
  }

  /** Returns a parser for the content of a request. */
  public static BodyParser forRequest(Head head, HttpLimits limits) throws BadMessage {
    return of(head, limits, State.FIXED);
  }

  /** Returns a parser for the content of a response to any method except HEAD. */
  public static BodyParser forResponse(Head head, HttpLimits limits) throws BadMessage {
    if (head.status < 200 || head.status == 204 || head.status == 304) {
      return new BodyParser(limits, State.DONE, 0);
    }
    return of(head, limits, State.UNTIL_CLOSE);
  }

  private static BodyParser of(Head head, HttpLimits limits, State stateWithoutLength)
      throws BadMessage {
    List<String> lengths = head.all("content-length");
    List<String> codings = head.all("transfer-encoding");
    if (!codings.isEmpty()) {
      if (!lengths.isEmpty()) {
        throw BadMessage.malformed("both Content-Length and Transfer-Encoding");
      }
      if (head.minorVersion == 0) {
        throw BadMessage.malformed("Transfer-Encoding in HTTP/1.0");
      }
      if (codings.size() != 1 || !codings.get(0).equalsIgnoreCase("chunked")) {
        throw new BadMessage(Fault.NOT_IMPLEMENTED, "a transfer coding other than chunked alone");
      }
      return new BodyParser(limits, State.SIZE, 0);
    }
    if (lengths.size() > 1) {
      throw BadMessage.malformed("more than one Content-Length");
    }
    if (lengths.isEmpty()) {
      return new BodyParser(limits, stateWithoutLength, 0);
    }
    String length = lengths.get(0);
    if (!length.matches("[0-9]{1,18}")) {
      throw BadMessage.malformed("Content-Length is not a number");
    }
    return new BodyParser(limits, State.FIXED, Long.parseLong(length));
  }

  /** Returns true if the content is complete. */
  public boolean done() {
    return state == State.DONE;
  }

  /** Returns true if the content ends with the connection. */
  public boolean untilClose() {
    return state == State.UNTIL_CLOSE;
  }

  /** Handles the end of the connection; returns true if the content is complete. */
  public boolean endOfInput() {
    if (state == State.UNTIL_CLOSE) {
      state = State.DONE;
    }
    return done();
  }

  /** Returns the content received so far; not a copy if {@link #contentFillsBuffer} is true. */
  public byte[] content() {
    return contentFillsBuffer() ? buffer : Arrays.copyOf(buffer, size);
  }

  /** Returns the number of content bytes received so far. */
  public int size() {
    return size;
  }

  /** Returns true if the content fills the buffer, so that {@link #content} needs no copy. */
  public boolean contentFillsBuffer() {
    return size == buffer.length;
  }

  /** Returns the size of the content buffer. */
  public int bufferBytes() {
    return buffer.length;
  }

  /** Returns the maximum size of the content buffer after {@code more} further bytes are fed. */
  public int bufferBytesAfter(int more) {
    long wanted = size + (state == State.FIXED ? Math.min(more, remaining) : more);
    if (state == State.DONE || wanted <= buffer.length) {
      return buffer.length;
    }
    long max = state == State.FIXED ? size + remaining : limits.maxBodyBytes();
    long grown = Math.max(MIN_BUFFER_BYTES, Math.max(wanted, 2L * buffer.length));
    return (int) Math.max(buffer.length, Math.min(max, grown));
  }

  /** Releases the content; the parser cannot be used afterwards. */
  public void discard() {
    buffer = EMPTY;
    size = 0;
  }

  /**
   * Parses the next bytes.
   *
   * @return the number of bytes used, less than {@code count} only if the content is complete
   * @throws BadMessage if the framing is invalid or the content exceeds the limit
   */
  public int feed(byte[] bytes, int from, int count) throws BadMessage {
    ensureCapacity(bufferBytesAfter(count));
    int used = 0;
    while (used < count && state != State.DONE) {
      if (state == State.FIXED || state == State.DATA || state == State.UNTIL_CLOSE) {
        int take = count - used;
        if (state == State.UNTIL_CLOSE) {
          requireWithinLimit(take);
        } else {
          take = (int) Math.min(take, remaining);
          remaining -= take;
        }
        System.arraycopy(bytes, from + used, buffer, size, take);
        size += take;
        used += take;
        if (remaining == 0 && state != State.UNTIL_CLOSE) {
          state = state == State.FIXED ? State.DONE : State.DATA_CR;
        }
      } else {
        parseFraming(bytes[from + used]);
        used++;
      }
    }
    return used;
  }

  private void ensureCapacity(int bytes) {
    if (bytes > buffer.length) {
      buffer = Arrays.copyOf(buffer, bytes);
    }
  }

  private void requireWithinLimit(long more) throws BadMessage {
    if (size + more > limits.maxBodyBytes()) {
      throw new BadMessage(Fault.TOO_LARGE, "content over " + limits.maxBodyBytes() + " bytes");
    }
  }

  private void parseFraming(byte b) throws BadMessage {
    switch (state) {
      case SIZE -> parseChunkSize(b);
      case EXTENSION -> {
        if (b == '\r') {
          state = State.SIZE_LF;
        } else if (b < 0x20 && b >= 0 && b != '\t' || ++extensionBytes > MAX_EXTENSION_BYTES) {
          throw BadMessage.malformed("a bad or long chunk extension");
        }
      }
      case SIZE_LF -> {
        require(b, '\n', "chunk size");
        requireWithinLimit(remaining);
        state = remaining == 0 ? State.TRAILER : State.DATA;
        sizeDigits = 0;
        extensionBytes = 0;
      }
      case DATA_CR -> {
        require(b, '\r', "chunk");
        state = State.DATA_LF;
      }
      case DATA_LF -> {
        require(b, '\n', "chunk");
        state = State.SIZE;
      }
      case TRAILER -> parseTrailer(b);
      case TRAILER_LF -> {
        require(b, '\n', "trailer");
        state = trailerLineBytes == 0 ? State.DONE : State.TRAILER;
        trailerLineBytes = 0;
      }
      default -> throw new IllegalStateException(state.name());
    }
  }

  private void parseChunkSize(byte b) throws BadMessage {
    int digit = Character.digit((char) (b & 0xff), 16);
    if (digit >= 0 && b > 0) {
      if (++sizeDigits > 15) {
        throw BadMessage.malformed("a chunk size of more than 15 digits");
      }
      remaining = remaining * 16 + digit;
    } else if (sizeDigits > 0 && (b == '\r' || b == ';')) {
      state = b == '\r' ? State.SIZE_LF : State.EXTENSION;
    } else {
      throw BadMessage.malformed("a chunk size that is not a hexadecimal number");
    }
  }

  /** Skips trailer fields: they are not used, and merging them into the header section would be unsafe. */
  private void parseTrailer(byte b) throws BadMessage {
    if (++trailerBytes > limits.maxHeadBytes()) {
      throw new BadMessage(
          Fault.HEADERS_TOO_LARGE, "trailer section over " + limits.maxHeadBytes() + " bytes");
    }
    if (b == '\r') {
      state = State.TRAILER_LF;
    } else if (b == '\n') {
      throw BadMessage.malformed("bare LF in the trailer section");
    } else {
      trailerLineBytes++;
    }
  }

  private static void require(byte b, char wanted, String where) throws BadMessage {
    if (b != wanted) {
      throw BadMessage.malformed("a " + where + " that does not end in CRLF");
    }
  }
}
