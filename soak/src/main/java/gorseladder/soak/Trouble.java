package gorseladder.soak;

import java.util.Locale;

/** The troubles that a soak can cause. */
public enum Trouble {
  /** A dispatcher is told to stop, ends, and is started again. */
  STOP,
  /** A dispatcher is killed at once and started again. */
  KILL,
  /** A dispatcher's configuration is replaced three times within milliseconds, a signal after each. */
  RELOAD,
  /** A dispatcher is paused (SIGSTOP) and resumed (SIGCONT). */
  PAUSE,
  /** A runner drains and goes, and another one starts at its address. */
  DRAIN,
  /** A runner's process dies and restarts cold under the same name. */
  RESTART,
  /** A runner accepts every request and answers nothing for a while. */
  HANG,
  /** New connections to a runner are established late, by up to a second. */
  LATE_CONNECT,
  /** Connections to a runner are reset, idle ones included. */
  RESET,
  /** A runner corrupts answers: noise, truncated ones, second ones. */
  SPOIL,
  /** A runner often refuses requests or answers with an error. */
  REFUSE,
  /** The change log falls silent, or its connections are reset. */
  LOG_SILENT,
  /** Clients leave early: they abort requests or close their connections. */
  LEAVE,
  /** Clients send requests in small pieces, also while other troubles start. */
  PIECES,
  /** Accept, socket and connect of a dispatcher fail for a moment. */
  SYSTEM_CALLS,
  /** A dispatcher cannot start threads for a moment. */
  THREADS,
  /** A dispatcher's waits are interrupted, its reads and writes are short, and a few of its connections time out. */
  SHORT_IO,
  /** A dispatcher's wall clock is stepped, by seconds up to an hour, and possibly back. */
  CLOCK,
  /** A series of SIGHUPs at gaps of any length, each with another address of the change log. */
  SIGNALS,
  /**
   * A crowd of clients at one dispatcher: silent ones, partial requests, a storm of connections, or clients that stay
   * after one request.
   */
  CROWD,
  /** The change log is slow: for some seconds it answers each new connection late, by up to 2.6 s. */
  LOG_SLOW,
  /** A dispatcher is told something once, at the moment at which its system fails for a while. */
  NEWS_AMID_FAULT,
  /** A dispatcher cannot open files for a moment. */
  FILES,
  /**
   * A dispatcher cannot start threads for seconds, while a crowd of silent or resting clients comes, runners are slow
   * and the usual clients open new connections all the time.
   */
  CROWD_WITHOUT_THREADS;

  /** The name on the command line and in reports. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
