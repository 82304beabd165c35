package gorseladder.testbed.rehearsal;

import gorseladder.wire.fastcgi.RecordWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Requests that a dispatcher cannot use, derived from a valid one. */
final class UnusableRequests {
  /** The maximum number of open requests on one connection. */
  static final int MAX_OPEN_REQUESTS = 32;
  /** A body above the size limit. */
  static final byte[] LARGE_BODY = new byte[20_000];

  private static final int HEADER_BYTES = 8;
  private static final int ROLE_OFFSET = HEADER_BYTES + 1;
  private static final byte GET_VALUES = 9;
  private static final byte UNKNOWN_TYPE = 77;

  private UnusableRequests() {}

  /** Returns variants of the parameters with one invalid entry each. */
  static List<Map<String, String>> of(Map<String, String> params) {
    List<Map<String, String>> all = new ArrayList<>();
    for (String name : params.keySet()) {
      all.add(with(params, name, "no/such"));
    }
    all.add(with(params, "HTTP_X_FACTS", "lanes:1.5;memory_mb:1"));
    all.add(with(params, "HTTP_X_FACTS", "lanes:1;lanes:1"));
    all.add(with(params, "HTTP_X_TIMEOUT_MS", "99999999"));
    all.add(with(params, "HTTP_X_RETRY", "7"));
    all.add(with(params, "HTTP_IDEMPOTENCY_KEY", "a b"));
    all.add(with(params, "CONTENT_LENGTH", "99"));
    all.add(with(params, "HTTP_X_LONG", "x".repeat(30_000)));
    return all;
  }

  private static Map<String, String> with(Map<String, String> params, String name, String value) {
    Map<String, String> other = new HashMap<>(params);
    other.put(name, value);
    return other;
  }

  /** Returns byte sequences to start a connection with, none of which is a usable request. */
  static List<byte[]> connectionStarts(Map<String, String> params) {
    byte[] request = RecordWriter.request(1, true, params, new byte[1]);
    byte[] role = request.clone();
    role[ROLE_OFFSET] = 3;
    return List.of(
        role,
        management(
            GET_VALUES, RecordWriter.valuesResult(Map.of("FCGI_MAX_CONNS", "", "OTHER", ""))),
        management(UNKNOWN_TYPE, RecordWriter.unknownType(1)),
        "GET / HTTP/1.1\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
  }

  /** Returns a management record of the given type with the content of another record. */
  private static byte[] management(byte type, byte[] record) {
    byte[] changed = record.clone();
    changed[1] = type;
    return changed;
  }

  /** Returns the first half of a request. */
  static byte[] partial(Map<String, String> params) {
    byte[] request = RecordWriter.request(1, true, params, new byte[1]);
    return Arrays.copyOf(request, request.length / 2);
  }
}
