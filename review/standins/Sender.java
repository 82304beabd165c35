package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** A sender of signed webhooks (Standard Webhooks) with one connection, which it opens when needed. */
final class Sender {
  private static final byte[] KEY = "review-key-of-thirty-two-bytes!!".getBytes(StandardCharsets.US_ASCII);
  static final String SECRET = "whsec_" + Base64.getEncoder().encodeToString(KEY);

  private final int port;
  private Socket socket;

  Sender(int port) {
    this.port = port;
  }

  /** The bytes of a signed request. */
  static byte[] request(String path, String id, String type, String function, long stampSeconds) throws Exception {
    String body = "{\"type\":\"" + type + "\",\"timestamp\":\"2026-12-01T12:00:00Z\",\"data\":{\"function\":\""
        + function + "\"}}";
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(KEY, "HmacSHA256"));
    String signature = Base64.getEncoder()
        .encodeToString(mac.doFinal((id + "." + stampSeconds + "." + body).getBytes(StandardCharsets.UTF_8)));
    return ("POST " + path + " HTTP/1.1\r\nHost: edge\r\nContent-Type: application/json\r\nwebhook-id: " + id
            + "\r\nwebhook-timestamp: " + stampSeconds + "\r\nwebhook-signature: v1," + signature
            + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
        .getBytes(StandardCharsets.UTF_8);
  }

  static byte[] request(String id, String type, String function) throws Exception {
    return request("/hooks/office", id, type, function, System.currentTimeMillis() / 1000);
  }

  /** Opens the connection if there is none. */
  void connect() throws IOException {
    if (socket == null) {
      socket = new Socket();
      socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
      socket.setTcpNoDelay(true);
    }
  }

  /** Writes a request, on the open connection if there is one. */
  void send(byte[] request) throws IOException {
    connect();
    socket.getOutputStream().write(request);
  }

  /** Reads the answer; null if the connection ends without one. */
  Http receive(int millis) throws IOException {
    try {
      socket.setSoTimeout(millis);
      Http answer = Http.read(socket.getInputStream());
      if (answer == null || "close".equals(answer.field("connection"))) {
        leave();
      }
      return answer;
    } catch (SocketTimeoutException e) {
      leave();
      throw e;
    } catch (IOException e) {
      leave();
      return null;
    }
  }

  /** Closes the connection. */
  void leave() throws IOException {
    if (socket != null) {
      socket.close();
    }
    socket = null;
  }
}
