package gorseladder.node.runners;

import gorseladder.attempts.AttemptOutcomes.Ending;
import gorseladder.attempts.ConnectionChoice;
import gorseladder.attempts.ConnectionChoice.Candidate;
import gorseladder.core.ThreadReclaimer.IdleConnection;
import gorseladder.node.NodeCall;
import gorseladder.runtime.Clock;
import gorseladder.threads.ThreadSharing.Holder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The connections to one runner, identified by its id: a new runner at an old address has another link. Thread safe.
 */
final class Link {
  private final String uid;
  private final InetSocketAddress address;
  private final LinkSettings settings;
  private final List<LinkConnection> connections = new ArrayList<>();
  private boolean retired;

  Link(String uid, InetSocketAddress address, LinkSettings settings) {
    this.uid = uid;
    this.address = address;
    this.settings = settings;
  }

  InetSocketAddress address() {
    return address;
  }

  String uid() {
    return uid;
  }

  /** Hands a request to a connection; returns false if none is available, and then none of its bytes is sent. */
  boolean submit(RunnerRequest request) {
    NodeCall call = request.call();
    for (int tries = 0; tries < 3; tries++) {
      LinkConnection connection = choose(request);
      if (connection == null) {
        return false;
      }
      if (call != null) {
        call.claim(connection);
      }
      request.assignTo(connection);
      if (connection.submit(request)) {
        return true;
      }
    }
    return false;
  }

  private synchronized LinkConnection choose(RunnerRequest request) {
    NodeCall call = request.call();
    long now = Clock.micros();
    List<LinkConnection> eligible = new ArrayList<>(connections.size());
    List<Candidate> candidates = new ArrayList<>(connections.size());
    for (LinkConnection c : connections) {
      int inFlight = c.requestsInFlight();
      if (inFlight < settings.maxRequestsPerConnection()
          && c.idle(now) < settings.idleLimit()
          && c.mayAccept(request.id())
          && (call == null || !call.wasCarriedBy(c))) {
        eligible.add(c);
        candidates.add(new Candidate(inFlight, c.idle(now)));
      }
    }
    int picked = ConnectionChoice.pick(request.effect(), candidates, connections.size());
    if (picked >= 0) {
      return eligible.get(picked);
    }
    return retired ? null : open(eligible.isEmpty() ? null : eligible.get(0));
  }

  private LinkConnection open(LinkConnection fallback) {
    if (!settings.descriptors().tryAcquire()) {
      return fallback;
    }
    try {
      LinkConnection connection = new LinkConnection(
          address,
          settings.connectTimeout(),
          settings.maxAnswerBytes(),
          settings.writers(),
          settings.answerMemory().get(),
          this::closed,
          settings.channels());
      if (settings.threads().execute(connection::run)) {
        connections.add(connection);
        return connection;
      }
      connection.discard();
    } catch (IOException | Error e) {
      settings.warnings().accept("no connection to " + uid + ": " + e);
    }
    settings.descriptors().release();
    return fallback;
  }

  private boolean closed(LinkConnection connection, boolean everOpen, String why) {
    settings.descriptors().release();
    settings.closeCounter().count(everOpen, why);
    synchronized (this) {
      connections.remove(connection);
      return connections.stream().anyMatch(LinkConnection::isOpen);
    }
  }

  /**
   * Closes connections that are idle or stuck for too long; if the link is retired, each one without requests in
   * flight.
   */
  void closeIdleOrStuck(long now, long maxWriteMicros) {
    List<LinkConnection> due;
    boolean retiring;
    synchronized (this) {
      due = dueForClosing(now, maxWriteMicros);
      retiring = retired;
    }
    for (LinkConnection c : due) {
      c.closeIfStuck(now, maxWriteMicros);
      if (retiring || c.requestsInFlight() == 0 && c.idle(now) >= settings.idleLimit()) {
        c.retire();
      }
    }
  }

  /**
   * Usually empty, and then takes no lock of a connection and makes no copy: this is called for each runner at each
   * clean-up.
   */
  private List<LinkConnection> dueForClosing(long now, long maxWriteMicros) {
    List<LinkConnection> found = List.of();
    for (LinkConnection c : connections) {
      if (retired || c.idle(now) >= settings.idleLimit() || c.isStuck(now, maxWriteMicros)) {
        found = found.isEmpty() ? new ArrayList<>() : found;
        found.add(c);
      }
    }
    return found;
  }

  /** The connection without requests in flight that has been idle for longest; null if there is none. */
  synchronized LinkConnection longestIdle() {
    long now = Clock.micros();
    return connections.stream()
        .filter(c -> c.requestsInFlight() == 0)
        .max((a, b) -> Long.compare(a.idle(now), b.idle(now)))
        .orElse(null);
  }

  /** The connection that holds most memory for unfinished answers; null if there are no connections. */
  synchronized LinkConnection withMostAnswerBytes() {
    return LinkConnection.withMostAnswerBytes(connections.stream());
  }

  /** Open connections without requests in flight; if the runner has several connections, each counts as spare. */
  synchronized List<IdleConnection> idleConnections(long now) {
    boolean spare = connections.size() > 1;
    List<IdleConnection> idle = new ArrayList<>();
    for (LinkConnection c : connections) {
      if (c.isOpen() && c.requestsInFlight() == 0) {
        idle.add(new IdleConnection(new Holder(c.idle(now), spare, true), c::closeIfIdle));
      }
    }
    return idle;
  }

  /** The runner is gone: opens nothing more, and closes each connection once none of its requests is in flight. */
  void retire() {
    synchronized (this) {
      retired = true;
    }
    closeIdleOrStuck(Clock.micros(), Long.MAX_VALUE);
  }

  /** Whether the link is retired and its last connection closed. */
  synchronized boolean isFinished() {
    return retired && connections.isEmpty();
  }

  synchronized int connectionCount() {
    return connections.size();
  }

  void close() {
    List<LinkConnection> all;
    synchronized (this) {
      retired = true;
      all = new ArrayList<>(connections);
    }
    all.forEach(c -> c.close(Ending.BROKEN, "stopping"));
  }
}
