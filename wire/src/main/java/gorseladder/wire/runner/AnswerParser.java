package gorseladder.wire.runner;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Reads the answers of a runner ({@code ID WORD FIELDS LENGTH}, CR LF, that many bytes, CR LF) in pieces of any size. A
 * line that is too long and a length past the bound are refused before anything is kept of them; of a body only what
 * has come is kept.
 *
 * <p>Source: the platform's protocol, "Dispatchers to runners". Not thread safe.
 */
public final class AnswerParser {
  private static final int MOST_LINE = 1_024;
  private static final int MOST_DIGITS = 9;
  /** What the first bytes of a body are given room for. */
  private static final int LEAST_BODY = 1_024;

  private static final byte[] NOTHING = {};
  private static final Set<String> WORDS =
      Set.of("ok", "nothing", "refused", "error", "stale", "yes", "no");

  /** Says whether bytes of bodies may be kept, and hears when they are handed on. */
  public interface MemoryBudget {
    /** Takes so many bytes; false where there is no room for them. */
    boolean tryTake(int bytes);

    /** Gives back bytes that were taken. */
    void giveBack(int bytes);
  }

  private static final MemoryBudget ENDLESS = new MemoryBudget() {
    @Override
    public boolean tryTake(int bytes) {
      return true;
    }

    @Override
    public void giveBack(int bytes) {}
  };

  /** The line of an answer whose body is still coming. */
  private record Head(String id, String status, Map<String, String> fields, int length) {}

  /** One answer; {@code id} is the request's id or the order's tag. */
  public record Answer(String id, String status, Map<String, String> fields, byte[] body) {}

  private final int mostBody;
  private final MemoryBudget room;
  private final byte[] line = new byte[MOST_LINE];
  private int lineHas;
  private Head head;
  private byte[] body = NOTHING;
  private int bodyHas;
  /** Of the CR LF behind a body. */
  private int closing;

  /** A parser that takes bodies of so many bytes at the most. */
  public AnswerParser(int mostBody) {
    this(mostBody, ENDLESS);
  }

  /** The same, where there is room for them. */
  public AnswerParser(int mostBody, MemoryBudget room) {
    this.mostBody = mostBody;
    this.room = room;
  }

  /** True between answers. */
  public boolean isBetweenAnswers() {
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
          body = NOTHING;
          bodyHas = 0;
          closing = 0;
        } else if (b != '\r' && (b < ' ' || b > '~')) {
          throw new BadAnswer("a byte " + (b & 0xff) + " in a line");
        }
      } else if (bodyHas < head.length()) {
        int part = Math.min(head.length() - bodyHas, end - at);
        growTo(bodyHas + part);
        System.arraycopy(bytes, at, body, bodyHas, part);
        bodyHas += part;
        at += part;
      } else {
        if (bytes[at++] != (closing == 0 ? '\r' : '\n')) {
          throw new BadAnswer("a body is not followed by CR LF");
        }
        if (++closing == 2) {
          Answer whole = new Answer(head.id(), head.status(), head.fields(), body);
          room.giveBack(body.length);
          head = null;
          body = NOTHING;
          sink.accept(whole);
        }
      }
    }
  }

  /** Has room for so many bytes of the body, which is never larger than told. */
  private void growTo(int wanted) throws BadAnswer {
    if (wanted <= body.length) {
      return;
    }
    int size = Math.min(head.length(), Math.max(wanted, Math.max(LEAST_BODY, 2 * body.length)));
    if (!room.tryTake(size - body.length)) {
      throw new BadAnswer("no room for a body of " + head.length() + " bytes");
    }
    body = Arrays.copyOf(body, size);
  }

  private Head head() throws BadAnswer {
    if (lineHas < 2 || line[lineHas - 2] != '\r') {
      throw new BadAnswer("a line does not end in CR LF");
    }
    String text = new String(line, 0, lineHas - 2, StandardCharsets.US_ASCII);
    String[] words = text.split(" ", -1);
    if (words.length != 4 || words[0].isEmpty() || !WORDS.contains(words[1])) {
      throw new BadAnswer("a line that is no answer");
    }
    int length = length(words[3]);
    return new Head(words[0], words[1], fields(words[2]), length);
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
