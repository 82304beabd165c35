package gorseladder.wire.fastcgi;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Encodes the records of a responder, and those of a web server for tests and simulated clients (FastCGI Specification
 * 1.0). Stateless and thread safe. Request ids are 1 to 65535.
 */
public final class RecordWriter {
  /** Protocol status of END_REQUEST (section 5.5). */
  public enum Status {
    REQUEST_COMPLETE,
    CANT_MPX_CONN,
    OVERLOADED,
    UNKNOWN_ROLE
  }

  private static final int MAX_CONTENT_BYTES = 32_768;
  private static final int RESPONDER = 1;

  private RecordWriter() {}

  /** Encodes a whole CGI response: STDOUT records, the end of that stream and END_REQUEST, for a single write. */
  public static byte[] response(int id, int status, Map<String, String> fields, byte[] body) {
    StringBuilder head = new StringBuilder("Status: ").append(status).append("\r\n");
    fields.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    byte[] headBytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    ByteArrayOutputStream out = new ByteArrayOutputStream(headBytes.length + body.length + 64);
    byte[] content = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, content, 0, headBytes.length);
    System.arraycopy(body, 0, content, headBytes.length, body.length);
    stream(out, RecordParser.STDOUT, id, content);
    out.writeBytes(endRequest(id, Status.REQUEST_COMPLETE, 0));
    return out.toByteArray();
  }

  /** Encodes END_REQUEST. */
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

  /** Encodes GET_VALUES_RESULT. */
  public static byte[] valuesResult(Map<String, String> pairs) {
    return record(RecordParser.GET_VALUES_RESULT, 0, NameValues.write(pairs));
  }

  /** Encodes UNKNOWN_TYPE, the answer to a management record of unknown type. */
  public static byte[] unknownType(int type) {
    return record(RecordParser.UNKNOWN_TYPE, 0, new byte[] {(byte) type, 0, 0, 0, 0, 0, 0, 0});
  }

  /**
   * Encodes a whole request of a web server to a responder.
   *
   * @param keepsConnection whether the connection stays open after the request
   */
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

  /** Encodes ABORT_REQUEST. */
  public static byte[] abort(int id) {
    return record(RecordParser.ABORT_REQUEST, id, new byte[0]);
  }

  /** Writes content as records of a stream, followed by the empty record that ends the stream. */
  private static void stream(ByteArrayOutputStream out, int type, int id, byte[] content) {
    for (int from = 0; from < content.length; from += MAX_CONTENT_BYTES) {
      int length = Math.min(MAX_CONTENT_BYTES, content.length - from);
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

  /** Writes a record header. Padding makes the record a multiple of eight bytes, as section 3.3 recommends. */
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
