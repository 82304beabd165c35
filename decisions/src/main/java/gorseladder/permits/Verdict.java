package gorseladder.permits;

import java.util.Locale;

/** A decision of {@link Permits}: allowed, or the reason for the denial. Logs and counters use these names. */
public enum Verdict {
  ALLOWED,

  /** The call has its final answer, or its client has left. */
  CALL_ENDED,
  /** The time of the attempt has ended. */
  TIME_UP,
  /** The worker is draining or gone. */
  DRAINING,
  /** The worker was reported as started after the attempt was decided. */
  WORKER_RESTARTED,
  /** An earlier attempt may have run, and the call must not run twice. */
  MAY_HAVE_RUN,
  /** An earlier attempt may have run, and workers no longer detect its repeats. */
  WINDOW_OVER,
  /** Another attempt is outstanding, and two at a time are not allowed. */
  ATTEMPT_OUT,
  /** The client has closed its connection. */
  CLIENT_GONE,
  /**
   * What the client sent is not read yet, or this process was paused: it must first see whether the client still waits.
   */
  CLIENT_UNSEEN,
  /** The ration of load orders is used up. */
  RATION_SPENT,

  /** The connection has open requests or calls. */
  IN_USE,
  /** The connection has received bytes that are not parsed yet. */
  UNREAD,
  /** An answer is not written completely. */
  UNWRITTEN,

  /** The limit on held calls or bytes is reached. */
  NO_ROOM,
  /** Calls queue for so long that this one would have too little time left. */
  BEHIND;

  /** True if the action is allowed. */
  public boolean allowed() {
    return this == ALLOWED;
  }

  /** The name in logs and counters. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
