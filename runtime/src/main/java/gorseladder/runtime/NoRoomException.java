package gorseladder.runtime;

import java.io.IOException;

/** Thrown when a message cannot be processed further because the memory for messages is exhausted. */
public final class NoRoomException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message for the log. */
  public NoRoomException(String text) {
    super(text);
  }
}
