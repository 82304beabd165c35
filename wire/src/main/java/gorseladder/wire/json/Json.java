package gorseladder.wire.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Converts JSON to and from maps, lists, strings, doubles, booleans and null, for small messages. Thread safe. */
public final class Json {
  private static final JsonFactory FACTORY = new JsonFactory();

  private Json() {}

  /**
   * Parses one value. Every number becomes a double.
   *
   * @throws IllegalArgumentException if the bytes are not exactly one JSON value
   */
  public static Object read(byte[] bytes) {
    try (JsonParser in = FACTORY.createParser(bytes)) {
      in.nextToken();
      Object value = value(in);
      if (in.nextToken() != null) {
        throw new IllegalArgumentException("something follows the JSON value");
      }
      return value;
    } catch (IOException e) {
      throw new IllegalArgumentException(
          "not JSON: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
    }
  }

  private static Object value(JsonParser in) throws IOException {
    JsonToken token = in.currentToken();
    if (token == null) {
      throw new IllegalArgumentException("not JSON: empty");
    }
    return switch (token) {
      case START_OBJECT -> {
        Map<String, Object> object = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
          String name = in.currentName();
          in.nextToken();
          object.put(name, value(in));
        }
        yield object;
      }
      case START_ARRAY -> {
        List<Object> list = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          list.add(value(in));
        }
        yield list;
      }
      case VALUE_STRING -> in.getText();
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> in.getDoubleValue();
      case VALUE_TRUE -> Boolean.TRUE;
      case VALUE_FALSE -> Boolean.FALSE;
      default -> null;
    };
  }

  /** Returns the member at a path of names, or null if a part of the path is absent or not an object. */
  public static Object at(Object value, String... path) {
    Object at = value;
    for (String name : path) {
      at = at instanceof Map<?, ?> map ? map.get(name) : null;
    }
    return at;
  }

  /** Writes a value made of maps, iterables, strings, numbers, booleans and null on one line. */
  public static String write(Object value) {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = FACTORY.createGenerator(text)) {
      write(out, value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString();
  }

  private static void write(JsonGenerator out, Object value) throws IOException {
    if (value instanceof Map<?, ?> map) {
      out.writeStartObject();
      for (Map.Entry<?, ?> e : map.entrySet()) {
        out.writeFieldName(String.valueOf(e.getKey()));
        write(out, e.getValue());
      }
      out.writeEndObject();
    } else if (value instanceof Iterable<?> list) {
      out.writeStartArray();
      for (Object item : list) {
        write(out, item);
      }
      out.writeEndArray();
    } else if (value instanceof Double || value instanceof Float) {
      out.writeNumber(((Number) value).doubleValue());
    } else if (value instanceof Number number) {
      out.writeNumber(number.longValue());
    } else if (value instanceof Boolean bool) {
      out.writeBoolean(bool);
    } else if (value == null) {
      out.writeNull();
    } else {
      out.writeString(value.toString());
    }
  }
}
