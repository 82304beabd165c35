package gorseladder.runtime;

import java.io.IOException;
import java.net.BindException;
import java.util.List;

/**
 * Distinguishes socket errors caused by a lack of local resources from those caused by the peer. Java has an exception
 * class for only some of them; the others are recognized by the message of the operating system (strerror(3) in the C
 * locale, which the JVM uses). Pure functions; thread safe.
 */
public final class LocalShortage {
  /** EMFILE, ENFILE, ENOBUFS, ENOMEM. */
  private static final List<String> MESSAGES =
      List.of("Too many open files", "No buffer space available", "Cannot allocate memory");

  private LocalShortage() {}

  /**
   * Whether a socket operation failed for lack of a descriptor, an address (EADDRNOTAVAIL, which Java reports as a
   * {@link BindException}), buffers or memory.
   */
  public static boolean is(IOException e) {
    String text = String.valueOf(e.getMessage());
    if (e.getCause() instanceof IOException cause) {
      return is(cause);
    }
    return e instanceof BindException || MESSAGES.stream().anyMatch(text::contains);
  }
}
