package gorseladder.wire.runner;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Reads the answers of a runner ({@code ID WORD FIELDS LENGTH}, CR LF, that many bytes, CR LF) in pieces of any size. A
 * line that is too long and a length past the bound are refused before anything is kept of them.
 *
 * <p>Source: the platform's protocol, "Dispatchers to runners". Not thread safe.
 */
public final class AnswerParser {
  private static final int MOST_LINE = 1_024;
  private static final int MOST_DIGITS = 9;
  private static final Set<String> WORDS =
      Set.of("ok", "nothing", "refused", "error", "stale", "yes", "no");

  /** One answer; {@code id} is the request's id or the order's tag. */
  public record Answer(String id, String word, Map<String, String> fields, byte[] body) {}

  private final int mostBody;
  private final byte[] line = new byte[MOST_LINE];
  private int lineHas;
  private Answer head;
  private int bodyHas;
  /** Of the CR LF behind a body. */
  private int closing;

  /** A parser that takes bodies of so many bytes at the most. */
  public AnswerParser(int mostBody) {
    this.mostBody = mostBody;
  }

  /** True between answers. */
  public boolean between() {
    return lineHas == 0 && head == null;
  }

  /**
   * Reads a piece and hands on each answer that is whole.
   *
   * @throws BadAnswer where the bytes cannot be answers; nothing may be fed after that
   */
  public void feed(byte[] bytes, int from, int length, Consumer<Answer> sink) throws BadAnswer {
    int at = from;
    int end = from + length;
    while (at < end) {
      if (head == null) {
        byte b = bytes[at++];
        if (lineHas == MOST_LINE) {
          throw new BadAnswer("a line of more than " + MOST_LINE + " bytes");
        }
        line[lineHas++] = b;
        if (b == '\n') {
          head = head();
          lineHas = 0;
          bodyHas = 0;
          closing = 0;
        } else if (b != '\r' && (b < ' ' || b > '~')) {
          throw new BadAnswer("a byte " + (b & 0xff) + " in a line");
        }
      } else if (bodyHas < head.body().length) {
        int part = Math.min(head.body().length - bodyHas, end - at);
        System.arraycopy(bytes, at, head.body(), bodyHas, part);
        bodyHas += part;
        at += part;
      } else {
        if (bytes[at++] != (closing == 0 ? '\r' : '\n')) {
          throw new BadAnswer("a body is not followed by CR LF");
        }
        if (++closing == 2) {
          Answer whole = head;
          head = null;
          sink.accept(whole);
        }
      }
    }
  }

  private Answer head() throws BadAnswer {
    if (lineHas < 2 || line[lineHas - 2] != '\r') {
      throw new BadAnswer("a line does not end in CR LF");
    }
    String text = new String(line, 0, lineHas - 2, StandardCharsets.US_ASCII);
    String[] words = text.split(" ", -1);
    if (words.length != 4 || words[0].isEmpty() || !WORDS.contains(words[1])) {
      throw new BadAnswer("a line that is no answer");
    }
    int length = length(words[3]);
    return new Answer(words[0], words[1], fields(words[2]), new byte[length]);
  }

  private int length(String word) throws BadAnswer {
    if (word.isEmpty()
        || word.length() > MOST_DIGITS
        || !word.chars().allMatch(c -> c >= '0' && c <= '9')) {
      throw new BadAnswer("a length that is none");
    }
    int length = Integer.parseInt(word);
    if (length > mostBody) {
      throw new BadAnswer("a body of " + length + " bytes");
    }
    return length;
  }

  private static Map<String, String> fields(String word) throws BadAnswer {
    if (word.equals("-")) {
      return Map.of();
    }
    Map<String, String> fields = new LinkedHashMap<>();
    for (String field : word.split(",", -1)) {
      int is = field.indexOf('=');
      if (is < 1 || fields.put(field.substring(0, is), field.substring(is + 1)) != null) {
        throw new BadAnswer("fields that are none");
      }
    }
    return fields;
  }
}
