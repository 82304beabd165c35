package gorseladder.app.log;

import ch.qos.logback.classic.pattern.ThrowableProxyConverter;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.CoreConstants;
import ch.qos.logback.core.encoder.EncoderBase;
import java.nio.charset.Charset;
import java.util.List;
import java.util.TimeZone;
import org.slf4j.event.KeyValuePair;

/**
 * Encodes an event as text, exactly as logback's pattern {@value #PATTERN} does, followed by the stack trace of an
 * error. It does not use that pattern, since setting up a pattern creates 68 lambdas and loads 40 classes in each
 * process.
 *
 * <p>Thread-safe.
 */
final class TextEncoder extends EncoderBase<ILoggingEvent> {
  /** The logback pattern with the same output. */
  static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level %logger{0}: %msg %kvp%n";

  private static final byte[] EMPTY = {};
  /** The length of the longest level name, to which the others are padded. */
  private static final int LEVEL_WIDTH = 5;

  private static final int INITIAL_LINE_CHARS = 160;
  private static final int DAY_MILLIS = 86_400_000;
  private static final int HOUR_MILLIS = 3_600_000;
  private static final int MINUTE_MILLIS = 60_000;
  private static final int SECOND_MILLIS = 1_000;

  private final ThrowableProxyConverter stackTraces = new ThrowableProxyConverter();

  @Override
  public void start() {
    stackTraces.start();
    super.start();
  }

  @Override
  public byte[] headerBytes() {
    return EMPTY;
  }

  @Override
  public byte[] footerBytes() {
    return EMPTY;
  }

  @Override
  public byte[] encode(ILoggingEvent event) {
    StringBuilder line = new StringBuilder(INITIAL_LINE_CHARS);
    appendTime(line, event.getTimeStamp());
    line.append(' ');
    String level = event.getLevel().toString();
    line.append(level).append(" ".repeat(LEVEL_WIDTH - level.length())).append(' ');
    String loggerName = event.getLoggerName();
    line.append(loggerName, loggerName.lastIndexOf('.') + 1, loggerName.length())
        .append(": ");
    line.append(event.getFormattedMessage()).append(' ');
    appendPairs(line, event.getKeyValuePairs());
    line.append(CoreConstants.LINE_SEPARATOR);
    if (event.getThrowableProxy() != null) {
      line.append(stackTraces.convert(event));
    }
    return line.toString().getBytes(Charset.defaultCharset());
  }

  /** Appends the local time of day with milliseconds. */
  private static void appendTime(StringBuilder line, long unixMillis) {
    long localMillis = unixMillis + TimeZone.getDefault().getOffset(unixMillis);
    int millisOfDay = Math.floorMod(localMillis, DAY_MILLIS);
    appendDigits(line, millisOfDay / HOUR_MILLIS, 2);
    line.append(':');
    appendDigits(line, millisOfDay % HOUR_MILLIS / MINUTE_MILLIS, 2);
    line.append(':');
    appendDigits(line, millisOfDay % MINUTE_MILLIS / SECOND_MILLIS, 2);
    line.append('.');
    appendDigits(line, millisOfDay % SECOND_MILLIS, 3);
  }

  private static void appendDigits(StringBuilder line, int number, int width) {
    String digits = Integer.toString(number);
    line.append("0".repeat(width - digits.length())).append(digits);
  }

  private static void appendPairs(StringBuilder line, List<KeyValuePair> pairs) {
    if (pairs == null) {
      return;
    }
    String separator = "";
    for (KeyValuePair pair : pairs) {
      line.append(separator).append(pair.key).append("=\"").append(pair.value).append('"');
      separator = " ";
    }
  }
}
