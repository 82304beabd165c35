package gorseladder.edge.front;

import gorseladder.answers.Reason;
import gorseladder.core.FinalAnswer;
import gorseladder.runtime.HttpConnection;
import gorseladder.runtime.Watchdog;
import gorseladder.wire.http1.HeadWriter;
import gorseladder.wire.json.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes final answers to clients: the runner's result, or problem details (RFC 9457). A client that does not read its
 * answer in time loses its connection.
 *
 * <p>Thread safe; one answer at a time for each connection.
 */
final class AnswerWriter {
  private static final Logger LOG = LoggerFactory.getLogger(AnswerWriter.class);
  private static final byte[] EMPTY = {};

  private final Watchdog watchdog;
  private final long writeTimeout;

  /**
   * Creates a writer.
   *
   * @param writeTimeout the time within which a client must read its answer, in microseconds
   */
  AnswerWriter(Watchdog watchdog, long writeTimeout) {
    this.watchdog = watchdog;
    this.writeTimeout = writeTimeout;
  }

  /**
   * Writes an answer.
   *
   * @param detail the {@code detail} of the problem details, if it says more than the reason's text; may be null
   * @param keep the connection stays open for further requests
   */
  void write(HttpConnection connection, FinalAnswer answer, String detail, boolean keep)
      throws IOException {
    boolean served = answer.reason().kind == Reason.Kind.SERVED;
    byte[] body = served ? result(answer) : problem(answer, detail);
    HeadWriter head = served ? servedHead(answer) : problemHead(answer);
    if (!keep) {
      head.field("Connection", "close");
    }
    // A long body is written separately from its head, which avoids copying it.
    if (body.length <= HttpConnection.BUFFER_BYTES) {
      write(connection, head.with(body));
    } else {
      write(connection, head.headFor(body), body);
    }
  }

  private static byte[] result(FinalAnswer answer) {
    return answer.body() == null ? EMPTY : answer.body();
  }

  private static HeadWriter servedHead(FinalAnswer answer) {
    return HeadWriter.response(200)
        .field("Content-Type", "application/json")
        .field("gorseladder-reason", answer.reason().word());
  }

  private static byte[] problem(FinalAnswer answer, String detail) {
    Reason reason = answer.reason();
    Map<String, Object> content = new LinkedHashMap<>();
    content.put("type", "about:blank");
    content.put("title", reason.text);
    content.put("status", reason.status);
    content.put("reason", reason.word());
    if (detail != null && !detail.equals(reason.text)) {
      content.put("detail", detail);
    }
    return Json.write(content).getBytes(StandardCharsets.UTF_8);
  }

  private static HeadWriter problemHead(FinalAnswer answer) {
    Reason reason = answer.reason();
    HeadWriter head = HeadWriter.response(reason.status)
        .field("Content-Type", "application/problem+json")
        .field("gorseladder-reason", reason.word());
    if (answer.retryAfter() > 0) {
      head.field("Retry-After", answer.retryAfterSeconds());
    }
    if (reason == Reason.WRONG_METHOD) {
      head.field("Allow", "POST");
    }
    return head;
  }

  private void write(HttpConnection connection, byte[]... parts) throws IOException {
    Watchdog.Timer timer = watchdog.after(writeTimeout, () -> {
      LOG.info("{} did not take its answer in time", connection.peer());
      connection.abort();
    });
    try {
      for (byte[] part : parts) {
        connection.write(part);
      }
    } finally {
      timer.cancel();
    }
  }
}
