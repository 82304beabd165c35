package gorseladder.core;

import gorseladder.runtime.Clock;
import gorseladder.threads.ThreadSharing;
import gorseladder.threads.ThreadSharing.Holder;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * Closes an idle connection so that its thread can serve a client that has sent a request; {@link ThreadSharing}
 * chooses the connection. Thread safe and non-blocking.
 */
public final class ThreadReclaimer {
  /** Candidates tried, since a connection may have become busy after it was listed as idle. */
  private static final int MAX_TRIES = 4;

  /**
   * A connection that has a thread and no call in progress.
   *
   * @param closeIfIdle closes the connection if it is still idle; returns false if it is not
   */
  public record IdleConnection(Holder holder, BooleanSupplier closeIfIdle) {}

  /** An owner of connections. */
  public interface Source {
    /** The connections that are idle now ({@link Clock#micros()}). */
    List<IdleConnection> idle(long now);
  }

  private final List<Source> sources;

  /** Creates a reclaimer for the connections of these owners. */
  public ThreadReclaimer(Source... sources) {
    this.sources = List.of(sources);
  }

  /**
   * Closes one idle connection.
   *
   * @param waited how long the client has waited, in microseconds
   * @return false if no connection should be closed
   */
  public boolean reclaim(long waited) {
    long now = Clock.micros();
    List<IdleConnection> idle = sources.stream()
        .flatMap(source -> source.idle(now).stream())
        .collect(Collectors.toCollection(ArrayList::new));
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      int picked = ThreadSharing.pick(idle.stream().map(IdleConnection::holder).toList(), waited);
      if (picked < 0) {
        return false;
      }
      if (idle.remove(picked).closeIfIdle().getAsBoolean()) {
        return true;
      }
    }
    return false;
  }
}
