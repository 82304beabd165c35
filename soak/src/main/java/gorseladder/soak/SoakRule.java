package gorseladder.soak;

import java.util.Locale;

/** The rules that the oracle checks. */
public enum SoakRule {
  /** Each request gets one final answer in time, and no answer that no runner made. */
  FINAL_ANSWER,
  /** No effect twice, no refusal of a call that may have run, no two attempts in flight at the same time. */
  EFFECT_ONCE,
  /** No new attempt for a draining or removed runner after its grace. */
  DRAIN,
  /** All dispatchers together do not overload a runner that has just started. */
  SLOW_START,
  /** No attempt starts more than 0.1 s after its client left. */
  CLIENT_GONE,
  /** The time passed to a runner is at most what the client has left. */
  DEADLINE,
  /** Each process is ready in time after its start. */
  READY,
  /** Each process ends with code 0 in time after a stop, and never by itself. */
  END,
  /** After a new configuration the dispatcher follows the change log at its last address. */
  FOLLOW,
  /** No error in a log, and no rule that the dispatcher itself counts as broken. */
  LOG;

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
