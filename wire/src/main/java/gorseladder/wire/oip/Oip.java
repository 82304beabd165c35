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
 * The parts of the Open Inference Protocol v2 over HTTP (KServe, "Predict Protocol - Version 2", HTTP/REST) and of its
 * model repository extension that a call and a load order need. A webhook payload travels as one BYTES tensor.
 *
 * <p>What the protocol has no place for stands in header fields, all stated by the runner:
 * {@link #EXECUTED}, {@link #COPY_STATUS}, {@link #CONCURRENCY}; the load report in {@link LoadReport#HEADER}. Pure functions; any
 * thread.
 */
public final class Oip {
  /** {@code no} where the call surely did not run; anything else promises nothing. */
  public static final String EXECUTED = "gorseladder-ran";
  /** {@code found}, {@code began}, {@code awaited} or {@code load-failed}. */
  public static final String COPY_STATUS = "gorseladder-copy";
  /** Calls for the same function that the runner held when this one came. */
  public static final String CONCURRENCY = "gorseladder-crowd";
  /** The ordinal of the edge that sends. */
  public static final String EDGE_ORDINAL = "gorseladder-edge";
  /** Milliseconds that the caller will wait. */
  public static final String TIMEOUT_MILLIS = "gorseladder-patience-ms";
  /** Memory of one copy in MB, calls at a time and usual load time in ms, where told by the caller. */
  public static final String MEMORY_MB = "gorseladder-footprint-mb";

  public static final String LANES = "gorseladder-lanes";
  public static final String LOAD_MILLIS = "gorseladder-load-ms";

  private static final JsonFactory JSON = new JsonFactory();

  private Oip() {}

  /** The request target that runs a model once. */
  public static String inferTarget(String model) {
    return "/v2/models/" + encode(model) + "/infer";
  }

  /** The request target that loads a model. */
  public static String loadTarget(String model) {
    return "/v2/repository/models/" + encode(model) + "/load";
  }

  /** The model named by a target that begins with the prefix and ends with the suffix; null where it does not. */
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
      boolean plain = b >= 'a' && b <= 'z'
          || b >= 'A' && b <= 'Z'
          || b >= '0' && b <= '9'
          || "-._~".indexOf(b) >= 0;
      out.append(plain ? String.valueOf((char) b) : String.format("%%%02X", b & 0xff));
    }
    return out.toString();
  }

  /** An inference request that carries one payload. */
  public static byte[] request(String id, byte[] payload) {
    return message(id, null, "inputs", "payload", payload);
  }

  /** An inference response that carries one result. */
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
   * Reads the one tensor of a request or response.
   *
   * @throws IllegalArgumentException where the message is not one with a string tensor
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

  /** A load order for so many copies ({@code parameters.copies}, an extension). */
  public static byte[] loadRequest(int copies) {
    return ("{\"parameters\":{\"copies\":" + copies + "}}").getBytes(StandardCharsets.US_ASCII);
  }

  /** The copies that an order or its answer names; 1 for an order without the parameter. */
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
