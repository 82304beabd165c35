package gorseladder.node.front;

import java.util.Locale;

/** Why a client connection ended; the lower-case names appear in the log and in the counts. */
enum CloseReason {
  CLIENT_CLOSED,
  /** It was reset or timed out. */
  BROKEN,
  BAD_RECORD,
  /** Too many requests were begun and never ended. */
  ENDLESS_REQUESTS,
  /** A request was begun with the id of an open one. */
  NUMBER_IN_USE,
  CLIENT_DOES_NOT_READ,
  /** All requests are answered, and either the client asked to close or the process stops. */
  LAST_ANSWERED,
  IDLE,
  /** It never had a request. */
  SILENT,
  /** It had the longest idle time when the limit of client connections was reached. */
  FOR_ROOM,
  STOPPING;

  /** Whether this side decided to close it, which it may do only without open requests. */
  boolean isOwnDecision() {
    return this == IDLE || this == SILENT || this == FOR_ROOM || this == LAST_ANSWERED;
  }

  String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
