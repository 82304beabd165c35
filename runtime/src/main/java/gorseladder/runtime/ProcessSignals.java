package gorseladder.runtime;

import java.lang.reflect.Field;
import java.util.Hashtable;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * What this process is told by signals: to stop (SIGTERM, SIGINT), to read its configuration again (SIGHUP).
 *
 * <p>The Java machine handles each signal on a new thread, and where it cannot start one the signal is lost
 * ({@code Exception java.lang.OutOfMemoryError occurred dispatching signal}). Guards against that: the machine's own
 * dispatching thread looks a signal's handler up in a table, and the table put in its place here notes the signal at
 * that look-up, so that no thread is needed. That takes {@code Add-Opens: java.base/jdk.internal.misc}, which the jar's
 * manifest has. Where it is missing, or the table is not as expected, the machine's way is used and a line says so. It
 * could harm where a later machine looks handlers up at other times too; each look-up would then count as a signal.
 *
 * <p>Any thread.
 */
public final class ProcessSignals {
  private static final Logger LOG = LoggerFactory.getLogger(ProcessSignals.class);
  private static final String RELOAD_SIGNAL = "HUP";
  private static final String[] STOP_SIGNALS = {"TERM", "INT"};
  /** How the machine names a signal in its table. */
  private static final String TABLE_NAME_PREFIX = "SIG";

  private final Runnable onSecondStop;
  private final boolean handlesReload;
  private boolean reloadRequested;
  private boolean stopRequested;

  private ProcessSignals(Runnable onSecondStop, boolean handlesReload) {
    this.onSecondStop = onSecondStop;
    this.handlesReload = handlesReload;
  }

  /** Begins to notice signals to stop and to read the configuration again; one more signal to stop changes nothing. */
  public static ProcessSignals listenForStopAndReload() {
    return install(new ProcessSignals(() -> {}, true));
  }

  /**
   * Begins to notice signals to stop.
   *
   * @param onSecondStop run at each of them after the first one, on a thread of the machine; must not block
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
   * The table of handlers; the signals of this class are noted when they are looked up, and have no handler beside
   * that.
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

  /** Waits for a signal: true where the process is to stop, false where it is to read its configuration again. */
  public synchronized boolean awaitStopOrReload() throws InterruptedException {
    while (!stopRequested && !reloadRequested) {
      wait();
    }
    reloadRequested = false;
    return stopRequested;
  }
}
