package gorseladder.soak;

import gorseladder.runtime.Clock;
import gorseladder.testbed.platform.PlatformChangeLog;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The change log, which each dispatcher reaches by its own proxy, and the changes of runners that it announced.
 * Thread-safe.
 */
final class ChangeLogs implements Closeable {
  private final List<String> events = new ArrayList<>();
  private final PlatformChangeLog log;
  private final List<Oracle.RunnerChange> changes = new ArrayList<>();
  private final Map<Integer, FaultProxy> proxies = new HashMap<>();
  private final List<FaultProxy> replaced = new ArrayList<>();

  /** Creates a log that lists these runners as started long ago. */
  ChangeLogs(List<SoakRunner> runners) throws IOException {
    for (SoakRunner runner : runners) {
      events.add(event(runner, "active", 0));
    }
    log = new PlatformChangeLog(events);
  }

  private String event(SoakRunner runner, String state, long bootMillis) {
    return PlatformChangeLog.event(
        events.size() + 1,
        events.isEmpty(),
        runner.uid(),
        runner.proxy().address(),
        state,
        bootMillis);
  }

  /** The events so far. */
  List<String> knownEvents() {
    synchronized (log) {
      return List.copyOf(events);
    }
  }

  /** Announces that a runner has just started. */
  void announceStart(SoakRunner runner) {
    add(runner, "active", System.currentTimeMillis(), false);
  }

  /** Announces that a runner drains. */
  void announceDrain(SoakRunner runner) {
    add(runner, "leaving", 0, true);
  }

  /** Announces that a runner has gone. */
  void announceGone(SoakRunner runner) {
    add(runner, "left", 0, true);
  }

  private void add(SoakRunner runner, String state, long bootMillis, boolean draining) {
    synchronized (log) {
      log.add(event(runner, state, bootMillis));
      changes.add(new Oracle.RunnerChange(
          runner.uid(), runner, Clock.micros(), draining, draining ? 0 : runner.startedAt()));
    }
  }

  List<Oracle.RunnerChange> changes() {
    synchronized (log) {
      return List.copyOf(changes);
    }
  }

  /** Returns the proxy by which a dispatcher reaches the log at present; creates it where there is none. */
  FaultProxy proxy(int dispatcher) throws IOException {
    synchronized (log) {
      if (!proxies.containsKey(dispatcher)) {
        proxies.put(dispatcher, new FaultProxy(log.address()));
      }
      return proxies.get(dispatcher);
    }
  }

  /** Gives a dispatcher a new proxy to the log; returns the previous one, which stays open. */
  FaultProxy replaceProxy(int dispatcher) throws IOException {
    synchronized (log) {
      FaultProxy before = proxies.put(dispatcher, new FaultProxy(log.address()));
      replaced.add(before);
      return before;
    }
  }

  @Override
  public void close() throws IOException {
    synchronized (log) {
      for (FaultProxy proxy : proxies.values()) {
        proxy.close();
      }
      for (FaultProxy proxy : replaced) {
        proxy.close();
      }
      log.close();
    }
  }
}
