package gorseladder.core;

import gorseladder.runtime.Clock;
import gorseladder.threads.ThreadSharing;
import gorseladder.threads.ThreadSharing.Holder;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * Ends a connection on which nothing is out, so that its thread can serve a client that has asked; which one
 * {@link ThreadSharing} says. Any thread; nothing here blocks.
 */
public final class ThreadReclaimer {
  /** A connection may have been used since it was seen idle; so many others are then tried. */
  private static final int TRIES = 4;

  /**
   * A connection that has a thread and on which nothing is out.
   *
   * @param closeIfFree closes it where still nothing is out on it; false where something is
   */
  public record IdleConnection(Holder holder, BooleanSupplier closeIfIdle) {}

  /** Who has such connections. */
  public interface Source {
    /** Those that it has now ({@link Clock#micros()}). */
    List<IdleConnection> idle(long now);
  }

  private final List<Source> sources;

  /** Shares the threads of these. */
  public ThreadReclaimer(Source... sources) {
    this.sources = List.of(sources);
  }

  /**
   * Has one connection end; false where none should.
   *
   * @param waited for how long the client has waited, in microseconds
   */
  public boolean reclaim(long waited) {
    long now = Clock.micros();
    List<IdleConnection> idle = sources.stream()
        .flatMap(source -> source.idle(now).stream())
        .collect(Collectors.toCollection(ArrayList::new));
    for (int tries = 0; tries < TRIES; tries++) {
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
