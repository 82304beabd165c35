package review;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A front's web server: FastCGI 1.0, role Responder, KEEP_CONN. */
final class FastCgi {
  /** Length of the head of a record. */
  static final int HEAD_BYTES = 8;

  private final int port;
  private Socket socket;

  FastCgi(int port) {
    this.port = port;
  }

  /** Opens the connection. */
  void connect() throws IOException {
    socket = new Socket();
    socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
    socket.setTcpNoDelay(true);
  }

  private static void record(ByteArrayOutputStream out, int type, int id, byte[] content) {
    out.writeBytes(new byte[] {
      1, (byte) type, (byte) (id >> 8), (byte) id, (byte) (content.length >> 8), (byte) content.length, 0, 0
    });
    out.writeBytes(content);
  }

  private static byte[] params(Map<String, String> fields) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    fields.forEach((name, value) -> {
      out.write(name.length());
      out.write(value.length());
      out.writeBytes(name.getBytes(StandardCharsets.US_ASCII));
      out.writeBytes(value.getBytes(StandardCharsets.US_ASCII));
    });
    return out.toByteArray();
  }

  /** The bytes of a request to a path with further fields and a body. */
  static byte[] request(int number, String path, Map<String, String> more, byte[] body) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("REQUEST_METHOD", "POST");
    fields.put("SCRIPT_NAME", path);
    fields.put("CONTENT_LENGTH", Integer.toString(body.length));
    fields.putAll(more);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    record(out, 1, number, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
    record(out, 4, number, params(fields));
    record(out, 4, number, new byte[0]);
    if (body.length > 0) {
      record(out, 5, number, body);
    }
    record(out, 5, number, new byte[0]);
    return out.toByteArray();
  }

  /** The bytes of a call, with all fields of the protocol's table. */
  static byte[] call(int number, String requestClass, String tenant, String id, String object, int timeoutMillis) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("HTTP_X_REQUEST_ID", id);
    fields.put("HTTP_X_TIMEOUT_MS", Integer.toString(timeoutMillis));
    fields.put("HTTP_X_TENANT", tenant);
    fields.put("HTTP_X_OBJECT", object);
    fields.put("HTTP_X_FACTS", "memory_mb:256;lanes:4;load_ms:300");
    return request(number, "/svc/" + requestClass, fields, ("body of " + id).getBytes(StandardCharsets.US_ASCII));
  }

  /** Writes bytes. */
  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /** Reads the answer of the next request that ends: its CGI response, or "protocol status N". */
  String receive(int millis) throws IOException {
    socket.setSoTimeout(millis);
    DataInputStream in = new DataInputStream(socket.getInputStream());
    StringBuilder out = new StringBuilder();
    while (true) {
      byte[] head = new byte[8];
      in.readFully(head);
      byte[] content = new byte[(head[4] & 255) << 8 | head[5] & 255];
      in.readFully(content);
      in.readNBytes(head[6] & 255);
      if (head[1] == 6) {
        out.append(new String(content, StandardCharsets.ISO_8859_1));
      } else if (head[1] == 3) {
        return out.length() > 0 ? out.toString() : "protocol status " + content[4];
      }
    }
  }

  /** Closes the connection. */
  void leave() throws IOException {
    if (socket != null) {
      socket.close();
    }
  }
}
