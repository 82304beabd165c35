package gorseladder.wire.http1;

import gorseladder.wire.http1.BadMessage.Fault;
import java.util.Arrays;
import java.util.List;

/**
 * Reads the content of one message as it arrives: of a told length, chunked, or up to the end of the connection (RFC
 * 9112 sections 6 and 7). A message whose length two readers could see differently is malformed: both length fields,
 * more than one Content-Length (even alike), a sign or any other character in it. Memory grows with what has come, not
 * with what is announced; {@link #bufferBytesAfter} tells how much before it is fed. Not thread safe; one instance for one
 * message.
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

  private static final int MOST_EXTENSION = 256;
  private static final int LEAST_HELD = 512;
  private static final byte[] NOTHING = {};

  private final HttpLimits limits;
  private byte[] content = NOTHING;
  private int size;
  private State state;
  private long left;
  private int digits;
  private int extension;
  private int trailerLine;
  private int trailerTotal;

  private BodyParser(HttpLimits limits, State state, long left) throws BadMessage {
    this.limits = limits;
    this.state = state;
    this.left = left;
    if (state == State.FIXED) {
      requireRoom(left);
      if (left == 0) {
        this.state = State.DONE;
      }
    }
  }

  /** The parser for the content of a request. */
  public static BodyParser forRequest(Head head, HttpLimits limits) throws BadMessage {
    return of(head, limits, State.FIXED);
  }

  /** The parser for the content of a response to anything but HEAD. */
  public static BodyParser forResponse(Head head, HttpLimits limits) throws BadMessage {
    if (head.status < 200 || head.status == 204 || head.status == 304) {
      return new BodyParser(limits, State.DONE, 0);
    }
    return of(head, limits, State.UNTIL_CLOSE);
  }

  private static BodyParser of(Head head, HttpLimits limits, State untold) throws BadMessage {
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
      return new BodyParser(limits, untold, 0);
    }
    String length = lengths.get(0);
    if (!length.matches("[0-9]{1,18}")) {
      throw BadMessage.malformed("Content-Length is not a number");
    }
    return new BodyParser(limits, State.FIXED, Long.parseLong(length));
  }

  /** True once the content is complete. */
  public boolean done() {
    return state == State.DONE;
  }

  /** True where the content ends with the connection. */
  public boolean untilClose() {
    return state == State.UNTIL_CLOSE;
  }

  /** Tells that the connection ended; true where that completes the content. */
  public boolean endOfInput() {
    if (state == State.UNTIL_CLOSE) {
      state = State.DONE;
    }
    return done();
  }

  /** The content so far; not a copy where {@link #contentFillsBuffer} holds. */
  public byte[] content() {
    return contentFillsBuffer() ? content : Arrays.copyOf(content, size);
  }

  /** Bytes of the content so far. */
  public int size() {
    return size;
  }

  /** True where the content fills what is held for it, so that it can be handed over as it is. */
  public boolean contentFillsBuffer() {
    return size == content.length;
  }

  /** Bytes of memory held for the content. */
  public int bufferBytes() {
    return content.length;
  }

  /** Bytes of memory held for the content at the most once so many bytes more were fed. */
  public int bufferBytesAfter(int more) {
    long wanted = size + (state == State.FIXED ? Math.min(more, left) : more);
    if (state == State.DONE || wanted <= content.length) {
      return content.length;
    }
    long most = state == State.FIXED ? size + left : limits.maxBodyBytes();
    long grown = Math.max(LEAST_HELD, Math.max(wanted, 2L * content.length));
    return (int) Math.max(content.length, Math.min(most, grown));
  }

  /** Lets go of the content; nothing may be fed after that. */
  public void discard() {
    content = NOTHING;
    size = 0;
  }

  /**
   * Takes bytes; returns how many it used, which is fewer than given only once the content is complete.
   *
   * @throws BadMessage where they break the framing or the content passes the limit
   */
  public int feed(byte[] bytes, int from, int count) throws BadMessage {
    hold(bufferBytesAfter(count));
    int used = 0;
    while (used < count && state != State.DONE) {
      if (state == State.FIXED || state == State.DATA || state == State.UNTIL_CLOSE) {
        int take = count - used;
        if (state == State.UNTIL_CLOSE) {
          requireRoom(take);
        } else {
          take = (int) Math.min(take, left);
          left -= take;
        }
        System.arraycopy(bytes, from + used, content, size, take);
        size += take;
        used += take;
        if (left == 0 && state != State.UNTIL_CLOSE) {
          state = state == State.FIXED ? State.DONE : State.DATA_CR;
        }
      } else {
        framing(bytes[from + used]);
        used++;
      }
    }
    return used;
  }

  private void hold(int bytes) {
    if (bytes > content.length) {
      content = Arrays.copyOf(content, bytes);
    }
  }

  private void requireRoom(long more) throws BadMessage {
    if (size + more > limits.maxBodyBytes()) {
      throw new BadMessage(Fault.TOO_LARGE, "content over " + limits.maxBodyBytes() + " bytes");
    }
  }

  private void framing(byte b) throws BadMessage {
    switch (state) {
      case SIZE -> size(b);
      case EXTENSION -> {
        if (b == '\r') {
          state = State.SIZE_LF;
        } else if (b < 0x20 && b >= 0 && b != '\t' || ++extension > MOST_EXTENSION) {
          throw BadMessage.malformed("a bad or long chunk extension");
        }
      }
      case SIZE_LF -> {
        require(b, '\n', "chunk size");
        requireRoom(left);
        state = left == 0 ? State.TRAILER : State.DATA;
        digits = 0;
        extension = 0;
      }
      case DATA_CR -> {
        require(b, '\r', "chunk");
        state = State.DATA_LF;
      }
      case DATA_LF -> {
        require(b, '\n', "chunk");
        state = State.SIZE;
      }
      case TRAILER -> trailer(b);
      case TRAILER_LF -> {
        require(b, '\n', "trailer");
        state = trailerLine == 0 ? State.DONE : State.TRAILER;
        trailerLine = 0;
      }
      default -> throw new IllegalStateException(state.name());
    }
  }

  private void size(byte b) throws BadMessage {
    int digit = Character.digit((char) (b & 0xff), 16);
    if (digit >= 0 && b > 0) {
      if (++digits > 15) {
        throw BadMessage.malformed("a chunk size of more than 15 digits");
      }
      left = left * 16 + digit;
    } else if (digits > 0 && (b == '\r' || b == ';')) {
      state = b == '\r' ? State.SIZE_LF : State.EXTENSION;
    } else {
      throw BadMessage.malformed("a chunk size that is not a hexadecimal number");
    }
  }

  /** Trailer fields are read past: nothing here uses them and merging them into the header is unsafe. */
  private void trailer(byte b) throws BadMessage {
    if (++trailerTotal > limits.maxHeadBytes()) {
      throw new BadMessage(
          Fault.HEADERS_TOO_LARGE, "trailer section over " + limits.maxHeadBytes() + " bytes");
    }
    if (b == '\r') {
      state = State.TRAILER_LF;
    } else if (b == '\n') {
      throw BadMessage.malformed("bare LF in the trailer section");
    } else {
      trailerLine++;
    }
  }

  private static void require(byte b, char wanted, String where) throws BadMessage {
    if (b != wanted) {
      throw BadMessage.malformed("a " + where + " that does not end in CRLF");
    }
  }
}
