package gorseladder.wire.runner;

/** Bytes that are no answers of a runner; the connection is of no further use. */
public final class BadAnswer extends Exception {
  private static final long serialVersionUID = 1L;

  /** Says what was wrong. */
  public BadAnswer(String text) {
    super(text, null, false, false);
  }
}
