package gorseladder.wire.http1;

/** Signals a message that violates HTTP or a limit. Its connection cannot be used afterwards. */
public final class BadMessage extends Exception {
  private static final long serialVersionUID = 1L;

  /** Kind of violation; each has its own response status. */
  public enum Fault {
    MALFORMED,
    TOO_LARGE,
    HEADERS_TOO_LARGE,
    NOT_IMPLEMENTED,
    WRONG_VERSION,
    WRONG_EXPECTATION
  }

  private final Fault fault;

  public BadMessage(Fault fault, String text) {
    super(text);
    this.fault = fault;
  }

  static BadMessage malformed(String text) {
    return new BadMessage(Fault.MALFORMED, text);
  }

  public Fault fault() {
    return fault;
  }
}
