package gorseladder.wire.http1;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Builds one message with content of known length, as bytes for a single write. Not thread safe.
 *
 * <p>Names and values must hold no control character; one that does is a programming error and throws, since it could
 * split the message.
 */
public final class HeadWriter {
  private final StringBuilder head = new StringBuilder(256);

  private HeadWriter() {}

  /** Begins a request; the target must be in its encoded form. */
  public static HeadWriter request(String method, String target, String host) {
    HeadWriter w = new HeadWriter();
    w.head.append(safe(method)).append(' ').append(safe(target)).append(" HTTP/1.1\r\n");
    return w.field("Host", host);
  }

  /** Begins a response. */
  public static HeadWriter response(int status) {
    HeadWriter w = new HeadWriter();
    w.head.append("HTTP/1.1 ").append(status).append(' ').append(phrase(status)).append("\r\n");
    return w;
  }

  /** Adds a field. */
  public HeadWriter field(String name, Object value) {
    head.append(safe(name)).append(": ").append(safe(String.valueOf(value))).append("\r\n");
    return this;
  }

  /** The whole message with its Content-Length. */
  public byte[] with(byte[] content) {
    byte[] begin = headFor(content);
    byte[] message = Arrays.copyOf(begin, begin.length + content.length);
    System.arraycopy(content, 0, message, begin.length, content.length);
    return message;
  }

  /** The head of a message with that content, which follows it in a write of its own and needs no copy. */
  public byte[] headFor(byte[] content) {
    field("Content-Length", content.length);
    head.append("\r\n");
    return head.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String safe(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) < 0x20 && text.charAt(i) != '\t' || text.charAt(i) == 0x7f) {
        throw new IllegalArgumentException("a control character in a header");
      }
    }
    return text;
  }

  private static String phrase(int status) {
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
