package gorseladder.rules;

import java.util.Locale;

/** The rules that are checked while the program runs. */
public enum Rule {
  /** An accepted call gets exactly one final answer within its time. */
  FINAL_ANSWER,
  /** No effect happens twice, and two attempts are outstanding only where that is allowed. */
  EFFECT_ONCE,
  /** Nothing new is sent to a draining or removed worker. */
  DRAIN,
  /** Nothing that was decided before a worker started is sent to it after the start was reported. */
  SLOW_START,
  /** No attempt is sent after its client has left. */
  CLIENT_GONE,
  /** The time limit passed to a worker is at most the time that the client has left. */
  DEADLINE;

  /** The name in logs and counters. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
