package gorseladder.app.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.encoder.EncoderBase;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LogWriterTest {
  private final LoggerContext context = new LoggerContext();
  private final CountDownLatch readerResumes = new CountDownLatch(1);
  private final CountDownLatch writeStarted = new CountDownLatch(1);
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();

  /** Stands for standard error with a reader that at first reads nothing. */
  private final PrintStream stream = new PrintStream(new OutputStream() {
    @Override
    public void write(int one) {
      write(new byte[] {(byte) one}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int from, int count) {
      writeStarted.countDown();
      try {
        assertTrue(readerResumes.await(20, TimeUnit.SECONDS));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      written.write(bytes, from, count);
    }
  });

  private final LogWriter writer = new LogWriter(new MessageEncoder(), () -> stream);

  /** Encodes an event as its message and a line feed. */
  private static final class MessageEncoder extends EncoderBase<ILoggingEvent> {
    @Override
    public byte[] headerBytes() {
      return new byte[0];
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
      return (event.getFormattedMessage() + "\n").getBytes();
    }

    @Override
    public byte[] footerBytes() {
      return new byte[0];
    }
  }

  @BeforeEach
  void setUp() {
    context.setMDCAdapter(new LogbackMDCAdapter());
  }

  private void log(Level level, String message) {
    writer.doAppend(
        new LoggingEvent("", context.getLogger("x"), level, message, null, new Object[0]));
  }

  /**
   * Stops the writer, waits until {@code count} lines are written and returns them. The stop itself waits at most one
   * second, which may be too short on a busy machine.
   */
  private List<String> linesAfterStop(int count) throws InterruptedException {
    writer.stop();
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (written.toString().lines().count() < count && System.nanoTime() < until) {
      Thread.sleep(5);
    }
    return written.toString().lines().toList();
  }

  /** Guards against lines that are lost at the end of a process or out of order. */
  @Test
  void aStopWritesWhatWasLogged() throws InterruptedException {
    writer.start();
    readerResumes.countDown();
    log(Level.INFO, "first");
    log(Level.DEBUG, "second");
    assertEquals(List.of("first", "second"), linesAfterStop(2));
  }

  /** Guards against calls that wait for a slow reader of the log: the last places are kept for warnings. */
  @Test
  void whereNobodyReadsOnlyWarningsTakeTheLastPlaces() throws InterruptedException {
    writer.start();
    log(Level.INFO, "in hand");
    assertTrue(writeStarted.await(20, TimeUnit.SECONDS));
    int acceptedInfos = LogWriter.QUEUE_CAPACITY - LogWriter.DISCARDING_THRESHOLD + 1;
    for (int i = 0; i < LogWriter.QUEUE_CAPACITY; i++) {
      log(Level.INFO, "info");
    }
    log(Level.WARN, "warning");
    readerResumes.countDown();
    List<String> lines = linesAfterStop(1 + acceptedInfos + 1);
    assertEquals(1 + acceptedInfos + 1, lines.size());
    assertEquals("warning", lines.get(acceptedInfos + 1));
  }
}
