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
 * Configures logging for every command. Lines go to standard error, since standard output is for ready lines, and a
 * separate thread writes them. Format and level are system properties, which the settings or the command line set
 * before the first logger is created. A file named by logback's own property {@value #CONFIG_FILE_PROPERTY} takes
 * precedence.
 *
 * <p>Logback finds this class as a service, unless {@link LogProvider} calls it.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {
  /** {@value #JSON_FORMAT} for one JSON object per line; anything else for text. */
  static final String FORMAT_PROPERTY = "gorseladder.log.form";

  /** The lowest level that is written, as logback names it; WARN where the property is not set. */
  static final String LEVEL_PROPERTY = "gorseladder.log.level";

  static final String JSON_FORMAT = "JSON";
  private static final String CONFIG_FILE_PROPERTY = "logback.configurationFile";

  /** Whether logback is to be configured by a file instead of this class. */
  static boolean isConfigFileSet() {
    return System.getProperty(CONFIG_FILE_PROPERTY) != null;
  }

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    if (isConfigFileSet()) {
      return ExecutionStatus.INVOKE_NEXT_IF_ANY;
    }
    // Without this listener logback prints its own warnings and errors on standard output.
    context.getStatusManager().add(new NopStatusListener());
    Encoder<ILoggingEvent> encoder =
        JSON_FORMAT.equals(System.getProperty(FORMAT_PROPERTY)) ? jsonEncoder() : new TextEncoder();
    encoder.setContext(context);
    encoder.start();
    LogWriter writer = new LogWriter(encoder, () -> System.err);
    writer.setContext(context);
    writer.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(System.getProperty(LEVEL_PROPERTY, "WARN")));
    root.addAppender(writer);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  private static JsonEncoder jsonEncoder() {
    JsonEncoder encoder = new JsonEncoder();
    encoder.setWithContext(false);
    encoder.setWithSequenceNumber(false);
    encoder.setWithNanoseconds(false);
    encoder.setWithMessage(false);
    encoder.setWithFormattedMessage(true);
    encoder.setWithArguments(false);
    encoder.setWithMarkers(false);
    encoder.setWithMDC(false);
    return encoder;
  }
}
