package gorseladder.wire.fastcgi;

/** Bytes that are no FastCGI 1.0 records of a web server; the connection is of no further use. */
public final class BadRecord extends Exception {
  private static final long serialVersionUID = 1L;

  /** Says what was wrong. */
  public BadRecord(String text) {
    super(text, null, false, false);
  }
}
