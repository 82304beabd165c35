package gorseladder.app.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.PatternLayout;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.time.Instant;
import java.util.List;
import java.util.TimeZone;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.event.KeyValuePair;

/** Lines that people and programs read stay as logback's pattern writes them. */
class TextEncoderTest {
  /** Before 1970, around both changes of summer time in Berlin, and at both ends of a day. */
  private static final long[] UNIX_MILLIS = {
    -2, 0, 1_711_846_799_999L, 1_711_846_800_000L, 1_729_990_800_000L, 1_796_342_399_999L
  };

  private final LoggerContext context = new LoggerContext();
  private final PatternLayout pattern = new PatternLayout();
  private final TextEncoder text = new TextEncoder();
  private final TimeZone zone = TimeZone.getDefault();

  @BeforeEach
  void start() {
    TimeZone.setDefault(TimeZone.getTimeZone("Europe/Berlin"));
    pattern.setContext(context);
    pattern.setPattern(TextEncoder.PATTERN);
    pattern.start();
    text.start();
  }

  @AfterEach
  void stop() {
    TimeZone.setDefault(zone);
  }

  private LoggingEvent event(String logger, Level level, long unixMillis, Throwable error) {
    LoggingEvent event = new LoggingEvent(
        "", context.getLogger(logger), level, "{} of {}", error, new Object[] {1, "two\nlines"});
    event.setInstant(Instant.ofEpochMilli(unixMillis));
    return event;
  }

  private void assertSame(LoggingEvent event) {
    assertEquals(pattern.doLayout(event), new String(text.encode(event)));
  }

  /** Guards against another time of day, level or name of the logger in a line. */
  @Test
  void aLineIsThatOfThePattern() {
    for (Level level : List.of(Level.ERROR, Level.WARN, Level.INFO, Level.DEBUG, Level.TRACE)) {
      for (String logger : List.of("gorseladder.node.Node", "Node", "a.b.C$D", "ROOT")) {
        for (long unixMillis : UNIX_MILLIS) {
          assertSame(event(logger, level, unixMillis, null));
        }
      }
    }
  }

  /** Guards against a field of a call or a part of a stack trace that is left out. */
  @Test
  void fieldsAndErrorsAreThoseOfThePattern() {
    Exception error = new IllegalStateException("outer", new RuntimeException("inner"));
    error.addSuppressed(new Exception("beside"));
    LoggingEvent event = event("a.B", Level.ERROR, UNIX_MILLIS[2], error);
    assertSame(event);
    event.addKeyValuePair(new KeyValuePair("id", "\"quoted\""));
    event.addKeyValuePair(new KeyValuePair("ms", 5));
    event.addKeyValuePair(new KeyValuePair("none", null));
    assertSame(event);
  }
}
