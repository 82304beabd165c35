package gorseladder.store;

import java.io.IOException;

/** The ledger cannot be opened, read or written. The text says which file, what happened and the way out. */
public final class LedgerException extends IOException {
  private static final long serialVersionUID = 1L;

  /** What happened, and why. */
  public LedgerException(String text, Throwable cause) {
    super(text, cause);
  }
}
