package gorseladder.wire.http1;

import gorseladder.wire.http1.BadMessage.Fault;
import java.nio.charset.StandardCharsets;

/**
 * Incremental parser for the start line and header section of one HTTP/1 message (RFC 9112 sections 2 to 5).
 *
 * <p>Stricter than the RFC requires wherever leniency would let two parsers see different requests (request smuggling):
 * a line must end in CRLF (a bare LF or CR is malformed), and folded lines, white space before a colon and control
 * characters in a value are malformed. Not thread safe; one instance per message.
 */
public final class HeadParser {
  private static final boolean[] TOKEN_CHARS = new boolean[128];

  static {
    for (char c : "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
        .toCharArray()) {
      TOKEN_CHARS[c] = true;
    }
  }

  /** Memory of a parser and of an empty head. */
  private static final int EMPTY_BYTES = 512;

  /** Memory of a field beside its characters: the field, its place in the list and two strings. */
  private static final int FIELD_BYTES = 144;

  /** The shortest field with its line end. */
  private static final int MIN_FIELD_LENGTH = 4;

  private final HttpLimits limits;
  private final boolean request;
  private Head head = new Head();
  private byte[] line = new byte[256];
  private int lineLength;
  private boolean sawCr;
  private int headBytes;
  private int fieldCount;
  private int emptyLines;
  private boolean done;

  private HeadParser(HttpLimits limits, boolean request) {
    this.limits = limits;
    this.request = request;
  }

  /** Returns a parser for one request. */
  public static HeadParser forRequest(HttpLimits limits) {
    return new HeadParser(limits, true);
  }

  /** Returns a parser for one response. */
  public static HeadParser forResponse(HttpLimits limits) {
    return new HeadParser(limits, false);
  }

  /** Returns true if the empty line that ends the section has been read. */
  public boolean done() {
    return done;
  }

  /**
   * Returns the parsed head.
   *
   * @throws IllegalStateException if {@link #done()} is false
   */
  public Head head() {
    if (!done) {
      throw new IllegalStateException("the header section is not complete");
    }
    return head;
  }

  /** Memory of what was parsed so far, in bytes: fields take more than their characters. */
  public int memoryBytes() {
    return EMPTY_BYTES + line.length + headBytes + fieldCount * FIELD_BYTES;
  }

  /** By how many bytes {@link #memoryBytes} may grow at most when this many bytes are parsed. */
  public int maxGrowth(int count) {
    int fields = Math.min(1 + count / MIN_FIELD_LENGTH, limits.maxFields() - fieldCount);
    int longerLine = Math.min(limits.maxLineBytes(), 2 * (lineLength + count));
    return count + Math.max(0, fields) * FIELD_BYTES + Math.max(0, longerLine - line.length);
  }

  /** Releases what was parsed; the parser cannot be used afterwards. */
  public void discard() {
    head = new Head();
    line = new byte[0];
  }

  /**
   * Parses the next bytes.
   *
   * @return the number of bytes used, less than {@code count} only if the head is complete
   * @throws BadMessage if the bytes are not a valid head or exceed a limit
   */
  public int feed(byte[] bytes, int from, int count) throws BadMessage {
    int used = 0;
    while (used < count && !done) {
      parse(bytes[from + used]);
      used++;
    }
    return used;
  }

  private void parse(byte b) throws BadMessage {
    if (++headBytes > limits.maxHeadBytes()) {
      throw new BadMessage(
          Fault.HEADERS_TOO_LARGE, "header section over " + limits.maxHeadBytes() + " bytes");
    }
    if (sawCr) {
      if (b != '\n') {
        throw BadMessage.malformed("bare CR in the header section");
      }
      sawCr = false;
      endLine();
    } else if (b == '\r') {
      sawCr = true;
    } else if (b == '\n') {
      throw BadMessage.malformed("bare LF in the header section");
    } else {
      if (lineLength == limits.maxLineBytes()) {
        throw new BadMessage(
            Fault.HEADERS_TOO_LARGE, "a header line over " + limits.maxLineBytes() + " bytes");
      }
      if (lineLength == line.length) {
        line = java.util.Arrays.copyOf(line, Math.min(limits.maxLineBytes(), line.length * 2));
      }
      line[lineLength++] = b;
    }
  }

