package gorseladder.wire.fastcgi;

import java.util.Arrays;

/**
 * Reads the records that a web server sends to a responder (FastCGI Specification 1.0, section 3.3 and section 8), in
 * pieces of any size. Streams are handed on as they come and never gathered here; the only bytes kept are a header and
 * the content of the short records, {@value #MOST_KEPT} bytes at the most.
 *
 * <p>Not thread safe.
 */
public final class RecordParser {
  /** Content of a management record at the most; a longer one is refused. */
  private static final int MOST_KEPT = 1_024;

  private static final int HEADER = 8;
  private static final int BEGIN_LENGTH = 8;

  static final int VERSION = 1;
  static final int BEGIN_REQUEST = 1;
  static final int ABORT_REQUEST = 2;
  public static final int END_REQUEST = 3;
  static final int PARAMS = 4;
  static final int STDIN = 5;
  static final int STDOUT = 6;
  static final int DATA = 8;
  static final int GET_VALUES = 9;
  static final int GET_VALUES_RESULT = 10;
  static final int UNKNOWN_TYPE = 11;

  /** Hears what the records say; ids are 1 to 65535. Bytes are only valid during the call. */
  public interface Sink {
    /** BEGIN_REQUEST: the role (1 is the responder) and whether the connection is kept. */
    void begin(int id, int role, boolean keepsConnection);

    /** ABORT_REQUEST. */
    void abort(int id);

    /** A piece of the PARAMS stream. */
    void params(int id, byte[] bytes, int from, int length);

    /** The end of the PARAMS stream. */
    void paramsEnd(int id);

    /** A piece of the STDIN stream. */
    void stdin(int id, byte[] bytes, int from, int length);

    /** The end of the STDIN stream. */
    void stdinEnd(int id);

    /** GET_VALUES: the name-value pairs as sent. */
    void getValues(byte[] content);

    /** A management record of a type that is not known, to be answered with UNKNOWN_TYPE (section 4.2). */
    void unknownType(int type);
  }

  private final byte[] kept = new byte[MOST_KEPT];
  private final byte[] header = new byte[HEADER];
  private int headerHas;
  private int keptHas;
  private int contentLeft;
  private int paddingLeft;
  private int type;
  private int id;

  /** True between records. */
  public boolean isBetweenRecords() {
    return headerHas == 0;
  }

  /**
   * Reads a piece.
   *
   * @throws BadRecord where the bytes cannot be records; nothing may be fed after that
   */
  public void feed(byte[] bytes, int from, int length, Sink sink) throws BadRecord {
    int at = from;
    int end = from + length;
    while (at < end) {
      if (headerHas < HEADER) {
        header[headerHas++] = bytes[at++];
        if (headerHas == HEADER) {
          begins();
          if (contentLeft == 0) {
            contentDone(sink);
          }
        }
      } else if (contentLeft > 0) {
        int part = Math.min(contentLeft, end - at);
        content(bytes, at, part, sink);
        at += part;
        contentLeft -= part;
        if (contentLeft == 0) {
          contentDone(sink);
        }
      } else {
        int part = Math.min(paddingLeft, end - at);
        at += part;
        paddingLeft -= part;
      }
      if (headerHas == HEADER && contentLeft == 0 && paddingLeft == 0) {
        headerHas = 0;
      }
    }
  }

  private void begins() throws BadRecord {
    if (header[0] != VERSION) {
      throw new BadRecord("version " + (header[0] & 0xff));
    }
    type = header[1] & 0xff;
    id = unsigned(header, 2);
    contentLeft = unsigned(header, 4);
    paddingLeft = header[6] & 0xff;
    keptHas = 0;
    boolean stream = type == PARAMS || type == STDIN || type == DATA;
    if (id == 0 && (stream || type == BEGIN_REQUEST || type == ABORT_REQUEST)) {
      throw new BadRecord("a request record of type " + type + " without a request");
    }
    if (type == BEGIN_REQUEST && contentLeft != BEGIN_LENGTH) {
      throw new BadRecord("BEGIN_REQUEST of " + contentLeft + " bytes");
    }
    if (type == GET_VALUES && contentLeft > MOST_KEPT) {
      throw new BadRecord("GET_VALUES of " + contentLeft + " bytes");
    }
  }

  private void content(byte[] bytes, int from, int length, Sink sink) {
    switch (type) {
      case PARAMS -> sink.params(id, bytes, from, length);
      case STDIN -> sink.stdin(id, bytes, from, length);
      case BEGIN_REQUEST, GET_VALUES -> {
        System.arraycopy(bytes, from, kept, keptHas, length);
        keptHas += length;
      }
      default -> {}
    }
  }

  private void contentDone(Sink sink) {
    boolean empty = unsigned(header, 4) == 0;
    switch (type) {
      case BEGIN_REQUEST -> sink.begin(id, unsigned(kept, 0), (kept[2] & 1) != 0);
      case ABORT_REQUEST -> sink.abort(id);
      case PARAMS -> {
        if (empty) {
          sink.paramsEnd(id);
        }
      }
      case STDIN -> {
        if (empty) {
          sink.stdinEnd(id);
        }
      }
      case GET_VALUES -> sink.getValues(Arrays.copyOf(kept, keptHas));
      default -> {
        if (id == 0) {
          sink.unknownType(type);
        }
      }
    }
  }

  private static int unsigned(byte[] bytes, int at) {
    return (bytes[at] & 0xff) << 8 | bytes[at + 1] & 0xff;
  }
}
