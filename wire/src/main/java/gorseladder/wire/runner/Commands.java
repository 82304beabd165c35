package gorseladder.wire.runner;

import java.nio.charset.StandardCharsets;

/**
 * Encodes commands to a runner as text lines (the platform's protocol, "Dispatchers to runners" and "Orders to load and
 * unload"). Stateless and thread safe. Ids, classes, functions and keys must not contain spaces, commas or line breaks.
 */
public final class Commands {
  private Commands() {}

  /**
   * Encodes a command that runs a request.
   *
   * @param max time limit for the answer, in milliseconds
   * @param key the client's idempotency key, by which the runner recognizes a repeat; null if there is none
   */
  public static byte[] go(
      String id, String requestClass, String function, long max, String key, byte[] body) {
    byte[] head = ascii("go " + id + " profile=" + requestClass + ",thing=" + function + ",max="
        + max + (key == null ? "" : ",replay=" + key) + " " + body.length + "\r\n");
    byte[] all = new byte[head.length + body.length + 2];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    all[all.length - 2] = '\r';
    all[all.length - 1] = '\n';
    return all;
  }

  /** Encodes a command that cancels a request. The runner does not answer it. */
  public static byte[] halt(String id) {
    return ascii("halt " + id + "\r\n");
  }

  /** Encodes an order to hold at least {@code copies} copies of a function; 0 only queries the number. */
  public static byte[] stage(String tag, String function, int copies) {
    return ascii("stage " + tag + " thing=" + function + ",pods=" + copies + "\r\n");
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
