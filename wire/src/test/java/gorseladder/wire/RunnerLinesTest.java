package gorseladder.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import gorseladder.wire.changelog.ChangeLine;
import gorseladder.wire.changelog.LineParser;
import gorseladder.wire.runner.AnswerParser;
import gorseladder.wire.runner.AnswerParser.Answer;
import gorseladder.wire.runner.BadAnswer;
import gorseladder.wire.runner.Commands;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Codecs for the connections from a dispatcher to the runners and to the change log. */
class RunnerLinesTest {
  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static List<Answer> parse(byte[] bytes, int step) throws BadAnswer {
    List<Answer> answers = new ArrayList<>();
    AnswerParser parser = new AnswerParser(1_000);
    for (int at = 0; at < bytes.length; at += step) {
      parser.feed(bytes, at, Math.min(step, bytes.length - at), answers::add);
    }
    return answers;
  }

  @Test
  void answersSplitAtEveryByteAreTheSame() throws BadAnswer {
    byte[] bytes = ascii("9b1f ok remark=up,depth=3 4\r\na\r\nb\r\nl7 refused - 0\r\n\r\n");
    for (int step = 1; step <= bytes.length; step++) {
      List<Answer> answers = parse(bytes, step);
      assertEquals(2, answers.size());
      assertEquals(Map.of("remark", "up", "depth", "3"), answers.get(0).fields());
      assertArrayEquals(ascii("a\r\nb"), answers.get(0).body());
      assertEquals("l7", answers.get(1).id());
      assertEquals("refused", answers.get(1).status());
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "a ok - 1\n",
        "a ok - 3000000000\r\n",
        "a ok - 1001\r\n",
        "a ok - -1\r\n",
        "a fine - 0\r\n",
        "a ok 0\r\n",
        " ok - 0\r\n",
        "a ok - 1\r\nxyz",
        "a ok x 0\r\n",
        "a ok u=1,u=2 0\r\n",
        "a ok - \r\n",
        "\u0001"
      })
  void whatIsNoAnswerEndsTheConnection(String text) {
    assertThrows(BadAnswer.class, () -> parse(ascii(text), 100));
  }

  @Test
  void aLineThatNeverEndsIsRefusedAtItsBound() {
    assertThrows(BadAnswer.class, () -> parse(ascii("a".repeat(1_025)), 100));
  }

  @Property(tries = 500)
  void randomBytesAreReadOrRefused(
      @ForAll @Size(max = 200) byte[] bytes, @ForAll @IntRange(min = 1, max = 40) int step) {
    try {
      assertTrue(parse(bytes, step).size() <= bytes.length);
    } catch (BadAnswer e) {
      assertTrue(e.getMessage().length() > 0);
    }
  }

  @Test
  void commandsAreLinesOfWords() {
    assertEquals(
        "go 9b profile=c,thing=f,max=1500 2\r\nhi\r\n",
        new String(
            Commands.go("9b", "c", "f", 1_500, null, ascii("hi")), StandardCharsets.ISO_8859_1));
    assertEquals(
        "go 9b profile=c,thing=f,max=5,replay=k1 0\r\n\r\n",
        new String(Commands.go("9b", "c", "f", 5, "k1", ascii("")), StandardCharsets.ISO_8859_1));
    assertEquals("halt 9b\r\n", new String(Commands.halt("9b"), StandardCharsets.ISO_8859_1));
    assertEquals(
        "stage l1 thing=f,pods=2\r\n",
        new String(Commands.stage("l1", "f", 2), StandardCharsets.ISO_8859_1));
  }

  @Test
  void changeLinesSplitAtEveryByteAndHalfOnesAreKeptBack() {
    byte[] bytes = ascii(
        "41\r\n{\"seq\":42,\"fleet\":{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"s\"}]}}\n{\"seq\":43");
    for (int step = 1; step <= bytes.length; step++) {
      List<ChangeLine> lines = new ArrayList<>();
      LineParser parser = new LineParser(200);
      for (int at = 0; at < bytes.length; at += step) {
        parser.feed(
            bytes, at, Math.min(step, bytes.length - at), line -> lines.add(ChangeLine.read(line)));
      }
      assertEquals(2, lines.size());
      assertEquals(41, lines.get(0).seq());
      assertNull(lines.get(0).fleet());
      assertTrue(lines.get(1).fleet().all());
      assertEquals(List.of(Map.of("uid", "s")), lines.get(1).fleet().targets());
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "{",
        "[]",
        "{\"seq\":1.5}",
        "{\"fleet\":{}}",
        "{\"seq\":1,\"fleet\":{\"targets\":[3]}}",
        "{\"seq\":1,\"fleet\":{}}",
        "123456789012345678901234567890"
      })
  void whatIsNoChangeIsRefused(String text) {
    assertThrows(IllegalArgumentException.class, () -> ChangeLine.read(ascii(text)));
  }

  @Test
  void aChangeLineHasABound() {
    LineParser parser = new LineParser(10);
    assertThrows(
        IllegalArgumentException.class, () -> parser.feed(new byte[11], 0, 11, line -> {}));
  }

  /** Guards against allocating the announced length of a body before its bytes arrive. */
  @Test
  void aBodyThatIsOnlyAnnouncedTakesNoMemory() throws BadAnswer {
    AnswerParser parser = new AnswerParser(1 << 20);
    byte[] line =
        "0123456789abcdef ok - 1000000\r\nfirst bytes".getBytes(StandardCharsets.US_ASCII);
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    parser.feed(line, 0, line.length, answer -> {});
    long allocated = threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
    assertTrue(allocated < 100_000, allocated + " bytes");
  }
}
