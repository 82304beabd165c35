package gorseladder.app.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.spi.ContextAwareBase;
import ch.qos.logback.core.status.NopStatusListener;

/**
 * Sets up the logging of every command: lines on standard error, written by a thread of their own, since standard
 * output belongs to ready lines. Form and level are system properties, which the settings or the command line set
 * before the first logger is made. Where a file is named by logback's own property {@value #FILE}, that file counts.
 *
 * <p>Logback finds this class as a service, unless {@link LogProvider} runs it.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {
  /** {@value #JSON} for an object a line; anything else for text. */
  static final String FORM = "gorseladder.log.form";

  /** The least level that is written, as logback names it; WARN where it is not set. */
  static final String LEVEL = "gorseladder.log.level";

  static final String JSON = "JSON";
  private static final String FILE = "logback.configurationFile";

  /** True where a file is to be read instead. */
  static boolean hasFile() {
    return System.getProperty(FILE) != null;
  }

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    if (hasFile()) {
      return ExecutionStatus.INVOKE_NEXT_IF_ANY;
    }
    // Without it logback would print what it finds amiss on standard output.
    context.getStatusManager().add(new NopStatusListener());
    Encoder<ILoggingEvent> encoder =
        JSON.equals(System.getProperty(FORM)) ? json() : new TextEncoder();
    encoder.setContext(context);
    encoder.start();
    LogWriter writer = new LogWriter(encoder, () -> System.err);
    writer.setContext(context);
    writer.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(System.getProperty(LEVEL, "WARN")));
    root.addAppender(writer);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  private static JsonEncoder json() {
    JsonEncoder json = new JsonEncoder();
    json.setWithContext(false);
    json.setWithSequenceNumber(false);
    json.setWithNanoseconds(false);
    json.setWithMessage(false);
    json.setWithFormattedMessage(true);
    json.setWithArguments(false);
    json.setWithMarkers(false);
    json.setWithMDC(false);
    return json;
  }
}
