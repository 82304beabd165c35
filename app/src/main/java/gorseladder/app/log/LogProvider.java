package gorseladder.app.log;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.ContextInitializer;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.CoreConstants;
import ch.qos.logback.core.joran.spi.JoranException;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.LoggerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.Reporter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Provides logback without its search for a configuration. The classes that the search loads and the status messages
 * that it records would slow each start, most of all that of a dispatcher with a fraction of a core.
 */
public final class LogProvider implements SLF4JServiceProvider {
  /** The version of the slf4j API that this class is written for, in the form that slf4j compares. */
  private static final String REQUESTED_API_VERSION = "2.0.99";

  private final LoggerContext context = new LoggerContext();
  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final LogbackMDCAdapter mdcAdapter = new LogbackMDCAdapter();

  /** Makes slf4j use this class, unless a system property already names a provider. Call it before the first logger. */
  public static void install() {
    if (System.getProperty(LoggerFactory.PROVIDER_PROPERTY_KEY) == null) {
      System.setProperty(LoggerFactory.PROVIDER_PROPERTY_KEY, LogProvider.class.getName());
      // At the default verbosity slf4j prints a line about the provider that was named.
      System.setProperty(Reporter.SLF4J_INTERNAL_VERBOSITY_KEY, "WARN");
    }
  }

  @Override
  public void initialize() {
    context.setName(CoreConstants.DEFAULT_CONTEXT_NAME);
    context.setMDCAdapter(mdcAdapter);
    if (LogConfigurator.isConfigFileSet()) {
      configureFromFile();
    } else {
      new LogConfigurator().configure(context);
    }
    context.start();
  }

  private void configureFromFile() {
    try {
      new ContextInitializer(context).autoConfig();
    } catch (JoranException e) {
      Reporter.error("cannot set up logging by a file", e);
    }
  }

  @Override
  public ILoggerFactory getLoggerFactory() {
    return context;
  }

  @Override
  public IMarkerFactory getMarkerFactory() {
    return markers;
  }

  @Override
  public MDCAdapter getMDCAdapter() {
    return mdcAdapter;
  }

  @Override
  public String getRequestedApiVersion() {
    return REQUESTED_API_VERSION;
  }
}
