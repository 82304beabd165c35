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
 * Logback without the search for its settings: each process that starts would pay for what that search loads and notes
 * down, a dispatcher with a part of a core for longer than any other.
 */
public final class LogProvider implements SLF4JServiceProvider {
  /** The version of the interface that this class is written for, in the form that slf4j compares. */
  private static final String REQUESTED_API = "2.0.99";

  private final LoggerContext context = new LoggerContext();
  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final LogbackMDCAdapter diagnostics = new LogbackMDCAdapter();

  /** Has slf4j use this class; before the first logger is made. What the command line says counts more. */
  public static void choose() {
    if (System.getProperty(LoggerFactory.PROVIDER_PROPERTY_KEY) == null) {
      System.setProperty(LoggerFactory.PROVIDER_PROPERTY_KEY, LogProvider.class.getName());
      // Otherwise it prints a line that says so.
      System.setProperty(Reporter.SLF4J_INTERNAL_VERBOSITY_KEY, "WARN");
    }
  }

  @Override
  public void initialize() {
    context.setName(CoreConstants.DEFAULT_CONTEXT_NAME);
    context.setMDCAdapter(diagnostics);
    if (LogConfigurator.hasFile()) {
      readFile();
    } else {
      new LogConfigurator().configure(context);
    }
    context.start();
  }

  private void readFile() {
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
    return diagnostics;
  }

  @Override
  public String getRequestedApiVersion() {
    return REQUESTED_API;
  }
}
