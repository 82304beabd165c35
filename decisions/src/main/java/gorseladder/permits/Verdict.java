package gorseladder.permits;

import java.util.Locale;

/**
 * What {@link Permits} says: allowed, or why not now. The one vocabulary of logs, counters and docs for what was held
 * back.
 */
public enum Verdict {
  ALLOWED,

  /** The call has its final answer, also where its client left. */
  CALL_ENDED,
  /** The time of the attempt is over. */
  TIME_UP,
  /** The worker is draining or gone. */
  DRAINING,
  /** The worker was told to have started after the attempt was decided. */
  WORKER_RESTARTED,
  /** An earlier attempt may have run, and a second run does harm. */
  MAY_HAVE_RUN,
  /** An earlier attempt may have run, and the time in which workers drop its repeats is over. */
  WINDOW_OVER,
  /** Another attempt is out, and two at a time are not allowed. */
  ATTEMPT_OUT,
  /** This process stood still just now: whether the client is still there has to be read first. */
  CLIENT_UNSEEN,
  /** The ration of load orders is spent. */
  RATION_SPENT,

  /** Requests or calls are open on the connection. */
  IN_USE,
  /** Bytes have come on the connection that were not looked at yet. */
  UNREAD,
  /** An answer is not written yet. */
  UNWRITTEN,

  /** As much is held as may be. */
  NO_ROOM,
  /** Calls wait for so long already that this one would have too little time left after them. */
  BEHIND;

  /** True where it may be done. */
  public boolean allowed() {
    return this == ALLOWED;
  }

  /** The word in logs and counters. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
