package gorseladder.wire.http1;

/** A message that breaks the protocol or a limit. The connection it came on cannot be used further. */
public final class BadMessage extends Exception {
  private static final long serialVersionUID = 1L;

  /** What is wrong, by the answer it deserves. */
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

  /** The sort of the fault. */
  public Fault fault() {
    return fault;
  }
}
