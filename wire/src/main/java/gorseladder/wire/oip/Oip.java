package gorseladder.wire.oip;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/**
 * Codec for the parts of the Open Inference Protocol v2 over HTTP (KServe, "Predict Protocol - Version 2", HTTP/REST)
 * and of its model repository extension that calls and load orders use. A webhook payload is sent as one BYTES tensor.
 *
 * <p>Header fields carry what the protocol does not define. The runner sets {@link #EXECUTED}, {@link #COPY_STATUS},
 * {@link #CONCURRENCY} and the load report in {@link LoadReport#HEADER}; the edge sets the others. Stateless and thread
 * safe.
 */
public final class Oip {
  /** {@code no} if the call definitely did not run; any other value or none leaves it open. */
  public static final String EXECUTED = "gorseladder-ran";
  /**
   * How the call got its copy: {@code found} (already loaded), {@code began} (the call started the load),
   * {@code awaited} (waited for a load in progress) or {@code load-failed}.
   */
  public static final String COPY_STATUS = "gorseladder-copy";
  /** Calls for the same function that the runner held when the call arrived. */
  public static final String CONCURRENCY = "gorseladder-crowd";
  /** Ordinal of the sending edge. */
  public static final String EDGE_ORDINAL = "gorseladder-edge";
  /** Milliseconds that the sender waits for the answer. */
  public static final String TIMEOUT_MILLIS = "gorseladder-patience-ms";
  /** Memory of one copy, in MB. */
  public static final String MEMORY_MB = "gorseladder-footprint-mb";
  /** Calls that one copy runs at a time. */
  public static final String LANES = "gorseladder-lanes";
  /** Typical load time of a copy, in milliseconds; absent if unknown. */
  public static final String LOAD_MILLIS = "gorseladder-load-ms";

  private static final JsonFactory JSON = new JsonFactory();

  private Oip() {}

  /** Returns the request target of an inference call. */
  public static String inferTarget(String model) {
    return "/v2/models/" + encode(model) + "/infer";
  }

  /** Returns the request target of a load order. */
  public static String loadTarget(String model) {
    return "/v2/repository/models/" + encode(model) + "/load";
  }

  /** Returns the model named in a path between the prefix and the suffix; null if the path does not match. */
  public static String modelIn(String path, String prefix, String suffix) {
    if (!path.startsWith(prefix)
        || !path.endsWith(suffix)
        || path.length() <= prefix.length() + suffix.length()) {
      return null;
    }
    String name = path.substring(prefix.length(), path.length() - suffix.length());
    try {
      return name.contains("/")
          ? null
          : URLDecoder.decode(name.replace("+", "%2B"), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  /** Percent-encodes all but the unreserved characters of RFC 3986 section 2.3. */
  static String encode(String text) {
    StringBuilder out = new StringBuilder(text.length() + 16);
    for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
      boolean unreserved = b >= 'a' && b <= 'z'
          || b >= 'A' && b <= 'Z'
          || b >= '0' && b <= '9'
          || "-._~".indexOf(b) >= 0;
      out.append(unreserved ? String.valueOf((char) b) : String.format("%%%02X", b & 0xff));
    }
    return out.toString();
  }

  /** Encodes an inference request with one payload. */
  public static byte[] request(String id, byte[] payload) {
    return message(id, null, "inputs", "payload", payload);
  }

  /** Encodes an inference response with one result. */
  public static byte[] response(String id, String model, byte[] result) {
    return message(id, model, "outputs", "result", result);
  }

  private static byte[] message(String id, String model, String list, String name, byte[] content) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(content.length + 128);
    try (JsonGenerator json = JSON.createGenerator(out)) {
      json.writeStartObject();
      json.writeStringField("id", id);
      if (model != null) {
        json.writeStringField("model_name", model);
      }
      json.writeArrayFieldStart(list);
      json.writeStartObject();
      json.writeStringField("name", name);
      json.writeStringField("datatype", "BYTES");
      json.writeArrayFieldStart("shape");
      json.writeNumber(1);
      json.writeEndArray();
      json.writeArrayFieldStart("data");
      json.writeString(new String(content, StandardCharsets.UTF_8));
      json.writeEndArray();
      json.writeEndObject();
      json.writeEndArray();
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  /** The id and the first string of the first tensor of a request or response. */
  public record Content(String id, byte[] data) {}

  /**
   * Parses the one tensor of a request or response.
   *
   * @throws IllegalArgumentException if the message is invalid or has no string tensor
   */
  public static Content content(byte[] message) {
    try (JsonParser in = JSON.createParser(message)) {
      String id = "";
      byte[] data = null;
      int depth = 0;
      for (JsonToken t = in.nextToken(); t != null; t = in.nextToken()) {
        depth += t.isStructStart() ? 1 : t.isStructEnd() ? -1 : 0;
        if (t == JsonToken.VALUE_STRING && depth == 1 && "id".equals(in.currentName())) {
          id = in.getText();
        } else if (t == JsonToken.FIELD_NAME && in.currentName().equals("data") && data == null) {
          data = firstString(in);
        }
      }
      if (data == null) {
        throw new IllegalArgumentException("no string tensor in the message");
      }
      return new Content(id, data);
    } catch (IOException e) {
      throw new IllegalArgumentException("not an inference message: " + e.getMessage());
    }
  }

  private static byte[] firstString(JsonParser in) throws IOException {
    byte[] data = null;
    if (in.nextToken() != JsonToken.START_ARRAY) {
      throw new IllegalArgumentException("tensor data is not an array");
    }
    while (in.nextToken() != JsonToken.END_ARRAY) {
      if (in.currentToken() == null) {
        throw new IllegalArgumentException("the message ends inside a tensor");
      }
      if (data == null && in.currentToken() == JsonToken.VALUE_STRING) {
        data = in.getText().getBytes(StandardCharsets.UTF_8);
      }
      in.skipChildren();
    }
    return data;
  }

  /** Encodes a load order; the parameter {@code copies} is an extension of the protocol. */
  public static byte[] loadRequest(int copies) {
    return ("{\"parameters\":{\"copies\":" + copies + "}}").getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Returns the number of copies in a load order or its answer; 1 if the parameter is absent.
   *
   * @throws IllegalArgumentException if the message is not JSON
   */
  public static int copiesIn(byte[] message) {
    if (message.length == 0) {
      return 1;
    }
    try (JsonParser in = JSON.createParser(message)) {
      for (JsonToken t = in.nextToken(); t != null; t = in.nextToken()) {
        if (t == JsonToken.VALUE_NUMBER_INT && "copies".equals(in.currentName())) {
          return in.getIntValue();
        }
      }
    } catch (IOException e) {
      throw new IllegalArgumentException("not a load order: " + e.getMessage());
    }
    return 1;
  }
}
