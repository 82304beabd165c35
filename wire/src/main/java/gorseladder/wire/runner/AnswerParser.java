package gorseladder.wire.runner;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Incremental parser for the answers of a runner ({@code ID STATUS FIELDS LENGTH}, CR LF, that many bytes, CR LF), fed
 * in chunks of any size. A line or body over its limit is rejected before memory is allocated for it. The buffer of a
 * body grows with the bytes received, not with the announced length.
 *
 * <p>The format is defined in the platform's protocol, "Dispatchers to runners". Not thread safe.
 */
public final class AnswerParser {
  private static final int MAX_LINE_BYTES = 1_024;
  /** Nine digits always fit an int. */
  private static final int MAX_LENGTH_DIGITS = 9;
  /** Initial size of the body buffer, unless the body is shorter. */
  private static final int MIN_BODY_BUFFER_BYTES = 1_024;

  private static final byte[] EMPTY = {};
  /** The fields that the protocol defines; others are checked and not kept. */
  private static final Set<String> FIELDS = Set.of("remark", "depth", "pods", "report");

  private static final Set<String> STATUSES =
      Set.of("ok", "nothing", "refused", "error", "stale", "yes", "no");

  /** Memory budget for the bodies of unfinished answers. */
  public interface MemoryBudget {
    /** Reserves memory; returns false if the budget is exhausted. */
    boolean tryTake(int bytes);

    /** Returns memory that was reserved, once the answer is passed on. */
    void giveBack(int bytes);
  }

  private static final MemoryBudget UNLIMITED = new MemoryBudget() {
    @Override
    public boolean tryTake(int bytes) {
      return true;
    }

    @Override
    public void giveBack(int bytes) {}
  };

  /** The first line of an answer whose body is incomplete. */
  private record Header(String id, String status, Map<String, String> fields, int length) {}

  /** A complete answer. {@code id} is the id of the request or the tag of the load order. */
  public record Answer(String id, String status, Map<String, String> fields, byte[] body) {}

  private final int maxBodyBytes;
  private final MemoryBudget memory;
  private final byte[] line = new byte[MAX_LINE_BYTES];
  private int lineLength;
  private Header header;
  private byte[] body = EMPTY;
  private int bodyLength;
  /** Bytes received of the CR LF that follows a body. */
  private int terminatorBytes;

  /** Creates a parser without a memory budget. */
  public AnswerParser(int maxBodyBytes) {
    this(maxBodyBytes, UNLIMITED);
  }

  /**
   * Creates a parser.
   *
   * @param maxBodyBytes maximum length of one body
   * @param memory budget from which the body buffer is reserved
   */
  public AnswerParser(int maxBodyBytes, MemoryBudget memory) {
    this.maxBodyBytes = maxBodyBytes;
    this.memory = memory;
  }

  /** Returns true if no answer is partly read. */
  public boolean isBetweenAnswers() {
    return lineLength == 0 && header == null;
  }

  /**
   * Parses the next bytes and passes each complete answer to the sink.
   *
   * @throws BadAnswer if the bytes violate the protocol; the parser cannot be used afterwards
   */
  public void feed(byte[] bytes, int from, int length, Consumer<Answer> sink) throws BadAnswer {
    int at = from;
    int end = from + length;
    while (at < end) {
      if (header == null) {
        byte b = bytes[at++];
        if (lineLength == MAX_LINE_BYTES) {
          throw new BadAnswer("a line of more than " + MAX_LINE_BYTES + " bytes");
        }
        line[lineLength++] = b;
        if (b == '\n') {
          header = parseLine();
          lineLength = 0;
          body = EMPTY;
          bodyLength = 0;
          terminatorBytes = 0;
        } else if (b != '\r' && (b < ' ' || b > '~')) {
          throw new BadAnswer("a byte " + (b & 0xff) + " that is not printable ASCII in a line");
        }
      } else if (bodyLength < header.length()) {
        int part = Math.min(header.length() - bodyLength, end - at);
        ensureBodyCapacity(bodyLength + part);
        System.arraycopy(bytes, at, body, bodyLength, part);
        bodyLength += part;
        at += part;
      } else {
        if (bytes[at++] != (terminatorBytes == 0 ? '\r' : '\n')) {
          throw new BadAnswer("a body is not followed by CR LF");
        }
        if (++terminatorBytes == 2) {
          Answer whole = new Answer(header.id(), header.status(), header.fields(), body);
          memory.giveBack(body.length);
          header = null;
          body = EMPTY;
          sink.accept(whole);
        }
      }
    }
  }

  /** Grows the body buffer to at least {@code wanted} bytes and to at most the announced length. */
  private void ensureBodyCapacity(int wanted) throws BadAnswer {
    if (wanted <= body.length) {
      return;
    }
    int size = Math.min(
        header.length(), Math.max(wanted, Math.max(MIN_BODY_BUFFER_BYTES, 2 * body.length)));
    if (!memory.tryTake(size - body.length)) {
      throw new BadAnswer("memory budget exhausted by a body of " + header.length() + " bytes");
    }
    body = Arrays.copyOf(body, size);
  }

  private Header parseLine() throws BadAnswer {
    if (lineLength < 2 || line[lineLength - 2] != '\r') {
      throw new BadAnswer("a line does not end in CR LF");
    }
    String text = new String(line, 0, lineLength - 2, StandardCharsets.US_ASCII);
    String[] words = text.split(" ", -1);
    if (words.length != 4 || words[0].isEmpty() || !STATUSES.contains(words[1])) {
      throw new BadAnswer("a line that is not a valid answer");
    }
    int length = parseLength(words[3]);
    return new Header(words[0], words[1], parseFields(words[2]), length);
  }

  private int parseLength(String word) throws BadAnswer {
    if (word.isEmpty()
        || word.length() > MAX_LENGTH_DIGITS
        || !word.chars().allMatch(c -> c >= '0' && c <= '9')) {
      throw new BadAnswer("a length that is not a number");
    }
    int length = Integer.parseInt(word);
    if (length > maxBodyBytes) {
      throw new BadAnswer("a body over the limit: " + length + " bytes");
    }
    return length;
  }

  private static Map<String, String> parseFields(String word) throws BadAnswer {
    if (word.equals("-")) {
      return Map.of();
    }
    Map<String, String> fields = new LinkedHashMap<>();
    Set<String> names = new HashSet<>();
    for (String field : word.split(",", -1)) {
      int equals = field.indexOf('=');
      if (equals < 1 || !names.add(field.substring(0, equals))) {
        throw new BadAnswer("malformed or repeated fields");
      }
      if (FIELDS.contains(field.substring(0, equals))) {
        fields.put(field.substring(0, equals), field.substring(equals + 1));
      }
    }
    return fields;
  }
}
