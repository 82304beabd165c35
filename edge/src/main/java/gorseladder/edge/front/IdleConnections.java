package gorseladder.edge.front;

import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.threads.ThreadSharing;
import gorseladder.threads.ThreadSharing.Holder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Connections that hold a thread and wait for a request. Where no thread can be had one of them gives its own to a
 * client that has asked; {@link ThreadSharing} says which. Any thread; nothing here blocks.
 */
final class IdleConnections {
  /** A request may have come on a connection since it was seen idle; so many others are then tried. */
  private static final int TRIES = 4;

  private final Map<HttpConnection, Long> since = new ConcurrentHashMap<>();

  /** A connection begins to wait for a request. */
  void waits(HttpConnection connection) {
    since.put(connection, Clock.micros());
  }

  /** It waits no longer; false where it was chosen to end, and then it must carry no request. */
  boolean resumes(HttpConnection connection) {
    return since.remove(connection) != null;
  }

  /**
   * Ends one connection; false where none should.
   *
   * @param waited for how long the client has waited, in microseconds
   */
  boolean endOne(long waited) {
    long now = Clock.micros();
    List<HttpConnection> idle = new ArrayList<>();
    List<Holder> holders = new ArrayList<>();
    since.forEach((connection, at) -> {
      idle.add(connection);
      holders.add(new Holder(now - at, false));
    });
    for (int tries = 0; tries < TRIES; tries++) {
      int picked = ThreadSharing.pick(holders, waited);
      if (picked < 0) {
        return false;
      }
      if (end(idle.remove(picked))) {
        return true;
      }
      holders.remove(picked);
    }
    return false;
  }

  /** Ends it unless a request has come on it. */
  private boolean end(HttpConnection connection) {
    if (connection.hasBytesToRead() || since.remove(connection) == null) {
      return false;
    }
    connection.close();
    return true;
  }
}
