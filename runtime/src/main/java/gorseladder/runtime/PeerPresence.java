package gorseladder.runtime;

import java.io.FileDescriptor;
import java.io.IOException;
import java.lang.reflect.Method;
import java.nio.channels.SocketChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells, without blocking or reading, whether the peer of a connection has closed it, also if bytes that are not read
 * yet stand before the end. No method of the JDK tells that; its own binding of poll(2) does, with {@code POLLRDHUP},
 * which requires {@code Add-Opens: java.base/sun.nio.ch}. Where that is missing, an end behind unread bytes is not seen
 * and a warning is logged once.
 *
 * <p>Thread safe. A look takes one system call.
 */
public final class PeerPresence {
  private static final Logger LOG = LoggerFactory.getLogger(PeerPresence.class);
  private static final int POLLIN = 0x1;
  private static final int POLLERR = 0x8;
  private static final int POLLHUP = 0x10;
  /** Linux: the peer has closed its writing half. */
  private static final int POLLRDHUP = 0x2000;

  private static final Class<?> CHANNEL_CLASS;
  private static final Method POLL;
  private static final Method DESCRIPTOR;

  /**
   * Calls after which reflection uses compiled code instead of a native call; made at once, not among the first
   * calls.
   */
  private static final int REFLECTION_WARM_UP_CALLS = 20;

  static {
    Class<?> channelClass = null;
    Method poll = null;
    Method descriptor = null;
    try {
      channelClass = Class.forName("sun.nio.ch.SelChImpl");
      descriptor = channelClass.getMethod("getFD");
      descriptor.setAccessible(true);
      poll = Class.forName("sun.nio.ch.Net")
          .getDeclaredMethod("poll", FileDescriptor.class, int.class, long.class);
      poll.setAccessible(true);
    } catch (ReflectiveOperationException | RuntimeException e) {
      LOG.warn("a client that leaves behind unread bytes is seen late: {}", e.getMessage());
      poll = null;
    }
    CHANNEL_CLASS = channelClass;
    POLL = poll;
    DESCRIPTOR = descriptor;
  }

  /** What is seen of a peer. */
  public enum State {
    /** The connection is open and nothing waits to be read. */
    OPEN,
    /** The connection is open and bytes wait to be read. */
    UNREAD,
    /** The peer has closed or reset the connection, or this side has closed it. */
    CLOSED
  }

  private PeerPresence() {}

  /** Loads what the first look needs. */
  public static void prepare() {
    try (SocketChannel channel = SocketChannel.open()) {
      for (int i = 0; i < REFLECTION_WARM_UP_CALLS; i++) {
        look(channel);
      }
    } catch (IOException e) {
      LOG.debug("no channel to prepare with: {}", e.toString());
    }
  }

  /** The state of the connection now. */
  public static State of(SocketChannel connection) {
    if (!connection.isOpen()) {
      return State.CLOSED;
    }
    if (POLL == null || !CHANNEL_CLASS.isInstance(connection)) {
      return UnreadBytes.on(connection) ? State.UNREAD : State.OPEN;
    }
    int events = look(connection);
    if ((events & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
      return State.CLOSED;
    }
    return (events & POLLIN) != 0 ? State.UNREAD : State.OPEN;
  }

  private static int look(SocketChannel connection) {
    if (POLL == null) {
      return 0;
    }
    try {
      return (int) POLL.invoke(null, DESCRIPTOR.invoke(connection), POLLIN | POLLRDHUP, 0L);
    } catch (ReflectiveOperationException e) {
      // The connection fails for its reader too.
      return 0;
    }
  }
}
