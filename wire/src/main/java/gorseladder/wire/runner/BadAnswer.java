package gorseladder.wire.runner;

/** Signals bytes from a runner that violate the protocol. The connection cannot be used afterwards. */
public final class BadAnswer extends Exception {
  private static final long serialVersionUID = 1L;

  public BadAnswer(String text) {
    super(text, null, false, false);
  }
}
