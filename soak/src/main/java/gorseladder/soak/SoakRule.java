package gorseladder.soak;

import java.util.Locale;

/** What the oracle holds the dispatchers to. */
public enum SoakRule {
  /** One final answer in time, and none that no runner made. */
  FINAL_ANSWER,
  /** No effect twice, no refusal of what may have run, no two attempts out at a time. */
  EFFECT_ONCE,
  /** Nothing new for a draining or removed runner past its grace. */
  DRAIN,
  /** All dispatchers together do not push over a runner that just started. */
  SLOW_START,
  /** No attempt begins 0.1 s after its client left. */
  CLIENT_GONE,
  /** The time passed to a runner is at most what the client has left. */
  DEADLINE,
  /** Ready in time after a start. */
  READY,
  /** Ends with code 0 in its time after a stop, and never by itself. */
  END,
  /** After a new configuration the change log is followed at its last address. */
  FOLLOW,
  /** No error in a log, and no rule broken as the dispatcher itself counts. */
  LOG;

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
