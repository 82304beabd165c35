package gorseladder.runtime;

/** The monotonic clock and the wall clock; the program reads both only through this class. Thread safe. */
public final class Clock {
  /** One hour before the start, so that events up to an hour before the process have a time that is not negative. */
  private static final long START = System.nanoTime() - 3_600_000_000_000L;

  private Clock() {}

  /** Microseconds on a monotonic clock that shows about one hour when the process starts. */
  public static long micros() {
    return (System.nanoTime() - START) / 1000;
  }

  /** Microseconds since 1970, which may jump; for timestamps and for times that must survive a restart. */
  public static long wallMicros() {
    return System.currentTimeMillis() * 1000;
  }
}
