package gorseladder.node.front;

import java.util.Locale;

/** Why a connection of a client ended: the words of the log and of the counts. */
enum CloseReason {
  CLIENT_CLOSED,
  /** It was reset, or timed out on the wire. */
  BROKEN,
  BAD_RECORD,
  /** Too many requests were begun and never ended. */
  ENDLESS_REQUESTS,
  /** A request was begun under the number of one that is open. */
  NUMBER_IN_USE,
  CLIENT_DOES_NOT_READ,
  /** All that was asked is answered, and the client wanted no more or the process stops. */
  LAST_ANSWERED,
  IDLE,
  /** Nothing was ever asked on it. */
  SILENT,
  /** The one idle longest, where every descriptor for clients was taken. */
  FOR_ROOM,
  STOPPING;

  /** True where it was this side that ended it though requests may have been open. */
  boolean isOwnDecision() {
    return this == IDLE || this == SILENT || this == FOR_ROOM || this == LAST_ANSWERED;
  }

  String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
