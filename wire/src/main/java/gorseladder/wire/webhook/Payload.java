package gorseladder.wire.webhook;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;

/**
 * The fields of a payload that the gateway uses (Standard Webhooks specification, "Payload structure"): the event type
 * and, in {@code data}, the function and optional hints for the call. The runner gets the whole payload unchanged.
 *
 * @param type the event type, not empty
 * @param function {@code data.function}, null if absent
 * @param memoryMb {@code data.memory_mb}, 0 if absent
 * @param lanes {@code data.lanes}, the number of concurrent calls per copy, 0 if absent
 * @param loadMillis {@code data.load_ms}, 0 if absent
 */
public record Payload(String type, String function, double memoryMb, int lanes, long loadMillis) {
  private static final JsonFactory JSON = JsonFactory.builder()
      .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
      .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(64).build())
      .build();

  /**
   * Parses a payload.
   *
   * @throws IllegalArgumentException if the payload is invalid; the message says what is wrong and where
   */
  public static Payload parse(byte[] body) {
    Reader reader = new Reader();
    try (JsonParser in = JSON.createParser(body)) {
      if (in.nextToken() != JsonToken.START_OBJECT) {
        throw new IllegalArgumentException("the payload is not a JSON object");
      }
      reader.object(in, false);
      if (in.nextToken() != null) {
        throw new IllegalArgumentException("something follows the JSON object");
      }
    } catch (IOException e) {
      throw new IllegalArgumentException(
          "not JSON: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
    }
    if (reader.type == null || reader.type.isEmpty()) {
      throw new IllegalArgumentException("the payload has no type");
    }
    return new Payload(
        reader.type, reader.function, reader.memoryMb, reader.lanes, reader.loadMillis);
  }

  private static final class Reader {
    private String type;
    private String function;
    private double memoryMb;
    private int lanes;
    private long loadMillis;

    private void object(JsonParser in, boolean data) throws IOException {
      while (in.nextToken() != JsonToken.END_OBJECT) {
        String name = in.currentName();
        JsonToken token = in.nextToken();
        if (!data && name.equals("data") && token == JsonToken.START_OBJECT) {
          object(in, true);
        } else if (!data && name.equals("type")) {
          type = text(in, "type");
        } else if (data && name.equals("function")) {
          function = functionName(text(in, "data.function"));
        } else if (data && name.equals("memory_mb")) {
          memoryMb = number(in, "data.memory_mb", 1e7);
        } else if (data && name.equals("lanes")) {
          lanes = (int) number(in, "data.lanes", 1024);
        } else if (data && name.equals("load_ms")) {
          loadMillis = (long) number(in, "data.load_ms", 3_600_000);
        } else {
          in.skipChildren();
        }
      }
    }

    private static String text(JsonParser in, String where) throws IOException {
      if (in.currentToken() != JsonToken.VALUE_STRING) {
        throw new IllegalArgumentException(where + " is not a string");
      }
      return in.getText();
    }

    private static String functionName(String name) {
      if (name.isEmpty()
          || name.length() > 200
          || !name.chars().allMatch(c -> c > 0x20 && c < 0x7f)) {
        throw new IllegalArgumentException(
            "data.function is not 1 to 200 visible ASCII characters");
      }
      return name;
    }

    private static double number(JsonParser in, String where, double max) throws IOException {
      if (!in.currentToken().isNumeric()
          || !(in.getDoubleValue() >= 0 && in.getDoubleValue() <= max)) {
        throw new IllegalArgumentException(where + " is not a number from 0 to " + (long) max);
      }
      return in.getDoubleValue();
    }
  }
}
