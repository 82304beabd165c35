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
 * The change log, which each dispatcher reaches by a proxy of its own, and what it told of runners. Any thread.
 */
final class ChangeLogs implements Closeable {
  private final List<String> events = new ArrayList<>();
  private final PlatformChangeLog log;
  private final List<Oracle.Told> told = new ArrayList<>();
  private final Map<Integer, FaultProxy> proxies = new HashMap<>();
  private final List<FaultProxy> replaced = new ArrayList<>();

  /** A log that knows these runners as long started. */
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
  List<String> known() {
    synchronized (log) {
      return List.copyOf(events);
    }
  }

  /** Tells that a runner has just started. */
  void started(SoakRunner runner) {
    add(runner, "active", System.currentTimeMillis(), false);
  }

  /** Tells that a runner drains. */
  void drains(SoakRunner runner) {
    add(runner, "leaving", 0, true);
  }

  /** Tells that a runner has gone. */
  void gone(SoakRunner runner) {
    add(runner, "left", 0, true);
  }

  private void add(SoakRunner runner, String state, long bootMillis, boolean drains) {
    synchronized (log) {
      log.add(event(runner, state, bootMillis));
      told.add(new Oracle.Told(
          runner.uid(), runner, Clock.micros(), drains, drains ? 0 : runner.startedAt()));
    }
  }

  List<Oracle.Told> told() {
    synchronized (log) {
      return List.copyOf(told);
    }
  }

  /** The proxy by which a dispatcher reaches the log at present; made where there is none. */
  FaultProxy proxy(int dispatcher) throws IOException {
    synchronized (log) {
      if (!proxies.containsKey(dispatcher)) {
        proxies.put(dispatcher, new FaultProxy(log.address()));
      }
      return proxies.get(dispatcher);
    }
  }

  /** Gives a dispatcher a new way to the log; returns the one before, which still stands. */
  FaultProxy replace(int dispatcher) throws IOException {
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
