package gorseladder.node;

import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Settings;
import gorseladder.wire.fastcgi.RecordWriter;
import java.io.ByteArrayOutputStream;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The requests of a warm-up by their number, from 1: their content and their result. Without side effects and thread
 * safe.
 */
final class WarmUpCall {
  /** The result of a request. */
  enum Kind {
    SERVED,
    LOADED,
    REFUSED,
    MISSED,
    LOAD_FAILED,
    FAILED,
    STALE,
    UNANSWERED,
    ABORTED,
    UNUSABLE
  }

  /** Every fourth request has one of the rare kinds, in their order. */
  private static final int RARE_KIND_INTERVAL = 4;

  private static final int FUNCTIONS = 8;
  private static final int BODY_BYTES = 200;
  /** Timeout of a request that gets no answer. */
  private static final int UNANSWERED_TIMEOUT_MILLIS = 20;

  private WarmUpCall() {}

  static Kind kind(long number) {
    Kind[] kinds = Kind.values();
    return number % RARE_KIND_INTERVAL != 0
        ? Kind.SERVED
        : kinds[(int) (number / RARE_KIND_INTERVAL % kinds.length)];
  }

  /** The records of a request, including its abort if its kind asks for one. */
  static byte[] records(long number, Settings settings) {
    RequestClass requestClass =
        settings.classes().get((int) (number % settings.classes().size()));
    Kind kind = kind(number);
    long millis = kind == Kind.UNANSWERED
        ? UNANSWERED_TIMEOUT_MILLIS
        : Math.max(1, requestClass.deadline() / 1_000);
    Map<String, String> params = new LinkedHashMap<>();
    params.put("SCRIPT_NAME", kind == Kind.UNUSABLE ? "/" : "/svc/" + requestClass.name());
    params.put("HTTP_X_REQUEST_ID", hexId(number));
    params.put("HTTP_X_TIMEOUT_MS", Long.toString(millis));
    params.put("HTTP_X_OBJECT", hexId(number % FUNCTIONS));
    params.put("HTTP_X_FACTS", "memory_mb:10;lanes:2;load_ms:100");
    if (!settings.tenants().isEmpty()) {
      params.put("HTTP_X_TENANT", settings.tenants().get(0).name());
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int id = (int) (number % 0xffff) + 1;
    out.writeBytes(RecordWriter.request(id, true, params, new byte[BODY_BYTES]));
    if (kind == Kind.ABORTED) {
      out.writeBytes(RecordWriter.abort(id));
    }
    return out.toByteArray();
  }

  private static String hexId(long number) {
    String digits = Long.toHexString(number);
    return "0".repeat(16 - digits.length()) + digits;
  }
}
