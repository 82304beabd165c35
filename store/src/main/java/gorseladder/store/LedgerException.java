package gorseladder.store;

import java.io.IOException;

/** The ledger cannot be opened, read or written. The message states the path, the cause and, if any, the remedy. */
public final class LedgerException extends IOException {
  private static final long serialVersionUID = 1L;

  public LedgerException(String text, Throwable cause) {
    super(text, cause);
  }
}
