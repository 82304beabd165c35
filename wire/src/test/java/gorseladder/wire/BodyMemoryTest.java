package gorseladder.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.http1.HeadParser;
import gorseladder.wire.http1.HttpLimits;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The content buffer grows with the bytes received, and the parser predicts its size. */
class BodyMemoryTest {
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final HttpLimits LIMITS = new HttpLimits(1_000, 10, 2_000, MAX_BODY_BYTES);
  private static final int CHUNK_BYTES = 8_192;

  /** Covers the three ways to delimit content: by length, by chunks and by the end of the connection. */
  @ParameterizedTest
  @CsvSource({
    "'Content-Length: 1048576',''",
    "'Transfer-Encoding: chunked','100000\r\n'",
    "'X: y',''"
  })
  void whatIsAnnouncedAloneTakesNothing(String field, String before) throws Exception {
    byte[] bytes = ("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
    HeadParser head = HeadParser.forResponse(LIMITS);
    head.feed(bytes, 0, bytes.length);
    BodyParser body = body(head.head());
    byte[] framing = before.getBytes(StandardCharsets.US_ASCII);
    body.feed(framing, 0, framing.length);
    assertTrue(
        body.bufferBytes() <= 512,
        () -> body.bufferBytes() + " bytes allocated before any content arrived");
    byte[] chunk = new byte[CHUNK_BYTES];
    Arrays.fill(chunk, (byte) 'x');
    int received = 0;
    for (int i = 0; i < 20; i++) {
      int predicted = body.bufferBytesAfter(CHUNK_BYTES);
      received += body.feed(chunk, 0, CHUNK_BYTES);
      assertEquals(predicted, body.bufferBytes());
      assertTrue(body.bufferBytes() <= 2 * received, () -> body.bufferBytes() + " bytes allocated");
    }
    byte[] expected = new byte[received];
    Arrays.fill(expected, (byte) 'x');
    assertArrayEquals(expected, body.content());
    body.discard();
    assertEquals(0, body.bufferBytes());
  }

  private static BodyParser body(Head head) throws Exception {
    return BodyParser.forResponse(head, LIMITS);
  }
}
