package gorseladder.runtime;

import java.io.IOException;
import java.net.BindException;
import java.util.List;

/**
 * Tells errors by which this machine says that it lacks something for a connection from those that speak of the other
 * side. Java has a class of its own only for some of them; for the others the system's text counts (strerror(3) in the
 * C locale, which the Java machine uses). Pure functions; any thread.
 */
public final class LocalShortage {
  /** EMFILE, ENFILE, ENOBUFS, ENOMEM. */
  private static final List<String> MESSAGES =
      List.of("Too many open files", "No buffer space available", "Cannot allocate memory");

  private LocalShortage() {}

  /**
   * True where a connect, a listener or another socket failed for want of a descriptor, an address (EADDRNOTAVAIL,
   * which Java tells as a {@link BindException}), buffers or memory.
   */
  public static boolean is(IOException e) {
    String text = String.valueOf(e.getMessage());
    if (e.getCause() instanceof IOException cause) {
      return is(cause);
    }
    return e instanceof BindException || MESSAGES.stream().anyMatch(text::contains);
  }
}
