package gorseladder.wire.fastcgi;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Writes the records of a responder, and those of a web server for tests and stand-ins (FastCGI Specification 1.0).
 * Pure functions; any thread. Request ids are 1 to 65535.
 */
public final class RecordWriter {
  /** Protocol status of END_REQUEST (section 5.5). */
  public enum Status {
    REQUEST_COMPLETE,
    CANT_MPX_CONN,
    OVERLOADED,
    UNKNOWN_ROLE
  }

  private static final int MOST_CONTENT = 32_768;
  private static final int RESPONDER = 1;

  private RecordWriter() {}

  /** A whole CGI response in STDOUT records, the end of that stream and END_REQUEST, to be written in one go. */
  public static byte[] response(int id, int status, Map<String, String> fields, byte[] body) {
    StringBuilder head = new StringBuilder("Status: ").append(status).append("\r\n");
    fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    byte[] first = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    ByteArrayOutputStream out = new ByteArrayOutputStream(first.length + body.length + 64);
    byte[] all = new byte[first.length + body.length];
    System.arraycopy(first, 0, all, 0, first.length);
    System.arraycopy(body, 0, all, first.length, body.length);
    stream(out, RecordParser.STDOUT, id, all);
    out.writeBytes(endRequest(id, Status.REQUEST_COMPLETE, 0));
    return out.toByteArray();
  }

  /** END_REQUEST alone. */
  public static byte[] endRequest(int id, Status status, int appStatus) {
    byte[] content = {
      (byte) (appStatus >>> 24),
      (byte) (appStatus >>> 16),
      (byte) (appStatus >>> 8),
      (byte) appStatus,
      (byte) status.ordinal(),
      0,
      0,
      0
    };
    return record(RecordParser.END_REQUEST, id, content);
  }

  /** The answer to GET_VALUES. */
  public static byte[] valuesResult(Map<String, String> pairs) {
    return record(RecordParser.GET_VALUES_RESULT, 0, NameValues.write(pairs));
  }

  /** The answer to a management record of unknown type. */
  public static byte[] unknownType(int type) {
    return record(RecordParser.UNKNOWN_TYPE, 0, new byte[] {(byte) type, 0, 0, 0, 0, 0, 0, 0});
  }

  /** A whole request of a web server to a responder. */
  public static byte[] request(
      int id, boolean keepsConnection, Map<String, String> params, byte[] body) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(record(RecordParser.BEGIN_REQUEST, id, new byte[] {
      0, RESPONDER, (byte) (keepsConnection ? 1 : 0), 0, 0, 0, 0, 0
    }));
    stream(out, RecordParser.PARAMS, id, NameValues.write(params));
    stream(out, RecordParser.STDIN, id, body);
    return out.toByteArray();
  }

  /** ABORT_REQUEST. */
  public static byte[] abort(int id) {
    return record(RecordParser.ABORT_REQUEST, id, new byte[0]);
  }

  /** Content in records of a stream, and the empty record that ends it. */
  private static void stream(ByteArrayOutputStream out, int type, int id, byte[] content) {
    for (int from = 0; from < content.length; from += MOST_CONTENT) {
      int length = Math.min(MOST_CONTENT, content.length - from);
      header(out, type, id, length);
      out.write(content, from, length);
      out.writeBytes(new byte[-length & 7]);
    }
    header(out, type, id, 0);
  }

  private static byte[] record(int type, int id, byte[] content) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(8 + content.length);
    header(out, type, id, content.length);
    out.writeBytes(content);
    out.writeBytes(new byte[-content.length & 7]);
    return out.toByteArray();
  }

  /** Padding keeps records at multiples of eight bytes, as section 3.3 recommends. */
  private static void header(ByteArrayOutputStream out, int type, int id, int length) {
    out.writeBytes(new byte[] {
      RecordParser.VERSION,
      (byte) type,
      (byte) (id >>> 8),
      (byte) id,
      (byte) (length >>> 8),
      (byte) length,
      (byte) (-length & 7),
      0
    });
  }
}
