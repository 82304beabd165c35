package gorseladder.runtime;

import java.lang.reflect.Field;
import java.util.Hashtable;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * Receives the signals that stop the process (SIGTERM, SIGINT) or make it reload its configuration (SIGHUP).
 *
 * <p>The JVM runs the handler of each signal on a new thread, and loses the signal if it cannot start one
 * ({@code Exception java.lang.OutOfMemoryError occurred dispatching signal}). To avoid that, this class replaces the
 * JDK's table of handlers with one that records the signal when the JVM's signal dispatcher looks up the handler, so
 * that no new thread is needed. This requires {@code Add-Opens: java.base/jdk.internal.misc}, which the manifest of the
 * jar contains. If it is missing, or the table has another form, the standard handlers are used and a warning is
 * logged. A JDK that also looks up handlers at other times would make each look-up count as a signal.
 *
 * <p>Thread safe.
 */
public final class ProcessSignals {
  private static final Logger LOG = LoggerFactory.getLogger(ProcessSignals.class);
  private static final String RELOAD_SIGNAL = "HUP";
  private static final String[] STOP_SIGNALS = {"TERM", "INT"};
  /** Prefix of signal names in the JDK's table. */
  private static final String TABLE_NAME_PREFIX = "SIG";

  private final Runnable onSecondStop;
  private final boolean handlesReload;
  private boolean reloadRequested;
  private boolean stopRequested;

  private ProcessSignals(Runnable onSecondStop, boolean handlesReload) {
    this.onSecondStop = onSecondStop;
    this.handlesReload = handlesReload;
  }

  /** Installs handlers for signals to stop and to reload; further signals to stop have no effect. */
  public static ProcessSignals listenForStopAndReload() {
    return install(new ProcessSignals(() -> {}, true));
  }

  /**
   * Installs handlers for signals to stop.
   *
   * @param onSecondStop run on a JVM thread for each such signal after the first; must not block
   */
  public static ProcessSignals listenForStop(Runnable onSecondStop) {
    return install(new ProcessSignals(onSecondStop, false));
  }

  private static ProcessSignals install(ProcessSignals signals) {
    if (signals.handlesReload) {
      Signal.handle(new Signal(RELOAD_SIGNAL), signals::recordReload);
    }
    for (String stop : STOP_SIGNALS) {
      Signal.handle(new Signal(stop), signals::recordStop);
    }
    try {
      signals.installRecordingTable();
    } catch (ReflectiveOperationException | RuntimeException e) {
      LOG.warn("a signal is lost where no thread can be started for it: {}", e.getMessage());
    }
    return signals;
  }

  private void installRecordingTable() throws ReflectiveOperationException {
    Field field = Class.forName("jdk.internal.misc.Signal").getDeclaredField("handlers");
    field.setAccessible(true);
    Map<?, ?> handlers = (Map<?, ?>) field.get(null);
    field.set(null, new RecordingTable(handlers));
  }

  /**
   * Table of signal handlers that records the signals of this class when their handler is looked up, and returns no
   * handler for them.
   */
  private final class RecordingTable extends Hashtable<Object, Object> {
    private static final long serialVersionUID = 1L;

    private RecordingTable(Map<?, ?> handlers) {
      super(handlers);
    }

    @Override
    public synchronized Object get(Object signal) {
      String name = String.valueOf(signal);
      if (handlesReload && name.equals(TABLE_NAME_PREFIX + RELOAD_SIGNAL)) {
        recordReload(null);
        return null;
      }
      for (String stop : STOP_SIGNALS) {
        if (name.equals(TABLE_NAME_PREFIX + stop)) {
          recordStop(null);
          return null;
        }
      }
      return super.get(signal);
    }
  }

  private synchronized void recordReload(Signal signal) {
    reloadRequested = true;
    notifyAll();
  }

  private synchronized void recordStop(Signal signal) {
    if (stopRequested) {
      onSecondStop.run();
    }
    stopRequested = true;
    notifyAll();
  }

  /** Waits for a signal; returns true if the process is to stop, false if it is to reload its configuration. */
  public synchronized boolean awaitStopOrReload() throws InterruptedException {
    while (!stopRequested && !reloadRequested) {
      wait();
    }
    reloadRequested = false;
    return stopRequested;
  }
}
