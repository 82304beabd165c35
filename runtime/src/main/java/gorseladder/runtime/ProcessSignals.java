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
  private static final String RELOAD = "HUP";
  private static final String[] STOPS = {"TERM", "INT"};
  /** How the machine names a signal in its table. */
  private static final String PREFIX = "SIG";

  private final Runnable onSecondStop;
  private final boolean reloads;
  private boolean reloadAsked;
  private boolean stopAsked;

  private ProcessSignals(Runnable onSecondStop, boolean reloads) {
    this.onSecondStop = onSecondStop;
    this.reloads = reloads;
  }

  /** Begins to notice signals to stop and to read the configuration again; one more signal to stop changes nothing. */
  public static ProcessSignals stopsAndReloads() {
    return notice(new ProcessSignals(() -> {}, true));
  }

  /**
   * Begins to notice signals to stop.
   *
   * @param onSecondStop run at each of them after the first one, on a thread of the machine; must not block
   */
  public static ProcessSignals stops(Runnable onSecondStop) {
    return notice(new ProcessSignals(onSecondStop, false));
  }

  private static ProcessSignals notice(ProcessSignals signals) {
    if (signals.reloads) {
      Signal.handle(new Signal(RELOAD), signals::noteReload);
    }
    for (String stop : STOPS) {
      Signal.handle(new Signal(stop), signals::noteStop);
    }
    try {
      signals.noteAtLookUp();
    } catch (ReflectiveOperationException | RuntimeException e) {
      LOG.warn("a signal is lost where no thread can be started for it: {}", e.getMessage());
    }
    return signals;
  }

  private void noteAtLookUp() throws ReflectiveOperationException {
    Field field = Class.forName("jdk.internal.misc.Signal").getDeclaredField("handlers");
    field.setAccessible(true);
    Map<?, ?> handlers = (Map<?, ?>) field.get(null);
    field.set(null, new NotingTable(handlers));
  }

  /**
   * The table of handlers; the signals of this class are noted when they are looked up, and have no handler beside
   * that.
   */
  private final class NotingTable extends Hashtable<Object, Object> {
    private static final long serialVersionUID = 1L;

    private NotingTable(Map<?, ?> handlers) {
      super(handlers);
    }

    @Override
    public synchronized Object get(Object signal) {
      String name = String.valueOf(signal);
      if (reloads && name.equals(PREFIX + RELOAD)) {
        noteReload(null);
        return null;
      }
      for (String stop : STOPS) {
        if (name.equals(PREFIX + stop)) {
          noteStop(null);
          return null;
        }
      }
      return super.get(signal);
    }
  }

  private synchronized void noteReload(Signal signal) {
    reloadAsked = true;
    notifyAll();
  }

  private synchronized void noteStop(Signal signal) {
    if (stopAsked) {
      onSecondStop.run();
    }
    stopAsked = true;
    notifyAll();
  }

  /** Waits for a signal: true where the process is to stop, false where it is to read its configuration again. */
  public synchronized boolean awaitStop() throws InterruptedException {
    while (!stopAsked && !reloadAsked) {
      wait();
    }
    reloadAsked = false;
    return stopAsked;
  }
}
