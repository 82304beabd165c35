package gorseladder.runtime;

/** The two clocks of a program, read here and nowhere else. Any thread. */
public final class Clock {
  /** What began up to an hour before the process still has a time that is not negative. */
  private static final long START = System.nanoTime() - 3_600_000_000_000L;

  private Clock() {}

  /** Microseconds on a clock that only goes forward; it starts near one hour at the start of the process. */
  public static long micros() {
    return (System.nanoTime() - START) / 1000;
  }

  /** Microseconds since 1970, which may jump; for time stamps and for what must survive a restart. */
  public static long wallMicros() {
    return System.currentTimeMillis() * 1000;
  }
}
