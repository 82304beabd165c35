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

/** The connections to one runner, by its id: a new runner at an old address is another link. Any thread. */
final class Link {
  private final String uid;
  private final InetSocketAddress address;
  private final LinkSettings settings;
  private final List<LinkConnection> connections = new ArrayList<>();
  private boolean gone;

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

  /** Hands a request to a connection; false where none can be had, and then nothing of it leaves. */
  boolean carry(RunnerRequest request) {
    NodeCall call = request.call();
    for (int tries = 0; tries < 3; tries++) {
      LinkConnection connection = choose(request);
      if (connection == null) {
        return false;
      }
      if (call != null) {
        call.claim(connection);
      }
      request.on(connection);
      if (connection.carry(request)) {
        return true;
      }
    }
    return false;
  }

  private synchronized LinkConnection choose(RunnerRequest request) {
    NodeCall call = request.call();
    long now = Clock.micros();
    List<LinkConnection> may = new ArrayList<>(connections.size());
    List<Candidate> candidates = new ArrayList<>(connections.size());
    for (LinkConnection c : connections) {
      int carrying = c.carrying();
      if (carrying < settings.multiplex()
          && c.idle(now) < settings.idle()
          && c.mayCarry(request.id())
          && (call == null || !call.wasOn(c))) {
        may.add(c);
        candidates.add(new Candidate(carrying, c.idle(now)));
      }
    }
    int picked = ConnectionChoice.pick(request.effect(), candidates, connections.size());
    if (picked >= 0) {
      return may.get(picked);
    }
    return gone ? null : open(may.isEmpty() ? null : may.get(0));
  }

  private LinkConnection open(LinkConnection otherwise) {
    if (!settings.descriptors().tryAcquire()) {
      return otherwise;
    }
    try {
      LinkConnection opened = new LinkConnection(
          address,
          settings.connect(),
          settings.mostAnswer(),
          settings.writers(),
          settings.answerBytes().get(),
          this::closed,
          settings.channels());
      if (settings.threads().execute(opened::run)) {
        connections.add(opened);
        return opened;
      }
      opened.discard();
    } catch (IOException | Error e) {
      settings.log().accept("no connection to " + uid + ": " + e);
    }
    settings.descriptors().release();
    return otherwise;
  }

  private boolean closed(LinkConnection connection, boolean everOpen, String why) {
    settings.descriptors().release();
    settings.closes().count(everOpen, why);
    synchronized (this) {
      connections.remove(connection);
      return connections.stream().anyMatch(LinkConnection::isOpen);
    }
  }

  /** Closes what is idle too long or stuck; once the runner has gone, each connection as it falls free. */
  void check(long now, long stuck) {
    List<LinkConnection> due;
    boolean leaving;
    synchronized (this) {
      due = mayHaveToClose(now, stuck);
      leaving = gone;
    }
    for (LinkConnection c : due) {
      c.closeIfStuck(now, stuck);
      if (leaving || c.carrying() == 0 && c.idle(now) >= settings.idle()) {
        c.retire();
      }
    }
  }

  /** Mostly none, which takes no lock of a connection and no copy: this is asked for each runner again and again. */
  private List<LinkConnection> mayHaveToClose(long now, long stuck) {
    List<LinkConnection> found = List.of();
    for (LinkConnection c : connections) {
      if (gone || c.idle(now) >= settings.idle() || c.isStuck(now, stuck)) {
        found = found.isEmpty() ? new ArrayList<>() : found;
        found.add(c);
      }
    }
    return found;
  }

  /** A connection on which nothing is out, the one used longest ago; null where there is none. */
  synchronized LinkConnection idlest() {
    long now = Clock.micros();
    return connections.stream()
        .filter(c -> c.carrying() == 0)
        .max((a, b) -> Long.compare(a.idle(now), b.idle(now)))
        .orElse(null);
  }

  /** The connection that has most bytes of unfinished answers kept; null where there is none. */
  synchronized LinkConnection keepsMost() {
    return LinkConnection.keepsMost(connections.stream());
  }

  /** Connections on which nothing is out; any of several to one runner is to spare. */
  synchronized List<IdleConnection> idleConnections(long now) {
    boolean spare = connections.size() > 1;
    List<IdleConnection> idle = new ArrayList<>();
    for (LinkConnection c : connections) {
      if (c.isOpen() && c.carrying() == 0) {
        idle.add(new IdleConnection(new Holder(c.idle(now), spare), c::closeIfFree));
      }
    }
    return idle;
  }

  /** The runner has gone: nothing new is opened, and connections close after what is out on them. */
  void goes() {
    synchronized (this) {
      gone = true;
    }
    check(Clock.micros(), Long.MAX_VALUE);
  }

  /** True where nothing is left of a runner that has gone. */
  synchronized boolean finished() {
    return gone && connections.isEmpty();
  }

  synchronized int standing() {
    return connections.size();
  }

  void close() {
    List<LinkConnection> all;
    synchronized (this) {
      gone = true;
      all = new ArrayList<>(connections);
    }
    all.forEach(c -> c.close(Ending.BROKEN, "stopping"));
  }
}
