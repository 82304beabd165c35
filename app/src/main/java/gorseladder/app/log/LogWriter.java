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
 * Asynchronous appender: a separate thread writes the events, so that a thread that logs does not wait for a slow
 * reader of the log. When less than a fifth of the queue is free, events below WARN are dropped; others wait for space.
 *
 * <p>Equivalent to logback's asynchronous appender in front of a console appender. Those record their settings at the
 * start by string concatenation, for which the JVM generates code at run time in each process.
 *
 * <p>Thread-safe.
 */
final class LogWriter extends UnsynchronizedAppenderBase<ILoggingEvent> {
  /** Events that may wait to be written. */
  static final int QUEUE_CAPACITY = 8_192;

  /** When fewer places in the queue are free, events below WARN are dropped. */
  static final int DISCARDING_THRESHOLD = QUEUE_CAPACITY / 5;

  /** How long a stop waits for queued events to be written. */
  private static final long MAX_FLUSH_MILLIS = 1_000;

  private final Encoder<ILoggingEvent> encoder;
  private final Supplier<PrintStream> out;
  private final BlockingQueue<ILoggingEvent> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final Thread thread = new Thread(this::run, "log");

  /**
   * Creates a writer that {@link #start} starts.
   *
   * @param out supplies the stream, called for each event
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
    if (queue.remainingCapacity() < DISCARDING_THRESHOLD
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

  /** Waits for space in the queue; false when the thread is interrupted. */
  private boolean put(ILoggingEvent event) {
    try {
      queue.put(event);
      return true;
    } catch (InterruptedException e) {
      return false;
    }
  }

  private void run() {
    List<ILoggingEvent> batch = new ArrayList<>();
    try {
      while (isStarted()) {
        batch.add(queue.take());
        queue.drainTo(batch);
        batch.forEach(this::write);
        batch.clear();
      }
    } catch (InterruptedException e) {
      // The writer is stopped; the remaining events are written below.
    }
    queue.drainTo(batch);
    batch.forEach(this::write);
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
      thread.join(MAX_FLUSH_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
