package gorseladder.wire.fastcgi;

import java.util.Arrays;

/**
 * Incremental parser for the records that a web server sends to a responder (FastCGI Specification 1.0, sections 3.3
 * and 8), fed in chunks of any size. Stream content is passed on as it arrives and not buffered. Only a header and the
 * content of BEGIN_REQUEST and GET_VALUES records are kept, {@value #MAX_KEPT_BYTES} bytes at most.
 *
 * <p>Not thread safe.
 */
public final class RecordParser {
  /** Maximum content of a GET_VALUES record; a longer one is rejected. */
  private static final int MAX_KEPT_BYTES = 1_024;

  private static final int HEADER_BYTES = 8;
  private static final int BEGIN_REQUEST_BYTES = 8;

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

  /** Receives parsed records. Request ids are 1 to 65535. Byte arrays passed are valid only during the call. */
  public interface Sink {
    /** BEGIN_REQUEST: the role (1 is the responder) and whether the connection stays open after the request. */
    void begin(int id, int role, boolean keepsConnection);

    /** ABORT_REQUEST. */
    void abort(int id);

    /** A chunk of the PARAMS stream. */
    void params(int id, byte[] bytes, int from, int length);

    /** The end of the PARAMS stream. */
    void paramsEnd(int id);

    /** A chunk of the STDIN stream. */
    void stdin(int id, byte[] bytes, int from, int length);

    /** The end of the STDIN stream. */
    void stdinEnd(int id);

    /** GET_VALUES: the encoded name-value pairs. */
    void getValues(byte[] content);

    /** A management record of an unknown type, to be answered with UNKNOWN_TYPE (section 4.2). */
    void unknownType(int type);
  }

  private final byte[] kept = new byte[MAX_KEPT_BYTES];
  private final byte[] header = new byte[HEADER_BYTES];
  private int headerLength;
  private int keptLength;
  private int contentRemaining;
  private int paddingRemaining;
  private int type;
  private int id;

  /** Returns true if no record is partly read. */
  public boolean isBetweenRecords() {
    return headerLength == 0;
  }

  /**
   * Parses the next bytes.
   *
   * @throws BadRecord if the bytes violate the protocol; the parser cannot be used afterwards
   */
  public void feed(byte[] bytes, int from, int length, Sink sink) throws BadRecord {
    int at = from;
    int end = from + length;
    while (at < end) {
      if (headerLength < HEADER_BYTES) {
        header[headerLength++] = bytes[at++];
        if (headerLength == HEADER_BYTES) {
          parseHeader();
          if (contentRemaining == 0) {
            endRecord(sink);
          }
        }
      } else if (contentRemaining > 0) {
        int part = Math.min(contentRemaining, end - at);
        handleContent(bytes, at, part, sink);
        at += part;
        contentRemaining -= part;
        if (contentRemaining == 0) {
          endRecord(sink);
        }
      } else {
        int part = Math.min(paddingRemaining, end - at);
        at += part;
        paddingRemaining -= part;
      }
      if (headerLength == HEADER_BYTES && contentRemaining == 0 && paddingRemaining == 0) {
        headerLength = 0;
      }
    }
  }

  private void parseHeader() throws BadRecord {
    if (header[0] != VERSION) {
      throw new BadRecord("unsupported version " + (header[0] & 0xff));
    }
    type = header[1] & 0xff;
    id = unsignedShort(header, 2);
    contentRemaining = unsignedShort(header, 4);
    paddingRemaining = header[6] & 0xff;
    keptLength = 0;
    boolean stream = type == PARAMS || type == STDIN || type == DATA;
    if (id == 0 && (stream || type == BEGIN_REQUEST || type == ABORT_REQUEST)) {
      throw new BadRecord("a request record of type " + type + " with request id 0");
    }
    if (type == BEGIN_REQUEST && contentRemaining != BEGIN_REQUEST_BYTES) {
      throw new BadRecord("unexpected length of BEGIN_REQUEST: " + contentRemaining + " bytes");
    }
    if (type == GET_VALUES && contentRemaining > MAX_KEPT_BYTES) {
      throw new BadRecord("GET_VALUES over the limit: " + contentRemaining + " bytes");
    }
  }

  private void handleContent(byte[] bytes, int from, int length, Sink sink) {
    switch (type) {
      case PARAMS -> sink.params(id, bytes, from, length);
      case STDIN -> sink.stdin(id, bytes, from, length);
      case BEGIN_REQUEST, GET_VALUES -> {
        System.arraycopy(bytes, from, kept, keptLength, length);
        keptLength += length;
      }
      default -> {}
    }
  }

  private void endRecord(Sink sink) {
    boolean empty = unsignedShort(header, 4) == 0;
    switch (type) {
      case BEGIN_REQUEST -> sink.begin(id, unsignedShort(kept, 0), (kept[2] & 1) != 0);
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
      case GET_VALUES -> sink.getValues(Arrays.copyOf(kept, keptLength));
      default -> {
        if (id == 0) {
          sink.unknownType(type);
        }
      }
    }
  }

  private static int unsignedShort(byte[] bytes, int at) {
    return (bytes[at] & 0xff) << 8 | bytes[at + 1] & 0xff;
  }
}
