package gorseladder.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.wire.fastcgi.BadRecord;
import gorseladder.wire.fastcgi.NameValues;
import gorseladder.wire.fastcgi.RecordParser;
import gorseladder.wire.fastcgi.RecordWriter;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FastCgiTest {
  /** Records the calls of the parser and collects the streams. */
  private static final class RecordingSink implements RecordParser.Sink {
    private final List<String> events = new ArrayList<>();
    private final ByteArrayOutputStream params = new ByteArrayOutputStream();
    private final ByteArrayOutputStream stdin = new ByteArrayOutputStream();

    @Override
    public void begin(int id, int role, boolean keepsConnection) {
      events.add("begin " + id + " " + role + " " + keepsConnection);
    }

    @Override
    public void abort(int id) {
      events.add("abort " + id);
    }

    @Override
    public void params(int id, byte[] bytes, int from, int length) {
      params.write(bytes, from, length);
    }

    @Override
    public void paramsEnd(int id) {
      events.add("params " + id);
    }

    @Override
    public void stdin(int id, byte[] bytes, int from, int length) {
      stdin.write(bytes, from, length);
    }

    @Override
    public void stdinEnd(int id) {
      events.add("stdin " + id);
    }

    @Override
    public void getValues(byte[] content) {
      events.add("values " + content.length);
    }

    @Override
    public void unknownType(int type) {
      events.add("unknown " + type);
    }
  }

  private static RecordingSink parse(byte[] bytes, int step) throws BadRecord {
    RecordingSink sink = new RecordingSink();
    RecordParser parser = new RecordParser();
    for (int at = 0; at < bytes.length; at += step) {
      parser.feed(bytes, at, Math.min(step, bytes.length - at), sink);
    }
    assertTrue(parser.isBetweenRecords());
    return sink;
  }

  private static byte[] bytes(String hex) {
    return HexFormat.of().parseHex(hex.replace(" ", ""));
  }

  @Test
  void aRequestSplitAtEveryByteIsTheSame() throws BadRecord {
    Map<String, String> params = new LinkedHashMap<>();
    params.put("SCRIPT_NAME", "/svc/c");
    params.put("LONG", "v".repeat(300));
    byte[] body = "any \0 bytes".getBytes();
    byte[] sent = RecordWriter.request(259, true, params, body);
    for (int step = 1; step <= sent.length; step++) {
      RecordingSink sink = parse(sent, step);
      assertEquals(List.of("begin 259 1 true", "params 259", "stdin 259"), sink.events);
      assertArrayEquals(body, sink.stdin.toByteArray());
      assertEquals(params, NameValues.read(sink.params.toByteArray(), sink.params.size(), 10));
    }
  }

  @Test
  void aLongAnswerIsSplitIntoRecordsAndEndsTheRequest() {
    byte[] body = new byte[100_000];
    body[99_999] = 7;
    byte[] answer = RecordWriter.response(1, 200, Map.of("A", "b"), body);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int ends = 0;
    for (int at = 0; at < answer.length; ) {
      int length = (answer[at + 4] & 0xff) << 8 | answer[at + 5] & 0xff;
      if (answer[at + 1] == 6) {
        out.write(answer, at + 8, length);
      }
      ends += answer[at + 1] == 3 ? 1 : 0;
      at += 8 + length + answer[at + 6];
    }
    byte[] head = "Status: 200\r\nA: b\r\n\r\n".getBytes();
    assertEquals(1, ends);
    assertEquals(head.length + body.length, out.size());
    assertEquals(7, out.toByteArray()[out.size() - 1]);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "02 01 0001 0008 00 00",
        "01 01 0000 0008 00 00",
        "01 04 0000 0001 00 00",
        "01 01 0001 0007 00 00",
        "01 09 0000 0401 00 00"
      })
  void whatCannotBeARecordIsRefusedAtItsHeader(String hex) {
    assertThrows(BadRecord.class, () -> parse(bytes(hex), 1));
  }

  @Test
  void unknownManagementTypesAndAbortsAreHeard() throws BadRecord {
    assertEquals(
        List.of("unknown 77", "abort 3", "values 0"),
        parse(
                bytes(
                    "01 4d 0000 0002 00 00 abcd  01 02 0003 0000 00 00  01 09 0000 0000 01 00 ff"),
                5)
            .events);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "05",
        "0180000000",
        "01 ff ffffff 41",
        "8000",
        "01 01 41 42 01 01 41 42",
        "ff ff ff ff ff ff ff ff"
      })
  void pairsWhoseLengthsLieAreRefused(String hex) {
    byte[] pairs = bytes(hex);
    assertThrows(BadRecord.class, () -> NameValues.read(pairs, pairs.length, 10));
  }

  /** Any bytes are parsed or rejected with BadRecord, and no more is passed on than was fed. */
  @Property(tries = 500)
  void randomBytesAreReadOrRefused(
      @ForAll @Size(max = 300) byte[] bytes, @ForAll @IntRange(min = 1, max = 50) int step) {
    if (bytes.length > 1) {
      bytes[0] = 1;
      bytes[1] = (byte) (bytes[1] & 15);
    }
    RecordingSink sink = new RecordingSink();
    try {
      RecordParser parser = new RecordParser();
      for (int at = 0; at < bytes.length; at += step) {
        parser.feed(bytes, at, Math.min(step, bytes.length - at), sink);
      }
      NameValues.read(bytes, bytes.length, 10);
    } catch (BadRecord e) {
      assertTrue(e.getMessage().length() > 0);
    }
    assertTrue(sink.params.size() + sink.stdin.size() <= bytes.length);
  }
}
