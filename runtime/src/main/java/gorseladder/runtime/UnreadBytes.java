package gorseladder.runtime;

import java.io.IOException;
import java.nio.channels.SocketChannel;

/** Looks, without waiting and without reading, whether bytes wait on a connection. Any thread. */
public final class UnreadBytes {
  private UnreadBytes() {}

  /** True where the system holds bytes that were not read yet; false on a connection that has ended. */
  public static boolean on(SocketChannel connection) {
    return count(connection) > 0;
  }

  /** How many bytes the system holds that were not read yet; 0 on a connection that has ended. */
  public static int count(SocketChannel connection) {
    try {
      return connection.socket().getInputStream().available();
    } catch (IOException e) {
      // Whoever reads it is told of its end.
      return 0;
    }
  }
}
