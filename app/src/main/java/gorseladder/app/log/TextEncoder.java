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
 * A logged event as text, as logback's pattern {@value #PATTERN} writes it, with the stack trace of an error after it.
 * It is no pattern, since setting one up makes 68 lambdas and loads 40 classes in each process that starts.
 *
 * <p>Any thread.
 */
final class TextEncoder extends EncoderBase<ILoggingEvent> {
  /** The pattern that this equals. */
  static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level %logger{0}: %msg %kvp%n";

  private static final byte[] NOTHING = {};
  /** The longest name of a level, to which the others are filled up. */
  private static final int LEVEL_WIDTH = 5;

  private static final int USUAL_LENGTH = 160;
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
    return NOTHING;
  }

  @Override
  public byte[] footerBytes() {
    return NOTHING;
  }

  @Override
  public byte[] encode(ILoggingEvent event) {
    StringBuilder line = new StringBuilder(USUAL_LENGTH);
    appendTime(line, event.getTimeStamp());
    line.append(' ');
    String level = event.getLevel().toString();
    line.append(level).append(" ".repeat(LEVEL_WIDTH - level.length())).append(' ');
    String logger = event.getLoggerName();
    line.append(logger, logger.lastIndexOf('.') + 1, logger.length()).append(": ");
    line.append(event.getFormattedMessage()).append(' ');
    appendPairs(line, event.getKeyValuePairs());
    line.append(CoreConstants.LINE_SEPARATOR);
    if (event.getThrowableProxy() != null) {
      line.append(stackTraces.convert(event));
    }
    return line.toString().getBytes(Charset.defaultCharset());
  }

  /** The time of day in the machine's zone, with milliseconds. */
  private static void appendTime(StringBuilder line, long unixMillis) {
    long local = unixMillis + TimeZone.getDefault().getOffset(unixMillis);
    int millis = Math.floorMod(local, DAY_MILLIS);
    appendDigits(line, millis / HOUR_MILLIS, 2);
    line.append(':');
    appendDigits(line, millis % HOUR_MILLIS / MINUTE_MILLIS, 2);
    line.append(':');
    appendDigits(line, millis % MINUTE_MILLIS / SECOND_MILLIS, 2);
    line.append('.');
    appendDigits(line, millis % SECOND_MILLIS, 3);
  }

  private static void appendDigits(StringBuilder line, int number, int width) {
    String digits = Integer.toString(number);
    line.append("0".repeat(width - digits.length())).append(digits);
  }

  private static void appendPairs(StringBuilder line, List<KeyValuePair> pairs) {
    if (pairs == null) {
      return;
    }
    String between = "";
    for (KeyValuePair pair : pairs) {
      line.append(between).append(pair.key).append("=\"").append(pair.value).append('"');
      between = " ";
    }
  }
}
