package gorseladder.wire.fastcgi;

/** Signals bytes from a web server that violate FastCGI 1.0. The connection cannot be used afterwards. */
public final class BadRecord extends Exception {
  private static final long serialVersionUID = 1L;

  public BadRecord(String text) {
    super(text, null, false, false);
  }
}
