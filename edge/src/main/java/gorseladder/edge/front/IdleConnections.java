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
  private final Map<HttpConnection, Long> since = new ConcurrentHashMap<>();

  /** A connection begins to wait for a request. */
  void waits(HttpConnection connection) {
    since.put(connection, Clock.micros());
  }

  /** It waits no longer; false where it was chosen to end, and then it must carry no request. */
  boolean resumes(HttpConnection connection) {
    return since.remove(connection) != null;
  }

  @Override
  public List<IdleConnection> idle(long now) {
    List<IdleConnection> idle = new ArrayList<>();
    since.forEach((connection, at) ->
        idle.add(new IdleConnection(new Holder(now - at, false), () -> end(connection))));
    return idle;
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
