package gorseladder.runtime;

/** The two clocks of a program, read here and nowhere else. Any thread. */
public final class Clock {
  private static final long START = System.nanoTime() - 1_000_000_000L;

  private Clock() {}

  /** Microseconds on a clock that only goes forward; it starts near one second at the start of the process. */
  public static long micros() {
    return (System.nanoTime() - START) / 1000;
  }

  /** Microseconds since 1970, which may jump; for time stamps and for what must survive a restart. */
  public static long wallMicros() {
    return System.currentTimeMillis() * 1000;
  }
}
