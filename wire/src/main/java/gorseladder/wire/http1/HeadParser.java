package gorseladder.wire.http1;

import gorseladder.wire.http1.BadMessage.Fault;
import java.nio.charset.StandardCharsets;

/**
 * Reads the start line and header section of one HTTP/1 message, byte by byte, as they arrive (RFC 9112 sections 2 to
 * 5).
 *
 * <p>Stricter than the RFC allows a recipient to be, wherever leniency lets two parsers see two different requests: a
 * line must end in CRLF (a bare LF or CR is malformed), folded lines and white space before a colon are malformed, and
 * so are control characters in a value. Not thread safe; one instance for one message.
 */
public final class HeadParser {
  private static final boolean[] TOKEN = new boolean[128];

  static {
    for (char c : "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
        .toCharArray()) {
      TOKEN[c] = true;
    }
  }

  private final HttpLimits limits;
  private final boolean request;
  private Head head = new Head();
  private byte[] line = new byte[256];
  private int length;
  private boolean sawCr;
  private int total;
  private int fieldCount;
  private int emptyLines;
  private boolean done;

  private HeadParser(HttpLimits limits, boolean request) {
    this.limits = limits;
    this.request = request;
  }

  /** A parser for one request. */
  public static HeadParser forRequest(HttpLimits limits) {
    return new HeadParser(limits, true);
  }

  /** A parser for one response. */
  public static HeadParser forResponse(HttpLimits limits) {
    return new HeadParser(limits, false);
  }

  /** True once the empty line that ends the section was read. */
  public boolean done() {
    return done;
  }

  /** The parsed head; only once {@link #done()}. */
  public Head head() {
    if (!done) {
      throw new IllegalStateException("the header section is not complete");
    }
    return head;
  }

  /** Lets go of what came so far; nothing may be fed after that. */
  public void discard() {
    head = new Head();
    line = new byte[0];
  }

  /**
   * Takes bytes; returns how many it used, which is fewer than given only once the head is done.
   *
   * @throws BadMessage where the bytes cannot begin a message that this parser takes
   */
  public int feed(byte[] bytes, int from, int count) throws BadMessage {
    int used = 0;
    while (used < count && !done) {
      take(bytes[from + used]);
      used++;
    }
    return used;
  }

  private void take(byte b) throws BadMessage {
    if (++total > limits.maxHeadBytes()) {
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
      if (length == limits.maxLineBytes()) {
        throw new BadMessage(
            Fault.HEADERS_TOO_LARGE, "a header line over " + limits.maxLineBytes() + " bytes");
      }
      if (length == line.length) {
        line = java.util.Arrays.copyOf(line, Math.min(limits.maxLineBytes(), line.length * 2));
      }
      line[length++] = b;
    }
  }

  private void endLine() throws BadMessage {
    boolean first = head.method.isEmpty() && head.status == 0;
    if (first && length == 0) {
      // RFC 9112 section 2.2: an empty line before the request line is passed over, but not
      // endlessly.
      if (!request || ++emptyLines > 1) {
        throw BadMessage.malformed("empty lines before the start line");
      }
      return;
    }
    if (first) {
      if (request) {
        requestLine();
      } else {
        statusLine();
      }
    } else if (length == 0) {
      finish();
    } else {
      field();
    }
    length = 0;
  }

  private String text(int from, int to) {
    return new String(line, from, to - from, StandardCharsets.ISO_8859_1);
  }

  private int find(char c, int from) {
    for (int i = from; i < length; i++) {
      if (line[i] == c) {
        return i;
      }
    }
    return -1;
  }

  private void requestLine() throws BadMessage {
    int a = find(' ', 0);
    int b = a < 0 ? -1 : find(' ', a + 1);
    if (a <= 0 || b <= a + 1 || find(' ', b + 1) >= 0) {
      throw BadMessage.malformed("the request line is not 'method target version'");
    }
    requireToken(0, a, "method");
    for (int i = a + 1; i < b; i++) {
      if (line[i] <= 0x20 || line[i] == 0x7f) {
        throw BadMessage.malformed("a control or non-ASCII character in the request target");
      }
    }
    head.target = text(a + 1, b);
    head.minorVersion = version(b + 1, length);
    head.method = text(0, a);
  }

  private void statusLine() throws BadMessage {
    int a = find(' ', 0);
    if (a < 0 || length < a + 4 || length > a + 4 && line[a + 4] != ' ') {
      throw BadMessage.malformed("the status line is not 'version status reason'");
    }
    head.minorVersion = version(0, a);
    int status = 0;
    for (int i = a + 1; i < a + 4; i++) {
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

  private int version(int from, int to) throws BadMessage {
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

  private void field() throws BadMessage {
    if (++fieldCount > limits.maxFields()) {
      throw new BadMessage(
          Fault.HEADERS_TOO_LARGE, "more than " + limits.maxFields() + " header fields");
    }
    if (line[0] == ' ' || line[0] == '\t') {
      throw BadMessage.malformed("a folded header line");
    }
    int colon = find(':', 0);
    if (colon <= 0) {
      throw BadMessage.malformed("a header line without a name");
    }
    requireToken(0, colon, "header name");
    int from = colon + 1;
    int to = length;
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
      if (line[i] < 0 || !TOKEN[line[i]]) {
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
