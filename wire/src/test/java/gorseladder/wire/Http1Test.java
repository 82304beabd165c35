package gorseladder.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.wire.http1.BadMessage;
import gorseladder.wire.http1.BadMessage.Fault;
import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.http1.HeadParser;
import gorseladder.wire.http1.HeadWriter;
import gorseladder.wire.http1.HttpLimits;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class Http1Test {
  private static final HttpLimits LIMITS = new HttpLimits(200, 8, 600, 1000);

  private record Message(Head head, byte[] body) {}

  /** Parses one request, fed in chunks of {@code step} bytes. */
  private static Message parse(String text, int step) throws BadMessage {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    HeadParser parser = HeadParser.forRequest(LIMITS);
    int at = 0;
    while (!parser.done()) {
      int count = Math.min(step, bytes.length - at);
      if (count == 0) {
        throw new BadMessage(Fault.MALFORMED, "ends early");
      }
      at += parser.feed(bytes, at, count);
    }
    BodyParser body = BodyParser.forRequest(parser.head(), LIMITS);
    while (!body.done()) {
      int count = Math.min(step, bytes.length - at);
      if (count == 0) {
        throw new BadMessage(Fault.MALFORMED, "ends early");
      }
      at += body.feed(bytes, at, count);
    }
    return new Message(parser.head(), body.content());
  }

  private static String post(String headers, String body) {
    return "POST /hooks?a=b HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n" + body;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 7, 1000})
  void readsFixedAndChunkedContentInAnyPieces(int step) throws BadMessage {
    Message fixed = parse(post("Content-Length: 5\r\nX-A:  b c \t\r\n", "hello"), step);
    assertEquals("hello", new String(fixed.body(), StandardCharsets.US_ASCII));
    assertEquals("b c", fixed.head().get("x-a"));
    assertEquals("/hooks", fixed.head().path());
    assertEquals("a=b", fixed.head().query());
    Message chunked = parse(
        post("Transfer-Encoding: chunked\r\n", "3;x=\"y\"\r\nhel\r\n2\r\nlo\r\n0\r\nT: u\r\n\r\n"),
        step);
    assertEquals("hello", new String(chunked.body(), StandardCharsets.US_ASCII));
  }

  /** Header sections that two parsers could interpret as different requests. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: -5\r\n",
        "Content-Length: 5, 5\r\n",
        "Content-Length: 0x5\r\n",
        "Content-Length: \r\n",
        "Content-Length : 5\r\n",
        "X: a\r\n folded\r\n",
        "X: a\nY: b\r\n",
        "X: a\rb\r\n",
        "Host: y\r\n",
        ": empty\r\n",
        "X: a\u0000b\r\n",
        "X\u00e9: a\r\n"
      })
  void smugglingFormsAreMalformed(String headers) {
    assertEquals(
        Fault.MALFORMED,
        assertThrows(BadMessage.class, () -> parse(post(headers, "hello"), 1000))
            .fault());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "5\nhello\r\n0\r\n\r\n",
        "5 \r\nhello\r\n0\r\n\r\n",
        "+5\r\nhello\r\n0\r\n\r\n",
        "5\r\nhelloX\r\n0\r\n\r\n",
        "\r\n",
        "g\r\n",
        "1111111111111111\r\n",
        "5\r\nhello\n0\r\n\r\n",
        "0\r\nT: u\n\r\n"
      })
  void badChunksAreMalformed(String body) {
    assertEquals(
        Fault.MALFORMED,
        assertThrows(
                BadMessage.class, () -> parse(post("Transfer-Encoding: chunked\r\n", body), 1000))
            .fault());
  }

  @ParameterizedTest
  @CsvSource({
    "'GET / HTTP/2.0',WRONG_VERSION",
    "'GET /  HTTP/1.1',MALFORMED",
    "'GET /',MALFORMED",
    "'G@T / HTTP/1.1',MALFORMED",
    "'GET /\u00e9 HTTP/1.1',MALFORMED",
    "' GET / HTTP/1.1',MALFORMED",
    "'GET / http/1.1',MALFORMED"
  })
  void badRequestLinesAreNamed(String line, Fault fault) {
    assertEquals(
        fault,
        assertThrows(BadMessage.class, () -> parse(line + "\r\nHost: x\r\n\r\n", 1000))
            .fault());
  }

  @Test
  void limitsHold() throws BadMessage {
    assertEquals(Fault.TOO_LARGE, fault(post("Content-Length: 1001\r\n", "")));
    assertEquals(Fault.TOO_LARGE, fault(post("Transfer-Encoding: chunked\r\n", "3e9\r\n")));
    assertEquals(Fault.HEADERS_TOO_LARGE, fault(post("X: " + "a".repeat(200) + "\r\n", "")));
    assertEquals(Fault.HEADERS_TOO_LARGE, fault(post("X: a\r\n".repeat(8), "")));
    assertEquals(
        Fault.HEADERS_TOO_LARGE, fault(post(("X: " + "a".repeat(150) + "\r\n").repeat(4), "")));
    assertEquals(Fault.NOT_IMPLEMENTED, fault(post("Transfer-Encoding: gzip, chunked\r\n", "")));
    assertEquals(Fault.MALFORMED, fault("POST / HTTP/1.1\r\n\r\n"));
    assertEquals(
        Fault.MALFORMED, fault("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    assertEquals(0, parse("\r\nGET / HTTP/1.0\r\n\r\n", 1).head().minorVersion());
  }

  private static Fault fault(String text) {
    return assertThrows(BadMessage.class, () -> parse(text, 1000)).fault();
  }

  /** Any bytes are parsed or rejected with BadMessage, and no more bytes are used than were fed. */
  @Property(tries = 3000, seed = "42")
  void anyBytesAreTakenOrNamed(
      @ForAll @Size(max = 300) byte[] bytes, @ForAll @IntRange(min = 0, max = 60) int removed) {
    byte[] start = post("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n")
        .getBytes(StandardCharsets.US_ASCII);
    byte[] all = java.util.Arrays.copyOf(
        start, start.length - Math.min(removed, start.length) + bytes.length);
    System.arraycopy(bytes, 0, all, all.length - bytes.length, bytes.length);
    try {
      HeadParser head = HeadParser.forRequest(LIMITS);
      int used = head.feed(all, 0, all.length);
      assertTrue(used <= all.length);
      if (head.done()) {
        BodyParser body = BodyParser.forRequest(head.head(), LIMITS);
        used += body.feed(all, used, all.length - used);
        assertTrue(used <= all.length && body.content().length <= LIMITS.maxBodyBytes());
      }
    } catch (BadMessage e) {
      assertTrue(!e.getMessage().isEmpty());
    }
  }

  /** The result does not depend on the sizes of the chunks. */
  @Property(tries = 500, seed = "43")
  void piecesMakeNoDifference(
      @ForAll @Size(max = 40) byte[] noise, @ForAll @IntRange(min = 1, max = 50) int step) {
    String text = post(
        "X: " + new String(noise, StandardCharsets.ISO_8859_1) + "\r\nContent-Length: 3\r\n",
        "abc");
    assertEquals(result(text, 10_000), result(text, step));
  }

  private static String result(String text, int step) {
    try {
      Message message = parse(text, step);
      return message.head().fields() + new String(message.body(), StandardCharsets.ISO_8859_1);
    } catch (BadMessage e) {
      return e.getMessage();
    }
  }

  @Test
  void aWriterCannotBeMadeToSplitAMessage() {
    assertThrows(
        IllegalArgumentException.class, () -> HeadWriter.response(200).field("A", "b\r\nC: d"));
  }

  @Test
  void responsesEndByLengthChunksOrClose() throws BadMessage {
    byte[] bytes = "HTTP/1.1 200 OK\r\n\r\nrest".getBytes(StandardCharsets.US_ASCII);
    HeadParser head = HeadParser.forResponse(LIMITS);
    int used = head.feed(bytes, 0, bytes.length);
    BodyParser body = BodyParser.forResponse(head.head(), LIMITS);
    body.feed(bytes, used, bytes.length - used);
    assertTrue(body.untilClose() && !body.done());
    assertTrue(body.endOfInput());
    assertEquals("rest", new String(body.content(), StandardCharsets.US_ASCII));
  }
}
