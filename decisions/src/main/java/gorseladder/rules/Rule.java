package gorseladder.rules;

import java.util.Locale;

/** The rules that are looked at while the program runs. */
public enum Rule {
  /** A call taken gets one final answer in its time. */
  FINAL_ANSWER,
  /** No effect happens twice, and no two attempts are out where that is not allowed. */
  EFFECT_ONCE,
  /** Nothing new leaves for a draining or removed worker. */
  DRAIN,
  /** Nothing that was decided before a worker started leaves for it after that was told. */
  SLOW_START,
  /** No attempt begins once its client has left. */
  CLIENT_GONE,
  /** The time passed to a worker is at most what the client has left. */
  DEADLINE;

  /** The word in logs and counters. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
