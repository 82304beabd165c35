package gorseladder.edge.history;

import gorseladder.RouterApi.Loaded;
import gorseladder.RouterApi.Outcome;
import gorseladder.answers.Reason;
import gorseladder.core.Core.AttemptEnd;
import gorseladder.edge.core.TakenCall;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Threads;
import gorseladder.store.history.History;
import gorseladder.store.history.HistoryRow;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts calls, attempts and loads by function, class and tenant, and writes a row of each to the history once a
 * minute. It has its own thread, so that a slow disk delays the history but never a call. Beyond a maximum number of
 * keys in a minute, further functions are counted under an empty function name, so that sums stay exact.
 *
 * <p>Thread safe.
 */
public final class CallHistory implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(CallHistory.class);
  private static final int MAX_KEYS = 20_000;
  private static final long MINUTE_MICROS = 60_000_000;
  private static final long POLL_MILLIS = 500;

  private record Key(String function, String requestClass, String tenant) {}

  private static final class Counts {
    private long calls;
    private long found;
    private long began;
    private long awaited;
    private long refused;
    private long failed;
    private long loads;
    private long loadMicros;
  }

  private final History history;
  private final Thread thread;
  private Map<Key, Counts> counts = new HashMap<>();
  private volatile boolean closed;

  /** Creates the counters of an open history, which {@link #close} closes. */
  public CallHistory(History history, int stackBytes) {
    this.history = history;
    this.thread = Threads.start("history", stackBytes, this::run);
  }

  /** Returns the history, which may be read while it is written. */
  public History history() {
    return history;
  }

  private Counts countsFor(String function, String requestClass, String tenant) {
    Key key = new Key(function, requestClass, tenant);
    Counts existing = counts.get(key);
    if (existing == null) {
      existing = counts.computeIfAbsent(
          counts.size() < MAX_KEYS ? key : new Key("", requestClass, tenant), k -> new Counts());
    }
    return existing;
  }

  private Counts countsFor(TakenCall call) {
    return countsFor(
        call.facts().function(),
        call.facts().requestClass().name(),
        call.facts().tenant());
  }

  /** Counts the final answer of a call. */
  public void callEnded(TakenCall call) {
    // This takes the call's lock, so it must come before the lock of this object is taken.
    Reason.Kind kind = call.answer().reason().kind;
    synchronized (this) {
      Counts c = countsFor(call);
      c.calls++;
      c.refused += kind == Reason.Kind.REFUSED || kind == Reason.Kind.REJECTED ? 1 : 0;
      c.failed += kind == Reason.Kind.FAILED ? 1 : 0;
    }
  }

  /** Counts the copy status of an attempt that was served. */
  public synchronized void attemptEnded(AttemptEnd<TakenCall> end) {
    if (end.outcome() == Outcome.OK) {
      Counts c = countsFor(end.call());
      switch (end.copyStatus()) {
        case WARM -> c.found++;
        case BEGAN -> c.began++;
        case WAITED -> c.awaited++;
        default -> {}
      }
    }
  }

  /** Counts a load order that ended; it belongs to no class or tenant. */
  public synchronized void loadEnded(Loaded loaded) {
    if (loaded.outcome() == Outcome.OK) {
      Counts c = countsFor(loaded.function(), "", "");
      c.loads++;
      c.loadMicros += loaded.latency();
    }
  }

  private void run() {
    long minute = Clock.wallMicros() / MINUTE_MICROS;
    while (!closed) {
      try {
        Thread.sleep(POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      long now = Clock.wallMicros() / MINUTE_MICROS;
      if (now != minute) {
        long ended = minute;
        Threads.guarded("history", () -> write(ended));
        minute = now;
      }
    }
  }

  private synchronized Map<Key, Counts> takeCounts() {
    Map<Key, Counts> taken = counts;
    counts = new HashMap<>();
    return taken;
  }

  /** Writes the rows of a minute. Rows that cannot be written are lost, with a log line; calls go on. */
  private void write(long minute) {
    List<HistoryRow> rows = new ArrayList<>();
    takeCounts()
        .forEach((k, c) -> rows.add(new HistoryRow(
            minute,
            1,
            k.function(),
            k.requestClass(),
            k.tenant(),
            c.calls,
            c.found,
            c.began,
            c.awaited,
            c.refused,
            c.failed,
            c.loads,
            c.loadMicros)));
    if (rows.isEmpty()) {
      // The empty row shows that this edge ran: nothing is known of a minute without any row.
      rows.add(new HistoryRow(minute, 1, "", "", "", 0, 0, 0, 0, 0, 0, 0, 0));
    }
    try {
      history.append(rows);
      history.force();
      history.compact(minute);
    } catch (IOException e) {
      LOG.error("{} rows of history are lost: {}", rows.size(), e.toString());
    }
  }

  /** Writes the current counts and closes the history. */
  @Override
  public void close() {
    closed = true;
    try {
      thread.join(2 * POLL_MILLIS);
      write(Clock.wallMicros() / MINUTE_MICROS);
      history.close();
    } catch (IOException e) {
      LOG.error("the history cannot be closed: {}", e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
