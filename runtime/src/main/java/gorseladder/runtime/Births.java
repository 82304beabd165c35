package gorseladder.runtime;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Late starts of workers on this process's clock. Each is computed once for each life, so that clocks that drift make no new
 * lives. Not thread safe.
 */
public final class Births {
  private record Birth(long wallMillis, long micros) {}

  private final Map<String, Birth> known = new HashMap<>();

  /**
   * When a worker was born, on {@link Clock#micros()}, at least 1; 0 where it is told as 0, long ago.
   *
   * @param wallMillis milliseconds since 1970
   */
  public long at(String worker, long wallMillis) {
    if (wallMillis <= 0) {
      return 0;
    }
    Birth birth = known.get(worker);
    if (birth == null || birth.wallMillis() != wallMillis) {
      long age = Math.max(0, Clock.wallMicros() - wallMillis * 1000);
      birth = new Birth(wallMillis, Math.max(1, Clock.micros() - age));
      known.put(worker, birth);
    }
    return birth.micros();
  }

  /** Drops what is known of these workers. */
  public void forget(Predicate<String> gone) {
    known.keySet().removeIf(gone);
  }
}
