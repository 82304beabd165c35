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

/** Guards against log lines that differ from those of the logback pattern, which programs may parse. */
class TextEncoderTest {
  /** Times before 1970, at both daylight saving changes in Berlin and at both ends of a day. */
  private static final long[] UNIX_MILLIS = {
    -2, 0, 1_711_846_799_999L, 1_711_846_800_000L, 1_729_990_800_000L, 1_796_342_399_999L
  };

  private final LoggerContext context = new LoggerContext();
  private final PatternLayout pattern = new PatternLayout();
  private final TextEncoder encoder = new TextEncoder();
  private final TimeZone defaultZone = TimeZone.getDefault();

  @BeforeEach
  void start() {
    TimeZone.setDefault(TimeZone.getTimeZone("Europe/Berlin"));
    pattern.setContext(context);
    pattern.setPattern(TextEncoder.PATTERN);
    pattern.start();
    encoder.start();
  }

  @AfterEach
  void stop() {
    TimeZone.setDefault(defaultZone);
  }

  private LoggingEvent event(String logger, Level level, long unixMillis, Throwable error) {
    LoggingEvent event = new LoggingEvent(
        "", context.getLogger(logger), level, "{} of {}", error, new Object[] {1, "two\nlines"});
    event.setInstant(Instant.ofEpochMilli(unixMillis));
    return event;
  }

  private void assertMatchesPattern(LoggingEvent event) {
    assertEquals(pattern.doLayout(event), new String(encoder.encode(event)));
  }

  /** Guards against a line whose time of day, level or logger name differs. */
  @Test
  void aLineIsThatOfThePattern() {
    for (Level level : List.of(Level.ERROR, Level.WARN, Level.INFO, Level.DEBUG, Level.TRACE)) {
      for (String logger : List.of("gorseladder.node.Node", "Node", "a.b.C$D", "ROOT")) {
        for (long unixMillis : UNIX_MILLIS) {
          assertMatchesPattern(event(logger, level, unixMillis, null));
        }
      }
    }
  }

  /** Guards against a key-value pair or a part of a stack trace that is missing. */
  @Test
  void fieldsAndErrorsAreThoseOfThePattern() {
    Exception error = new IllegalStateException("outer", new RuntimeException("inner"));
    error.addSuppressed(new Exception("beside"));
    LoggingEvent event = event("a.B", Level.ERROR, UNIX_MILLIS[2], error);
    assertMatchesPattern(event);
    event.addKeyValuePair(new KeyValuePair("id", "\"quoted\""));
    event.addKeyValuePair(new KeyValuePair("ms", 5));
    event.addKeyValuePair(new KeyValuePair("none", null));
    assertMatchesPattern(event);
  }
}
