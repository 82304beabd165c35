package gorseladder.permits;

/**
 * What is known, just before an attempt is written, about whether the client of its call still waits. The end of a
 * connection, or the cancelling of a request, may stand behind bytes that are not read yet.
 */
public enum ClientView {
  /** Everything that the client sent until shortly before is read, and its connection is open. */
  PRESENT,
  /** Bytes of the client wait to be read for so long that they may say that it has left. */
  UNSEEN,
  /** The client has closed its connection. */
  GONE;

  /** How long bytes may wait to be read before the client counts as unseen: half of the time that the rule allows. */
  public static final long MAX_UNREAD_MICROS = 50_000;

  /**
   * The view of a client whose connection is open.
   *
   * @param hasUnread whether bytes wait to be read or are being parsed
   * @param seenUpTo until when everything that arrived is read and parsed
   */
  public static ClientView ofOpen(boolean hasUnread, long seenUpTo, long now) {
    return hasUnread && now - seenUpTo > MAX_UNREAD_MICROS ? UNSEEN : PRESENT;
  }
}
