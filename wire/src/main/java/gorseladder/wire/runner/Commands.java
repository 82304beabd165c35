package gorseladder.wire.runner;

import java.nio.charset.StandardCharsets;

/**
 * Writes commands to a runner as lines of words (the platform's protocol, "Dispatchers to runners" and "Orders to load
 * and unload"). Pure functions; any thread. Ids, classes, functions and keys must be words without spaces, commas or
 * line ends.
 */
public final class Commands {
  private Commands() {}

  /**
   * Runs a request.
   *
   * @param max how long the answer is awaited, in milliseconds
   * @param key the client's idempotency key, by which the runner knows a repeat; null where it gave none
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

  /** Gives a request up; there is no answer. */
  public static byte[] halt(String id) {
    return ascii("halt " + id + "\r\n");
  }

  /** Orders at least so many copies held; 0 only asks. */
  public static byte[] stage(String tag, String function, int copies) {
    return ascii("stage " + tag + " thing=" + function + ",pods=" + copies + "\r\n");
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
