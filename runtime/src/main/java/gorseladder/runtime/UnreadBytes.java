package gorseladder.runtime;

import java.io.IOException;
import java.nio.channels.SocketChannel;

/** Checks, without blocking or reading, whether a connection has bytes to read. Thread safe. */
public final class UnreadBytes {
  private UnreadBytes() {}

  /** Whether the socket buffer holds unread bytes; false on a connection that has ended. */
  public static boolean on(SocketChannel connection) {
    return count(connection) > 0;
  }

  /** Number of unread bytes in the socket buffer; 0 on a connection that has ended. */
  public static int count(SocketChannel connection) {
    try {
      return connection.socket().getInputStream().available();
    } catch (IOException e) {
      // The reader of the connection gets the error.
      return 0;
    }
  }
}
