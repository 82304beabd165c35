package gorseladder.app.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.encoder.Encoder;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Supplier;

/**
 * Writes logged events on a thread of its own, so that who logs does not wait for whoever reads. With less than a fifth
 * of the places free, events below WARN are dropped; the others wait for a place.
 *
 * <p>The same as logback's asynchronous appender with one for the console behind it. Those note their settings down as
 * they start, by text that the Java machine makes code for at run time, in each process anew.
 *
 * <p>Any thread.
 */
final class LogWriter extends UnsynchronizedAppenderBase<ILoggingEvent> {
  /** Events that wait for their writing at the most. */
  static final int PLACES = 8_192;

  /** With fewer places free than this, events below WARN are dropped. */
  static final int PLACES_KEPT = PLACES / 5;

  /** For so long a stop waits until what was logged is written. */
  private static final long MOST_FLUSH_MILLIS = 1_000;

  private final Encoder<ILoggingEvent> encoder;
  private final Supplier<PrintStream> out;
  private final BlockingQueue<ILoggingEvent> events = new ArrayBlockingQueue<>(PLACES);
  private final Thread thread = new Thread(this::run, "log");

  /**
   * Writes from {@link #start} on.
   *
   * @param out asked for each event where it goes
   */
  LogWriter(Encoder<ILoggingEvent> encoder, Supplier<PrintStream> out) {
    this.encoder = encoder;
    this.out = out;
  }

  @Override
  public void start() {
    super.start();
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (events.remainingCapacity() < PLACES_KEPT
        && !event.getLevel().isGreaterOrEqual(Level.WARN)) {
      return;
    }
    event.prepareForDeferredProcessing();
    boolean interrupted = false;
    while (!put(event)) {
      interrupted = true;
    }
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for a place; false where the thread was interrupted instead. */
  private boolean put(ILoggingEvent event) {
    try {
      events.put(event);
      return true;
    } catch (InterruptedException e) {
      return false;
    }
  }

  private void run() {
    List<ILoggingEvent> next = new ArrayList<>();
    try {
      while (isStarted()) {
        next.add(events.take());
        events.drainTo(next);
        next.forEach(this::write);
        next.clear();
      }
    } catch (InterruptedException e) {
      // Stopped; what is left is written below.
    }
    events.drainTo(next);
    next.forEach(this::write);
  }

  private void write(ILoggingEvent event) {
    try {
      byte[] line = encoder.encode(event);
      PrintStream stream = out.get();
      stream.write(line, 0, line.length);
      stream.flush();
    } catch (RuntimeException e) {
      addError("an event cannot be written", e);
    }
  }

  @Override
  public void stop() {
    if (!isStarted()) {
      return;
    }
    super.stop();
    thread.interrupt();
    try {
      thread.join(MOST_FLUSH_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
