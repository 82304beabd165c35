package gorseladder.wire.http1;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Builder for the head of one message with content of known length. Not thread safe.
 *
 * <p>A control character in a name or value could split the message; it throws IllegalArgumentException.
 */
public final class HeadWriter {
  private final StringBuilder head = new StringBuilder(256);

  private HeadWriter() {}

  /** Starts a request. The target must already be percent-encoded. */
  public static HeadWriter request(String method, String target, String host) {
    HeadWriter writer = new HeadWriter();
    writer
        .head
        .append(requireNoControl(method))
        .append(' ')
        .append(requireNoControl(target))
        .append(" HTTP/1.1\r\n");
    return writer.field("Host", host);
  }

  /** Starts a response. */
  public static HeadWriter response(int status) {
    HeadWriter writer = new HeadWriter();
    writer
        .head
        .append("HTTP/1.1 ")
        .append(status)
        .append(' ')
        .append(reasonPhrase(status))
        .append("\r\n");
    return writer;
  }

  public HeadWriter field(String name, Object value) {
    head.append(requireNoControl(name))
        .append(": ")
        .append(requireNoControl(String.valueOf(value)))
        .append("\r\n");
    return this;
  }

  /** Returns the whole message with its Content-Length, for a single write. */
  public byte[] with(byte[] content) {
    byte[] start = headFor(content);
    byte[] message = Arrays.copyOf(start, start.length + content.length);
    System.arraycopy(content, 0, message, start.length, content.length);
    return message;
  }

  /** Returns the head of a message with this content, which the caller writes separately to avoid a copy. */
  public byte[] headFor(byte[] content) {
    field("Content-Length", content.length);
    head.append("\r\n");
    return head.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String requireNoControl(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) < 0x20 && text.charAt(i) != '\t' || text.charAt(i) == 0x7f) {
        throw new IllegalArgumentException("a control character in a header");
      }
    }
    return text;
  }

  private static String reasonPhrase(int status) {
    return switch (status) {
      case 100 -> "Continue";
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 401 -> "Unauthorized";
      case 403 -> "Forbidden";
      case 404 -> "Not Found";
      case 405 -> "Method Not Allowed";
      case 408 -> "Request Timeout";
      case 409 -> "Conflict";
      case 413 -> "Content Too Large";
      case 417 -> "Expectation Failed";
      case 422 -> "Unprocessable Content";
      case 429 -> "Too Many Requests";
      case 431 -> "Request Header Fields Too Large";
      case 500 -> "Internal Server Error";
      case 501 -> "Not Implemented";
      case 502 -> "Bad Gateway";
      case 503 -> "Service Unavailable";
      case 504 -> "Gateway Timeout";
      case 505 -> "HTTP Version Not Supported";
      default -> "Status";
    };
  }
}
