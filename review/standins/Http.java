package review;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** An HTTP/1.1 message with a Content-Length, as the stand-ins read it. */
record Http(String startLine, Map<String, String> fields, byte[] body) {

  String field(String name) {
    return fields.get(name);
  }

  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  /** Reads one message; null if the connection ends before its first byte. */
  static Http read(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        if (head.length() == 0) {
          return null;
        }
        throw new EOFException("the connection ended inside a head");
      }
      head.append((char) b);
    }
    String[] lines = head.toString().split("\r\n");
    Map<String, String> fields = new HashMap<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      fields.put(
          lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).strip());
    }
    int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("the connection ended inside a body");
    }
    return new Http(lines[0], fields, body);
  }

  /** The bytes of a response with a body. */
  static byte[] response(int status, String fields, String body) {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    return ("HTTP/1.1 " + status + " -\r\n" + fields + "Content-Length: " + content.length + "\r\n\r\n" + body)
        .getBytes(StandardCharsets.UTF_8);
  }
}
