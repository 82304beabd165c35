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
  private final CountDownLatch reads = new CountDownLatch(1);
  private final CountDownLatch writes = new CountDownLatch(1);
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();

  /** Standard error with a reader that reads nothing at first. */
  private final PrintStream stream = new PrintStream(new OutputStream() {
    @Override
    public void write(int one) {
      write(new byte[] {(byte) one}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int from, int count) {
      writes.countDown();
      try {
        assertTrue(reads.await(20, TimeUnit.SECONDS));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      written.write(bytes, from, count);
    }
  });

  private final LogWriter writer = new LogWriter(new MessageEncoder(), () -> stream);

  /** The message and a line feed. */
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

  /** Stops, and returns the lines once there are so many; a stop waits for a second only, however busy the machine. */
  private List<String> linesAfterStop(int count) throws InterruptedException {
    writer.stop();
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (written.toString().lines().count() < count && System.nanoTime() < until) {
      Thread.sleep(5);
    }
    return written.toString().lines().toList();
  }

  /** Guards against lines lost at the end of a process, and lines out of order. */
  @Test
  void aStopWritesWhatWasLogged() throws InterruptedException {
    writer.start();
    reads.countDown();
    log(Level.INFO, "first");
    log(Level.DEBUG, "second");
    assertEquals(List.of("first", "second"), linesAfterStop(2));
  }

  /** Guards against a call that waits for a reader of its log: the last places are kept for warnings. */
  @Test
  void whereNobodyReadsOnlyWarningsTakeTheLastPlaces() throws InterruptedException {
    writer.start();
    log(Level.INFO, "in hand");
    assertTrue(writes.await(20, TimeUnit.SECONDS));
    int kept = LogWriter.PLACES - LogWriter.PLACES_KEPT + 1;
    for (int i = 0; i < LogWriter.PLACES; i++) {
      log(Level.INFO, "info");
    }
    log(Level.WARN, "warning");
    reads.countDown();
    List<String> lines = linesAfterStop(1 + kept + 1);
    assertEquals(1 + kept + 1, lines.size());
    assertEquals("warning", lines.get(kept + 1));
  }
}
