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

/** The content of a message takes memory as it comes, and the parser tells how much before it does. */
class BodyMemoryTest {
  private static final int MOST = 1 << 20;
  private static final HttpLimits LIMITS = new HttpLimits(1_000, 10, 2_000, MOST);
  private static final int STEP = 8_192;

  /** Three ways to tell where content ends. */
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
    assertTrue(body.bufferBytes() <= 512, () -> body.bufferBytes() + " bytes for nothing");
    byte[] step = new byte[STEP];
    Arrays.fill(step, (byte) 'x');
    int came = 0;
    for (int i = 0; i < 20; i++) {
      int told = body.bufferBytesAfter(STEP);
      came += body.feed(step, 0, STEP);
      assertEquals(told, body.bufferBytes());
      assertTrue(body.bufferBytes() <= 2 * came, () -> body.bufferBytes() + " bytes held");
    }
    byte[] wanted = new byte[came];
    Arrays.fill(wanted, (byte) 'x');
    assertArrayEquals(wanted, body.content());
    body.discard();
    assertEquals(0, body.bufferBytes());
  }

  private static BodyParser body(Head head) throws Exception {
    return BodyParser.forResponse(head, LIMITS);
  }
}
