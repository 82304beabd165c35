package gorseladder.testbed;

import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.http1.HeadWriter;
import gorseladder.wire.http1.HttpLimits;
import gorseladder.wire.webhook.Delivery;
import gorseladder.wire.webhook.Secret;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Random;

/** A signed request as bytes, which a test posts as often and at as many paths as it likes. */
record SignedPost(String id, long timestamp, byte[] body, List<String> signatures) {
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long ANSWER_TIMEOUT_MICROS = 10_000_000;

  /** An answer; the reason is the word in its header. */
  record Answer(int status, String reason, boolean retryAfter, String body) {}

  static SignedPost of(String id, long timestamp, String type, Secret... signers) {
    byte[] body = ("{\"type\":\"" + type + "\",\"data\":{\"function\":\"svc/x\"}}")
        .getBytes(StandardCharsets.UTF_8);
    return new SignedPost(
        id,
        timestamp,
        body,
        Arrays.stream(signers).map(s -> s.sign(id, timestamp, body)).toList());
  }

  /** Returns the same request with only one of its signatures. */
  SignedPost part(int signature) {
    return new SignedPost(id, timestamp, body, List.of(signatures.get(signature)));
  }

  /** Opens a connection, for an edge that accepts none later. */
  static HttpConnection connect(InetSocketAddress edge) throws IOException {
    return HttpConnection.open(edge, CONNECT_TIMEOUT_MILLIS, HttpLimits.INTERNAL);
  }

  Answer to(InetSocketAddress edge, String path) throws Exception {
    HttpConnection c = connect(edge);
    try {
      return on(c, path);
    } finally {
      c.close();
    }
  }

  Answer on(HttpConnection c, String path) throws Exception {
    c.write(HeadWriter.request("POST", path, "edge")
        .field("Content-Type", "application/json")
        .field(Delivery.ID, id)
        .field(Delivery.TIMESTAMP, timestamp)
        .field(Delivery.SIGNATURE, String.join(" ", signatures))
        .with(body));
    long answerBy = Clock.micros() + ANSWER_TIMEOUT_MICROS;
    Head head = c.readResponse(answerBy);
    byte[] text = c.readBody(BodyParser.forResponse(head, HttpLimits.INTERNAL), answerBy);
    return new Answer(
        head.status(),
        String.valueOf(head.get("gorseladder-reason")),
        head.get("retry-after") != null,
        new String(text, StandardCharsets.UTF_8));
  }

  /** Returns the text of a symmetric key drawn from a seed. */
  static String secretText(long seed) {
    byte[] key = new byte[32];
    new Random(seed).nextBytes(key);
    return "whsec_" + Base64.getEncoder().encodeToString(key);
  }
}
