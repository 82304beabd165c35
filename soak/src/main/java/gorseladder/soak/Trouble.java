package gorseladder.soak;

import java.util.Locale;

/** What can go wrong in a soak. */
public enum Trouble {
  /** A dispatcher is told to stop, ends, and is started again. */
  STOP,
  /** A dispatcher is killed at once and started again. */
  KILL,
  /** A dispatcher's configuration is replaced three times within milliseconds, a signal after each. */
  RELOAD,
  /** A dispatcher stands still (SIGSTOP) and goes on (SIGCONT). */
  PAUSE,
  /** A runner drains, goes, and another one comes at its address. */
  DRAIN,
  /** A runner's process dies and comes back cold under its own name. */
  RESTART,
  /** A runner takes everything and says nothing for a while. */
  HANG,
  /** New connections to a runner come up late, up to a second. */
  LATE_CONNECT,
  /** Connections to a runner are reset, also idle ones. */
  RESET,
  /** A runner spoils answers: noise, half ones, second ones. */
  SPOIL,
  /** A runner refuses or errs often. */
  REFUSE,
  /** The change log falls silent, trickles or breaks off. */
  LOG_SILENT,
  /** Clients leave early: abort, or close their connections. */
  LEAVE,
  /** Clients send in small pieces, also over the moment of other troubles. */
  PIECES,
  /** A dispatcher's accept, socket and connect fail for a moment. */
  SYSTEM_CALLS,
  /** A dispatcher gets no new threads for a moment. */
  THREADS,
  /** A dispatcher's waits are interrupted, its reads and writes short, a few of its connections time out. */
  SHORT_IO,
  /** A dispatcher's wall clock is stepped, by seconds or by an hour, and perhaps back. */
  CLOCK,
  /** SIGHUP upon SIGHUP at gaps of any length, each with another address of the change log. */
  SIGNALS,
  /** A crowd at one dispatcher: clients that say nothing, half requests, or a storm of connections. */
  CROWD,
  /** The change log is crowded: its connections come up late, or it answers late, by up to 2.6 s. */
  LOG_SLOW,
  /** A dispatcher is told something once, and at that moment its system fails it, for a while that ends. */
  NEWS_AMID_FAULT,
  /** The system of a dispatcher opens no file for a moment. */
  FILES,
  /**
   * A dispatcher gets no new threads for seconds, while a crowd of silent clients comes, runners are slow and usual
   * clients open new connections all the time.
   */
  CROWD_WITHOUT_THREADS;

  /** The word on the command line and in reports. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
