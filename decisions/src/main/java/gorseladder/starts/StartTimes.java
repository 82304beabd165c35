package gorseladder.starts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Converts the wall-clock start time of a worker, as given in the worker list, to the monotonic clock of this process.
 *
 * <p>The start time was read from one wall clock and is compared with another, and either may be stepped by seconds or
 * by an hour, so the difference of two readings is not reliable as an age. Prevents a worker that just started from
 * counting as warm because the clocks differ, for steps before, between and after the two readings, in both directions.
 * If several ages are possible, the smallest is used: a worker believed too young only gets fewer calls for a while.
 * The drawback: after a step, many older workers that are listed at the same time are treated as if they had just
 * started.
 *
 * <p>A worker keeps one start per stamp, so that clocks that drift apart cause no new starts. Not thread safe. Times
 * are microseconds unless named otherwise.
 */
public final class StartTimes {
  /** Marks a worker of the first list, for which it is unknown when it was not listed yet. */
  public static final long ALWAYS_LISTED = Long.MIN_VALUE;

  /** Smallest change of the offset between the clocks that counts as a step and not as rounding of milliseconds. */
  private static final long MIN_STEP_MICROS = 250_000;
  /** Number of offsets kept; beyond it the oldest but the first is dropped. */
  private static final int MAX_OFFSETS = 8;
  /**
   * Longest delay between the start of a worker and its listing; a start earlier than that before its last known
   * absence is not believed.
   */
  private static final long MAX_LISTING_DELAY_MICROS = 10_000_000;
  /** Number of departed workers whose starts are kept, so that a worker that is listed again is not a new start. */
  private static final int MAX_DEPARTED = 256;

  /** The monotonic and the wall clock of this process, read together. */
  public record ClockReading(long monotonic, long wall) {
    private long offset() {
      return wall - monotonic;
    }
  }

  private record Start(long stampMillis, long at) {}

  private final List<Long> offsets = new ArrayList<>();
  private final Map<String, Start> known = new HashMap<>();
  private final Map<String, Start> departed = new LinkedHashMap<>() {
    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
      return size() > MAX_DEPARTED;
    }
  };

  /** Records the current offset between the clocks; called from time to time to detect steps. */
  public void observe(ClockReading now) {
    for (long offset : offsets) {
      if (Math.abs(offset - now.offset()) < MIN_STEP_MICROS) {
        return;
      }
    }
    if (offsets.size() >= MAX_OFFSETS) {
      offsets.remove(1);
    }
    offsets.add(now.offset());
  }

  /**
   * When a worker started, at least 1; 0 if the stamp says that it was long ago.
   *
   * @param stampMillis listed start in milliseconds since 1970, 0 or less for long ago
   * @param absentAt last monotonic time at which the list is known not to have held the worker, or
   *     {@link #ALWAYS_LISTED}
   */
  public long startedAt(String worker, long stampMillis, ClockReading now, long absentAt) {
    if (stampMillis <= 0) {
      return 0;
    }
    Start start = known.getOrDefault(worker, departed.get(worker));
    if (start == null || start.stampMillis() != stampMillis) {
      observe(now);
      long at = now.monotonic() - age(stampMillis * 1_000, now, absentAt);
      start = new Start(stampMillis, Math.max(1, at));
    }
    departed.remove(worker);
    known.put(worker, start);
    return start.at();
  }

  private long age(long stamp, ClockReading now, long absentAt) {
    long minAge = Long.MAX_VALUE;
    for (long offset : offsets) {
      long age = now.monotonic() + offset - stamp;
      if (age > -MIN_STEP_MICROS) {
        minAge = Math.min(minAge, Math.max(0, age));
      }
    }
    boolean inFuture = minAge == Long.MAX_VALUE;
    boolean tooOld =
        absentAt != ALWAYS_LISTED && minAge > now.monotonic() - absentAt + MAX_LISTING_DELAY_MICROS;
    return inFuture || tooOld ? 0 : minAge;
  }

  /** Moves workers that are no longer listed to the departed ones. */
  public void forget(Predicate<String> gone) {
    known.entrySet().removeIf(entry -> {
      boolean isGone = gone.test(entry.getKey());
      if (isGone) {
        departed.put(entry.getKey(), entry.getValue());
      }
      return isGone;
    });
  }
}