  private void endLine() throws BadMessage {
    boolean first = head.method.isEmpty() && head.status == 0;
    if (first && lineLength == 0) {
      // RFC 9112 section 2.2: an empty line before the request line is skipped, but only one.
      if (!request || ++emptyLines > 1) {
        throw BadMessage.malformed("empty lines before the start line");
      }
      return;
    }
    if (first) {
      if (request) {
        parseRequestLine();
      } else {
        parseStatusLine();
      }
    } else if (lineLength == 0) {
      finish();
    } else {
      parseField();
    }
    lineLength = 0;
  }

  private String text(int from, int to) {
    return new String(line, from, to - from, StandardCharsets.ISO_8859_1);
  }

  private int indexOf(char c, int from) {
    for (int i = from; i < lineLength; i++) {
      if (line[i] == c) {
        return i;
      }
    }
    return -1;
  }

  private void parseRequestLine() throws BadMessage {
    int firstSpace = indexOf(' ', 0);
    int secondSpace = firstSpace < 0 ? -1 : indexOf(' ', firstSpace + 1);
    if (firstSpace <= 0 || secondSpace <= firstSpace + 1 || indexOf(' ', secondSpace + 1) >= 0) {
      throw BadMessage.malformed("the request line is not 'method target version'");
    }
    requireToken(0, firstSpace, "method");
    for (int i = firstSpace + 1; i < secondSpace; i++) {
      if (line[i] <= 0x20 || line[i] == 0x7f) {
        throw BadMessage.malformed("a control or non-ASCII character in the request target");
      }
    }
    head.target = text(firstSpace + 1, secondSpace);
    head.minorVersion = parseVersion(secondSpace + 1, lineLength);
    head.method = text(0, firstSpace);
  }

  private void parseStatusLine() throws BadMessage {
    int space = indexOf(' ', 0);
    if (space < 0 || lineLength < space + 4 || lineLength > space + 4 && line[space + 4] != ' ') {
      throw BadMessage.malformed("the status line is not 'version status reason'");
    }
    head.minorVersion = parseVersion(0, space);
    int status = 0;
    for (int i = space + 1; i < space + 4; i++) {
      if (line[i] < '0' || line[i] > '9') {
        throw BadMessage.malformed("the status is not three digits");
      }
      status = status * 10 + line[i] - '0';
    }
    if (status < 100 || status > 599) {
      throw BadMessage.malformed("status " + status);
    }
    head.status = status;
  }

  private int parseVersion(int from, int to) throws BadMessage {
    String version = text(from, to);
    if (version.equals("HTTP/1.1")) {
      return 1;
    }
    if (version.equals("HTTP/1.0")) {
      return 0;
    }
    boolean http = version.matches("HTTP/\\d\\.\\d");
    throw new BadMessage(
        http ? Fault.WRONG_VERSION : Fault.MALFORMED, "version is not HTTP/1.1 or HTTP/1.0");
  }

  private void parseField() throws BadMessage {
    if (++fieldCount > limits.maxFields()) {
      throw new BadMessage(
          Fault.HEADERS_TOO_LARGE, "more than " + limits.maxFields() + " header fields");
    }
    if (line[0] == ' ' || line[0] == '\t') {
      throw BadMessage.malformed("a folded header line");
    }
    int colon = indexOf(':', 0);
    if (colon <= 0) {
      throw BadMessage.malformed("a header line without a name");
    }
    requireToken(0, colon, "header name");
    int from = colon + 1;
    int to = lineLength;
    while (from < to && (line[from] == ' ' || line[from] == '\t')) {
      from++;
    }
    while (to > from && (line[to - 1] == ' ' || line[to - 1] == '\t')) {
      to--;
    }
    for (int i = from; i < to; i++) {
      if (line[i] >= 0 && line[i] < 0x20 && line[i] != '\t' || line[i] == 0x7f) {
        throw BadMessage.malformed("a control character in a header value");
      }
    }
    head.add(text(0, colon), text(from, to));
  }

  private void requireToken(int from, int to, String what) throws BadMessage {
    for (int i = from; i < to; i++) {
      if (line[i] < 0 || !TOKEN_CHARS[line[i]]) {
        throw BadMessage.malformed("a character that a " + what + " cannot have");
      }
    }
  }

  private void finish() throws BadMessage {
    if (request && head.minorVersion == 1 && head.all("host").size() != 1) {
      throw BadMessage.malformed("a request needs exactly one Host field (RFC 9112 section 3.2)");
    }
    done = true;
  }
}
