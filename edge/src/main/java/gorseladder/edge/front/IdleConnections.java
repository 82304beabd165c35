package gorseladder.edge.front;

import gorseladder.core.ThreadReclaimer;
import gorseladder.core.ThreadReclaimer.IdleConnection;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.threads.ThreadSharing.Holder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Connections that hold a thread while they wait for a request. If the system has no thread for a client that has sent
 * a request, one of them is closed to release its thread; {@link ThreadReclaimer} chooses which.
 *
 * <p>Thread safe; no method blocks.
 */
final class IdleConnections implements ThreadReclaimer.Source {
  private final Map<HttpConnection, Long> idleSince = new ConcurrentHashMap<>();

  /** Adds a connection that starts to wait for a request. */
  void add(HttpConnection connection) {
    idleSince.put(connection, Clock.micros());
  }

  /**
   * Removes a connection that no longer waits; returns false if it was chosen to be closed and must carry no request.
   */
  boolean remove(HttpConnection connection) {
    return idleSince.remove(connection) != null;
  }

  @Override
  public List<IdleConnection> idle(long now) {
    List<IdleConnection> idle = new ArrayList<>();
    idleSince.forEach((connection, at) ->
        idle.add(new IdleConnection(new Holder(now - at, false), () -> closeIfIdle(connection))));
    return idle;
  }

  /** Closes a connection unless a request has arrived on it, read or unread. */
  private boolean closeIfIdle(HttpConnection connection) {
    if (!connection.isIdle() || idleSince.remove(connection) == null) {
      return false;
    }
    connection.close();
    return true;
  }
}
