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
 * Connections that hold a thread and wait for a request. Where no thread can be had one of them gives its own to a
 * client that has asked; {@link ThreadReclaimer} says which. Any thread; nothing here blocks.
 */
final class IdleConnections implements ThreadReclaimer.Source {
  private final Map<HttpConnection, Long> idleSince = new ConcurrentHashMap<>();

  /** A connection begins to wait for a request. */
  void add(HttpConnection connection) {
    idleSince.put(connection, Clock.micros());
  }

  /** It waits no longer; false where it was chosen to end, and then it must carry no request. */
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

  /** Ends it unless a request has come on it. */
  private boolean closeIfIdle(HttpConnection connection) {
    if (connection.hasBytesToRead() || idleSince.remove(connection) == null) {
      return false;
    }
    connection.close();
    return true;
  }
}
