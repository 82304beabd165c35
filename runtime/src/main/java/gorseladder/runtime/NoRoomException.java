package gorseladder.runtime;

import java.io.IOException;

/** A message cannot be read or written on: the memory for messages is spent, or it had to make room for others. */
public final class NoRoomException extends IOException {
  private static final long serialVersionUID = 1L;

  /** With a text for the log. */
  public NoRoomException(String text) {
    super(text);
  }
}
