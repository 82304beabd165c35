package gorseladder.starts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Decides when a worker started, on the monotonic clock of this process, from the wall-clock stamp that the list tells.
 *
 * <p>A stamp was read from one wall clock and is compared with another, and either may be stepped by seconds or by an
 * hour. The difference of two readings is then no age. Guards against a worker that just started and counts as warm
 * because the clocks differ; it covers clocks stepped before, between and after the two readings, forward and back.
 * Where several ages are possible the least is taken: a worker that is thought too young is only spared for a while. It
 * could harm where a step comes while many workers are told that really are older: each of them is spared as if it had
 * just started.
 *
 * <p>A worker has one start a stamp, so that clocks that drift apart make no new ones. Not thread safe. Times are
 * microseconds.
 */
public final class StartTimes {
  /** Marks a worker that stood in the first list: nothing says when it was not there yet. */
  public static final long ALWAYS_LISTED = Long.MIN_VALUE;

  /** A change of the difference of the two clocks that is a step, and no rounding of milliseconds. */
  private static final long STEP = 250_000;
  /** Differences kept; beyond it the oldest but the first goes. */
  private static final int MOST_OFFSETS = 8;
  /**
   * A worker is told at the latest so long after its start; what claims to be older when it is first told is not
   * believed.
   */
  private static final long MOST_NOTICE = 10_000_000;
  /** Workers that left whose starts are kept, so that one that is taken out and told again is no new start. */
  private static final int MOST_LEFT = 256;

  /** The two clocks of this process, read together. */
  public record ClockReading(long monotonic, long wall) {
    private long offset() {
      return wall - monotonic;
    }
  }

  private record Start(long stampMillis, long at) {}

  private final List<Long> offsets = new ArrayList<>();
  private final Map<String, Start> known = new HashMap<>();
  private final Map<String, Start> left = new LinkedHashMap<>() {
    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Start> eldest) {
      return size() > MOST_LEFT;
    }
  };

  /** Notes how the two clocks stand to each other now; called now and then, so that a step is seen. */
  public void observe(ClockReading now) {
    for (long offset : offsets) {
      if (Math.abs(offset - now.offset()) < STEP) {
        return;
      }
    }
    if (offsets.size() >= MOST_OFFSETS) {
      offsets.remove(1);
    }
    offsets.add(now.offset());
  }

  /**
   * When a worker started, at least 1; 0 where the stamp says that it was long ago.
   *
   * @param stampMillis milliseconds since 1970 as told, 0 or less for long ago
   * @param absentAt the last monotonic time at which the list is known to have been without the worker, or
   *     {@link #ALWAYS_LISTED}
   */
  public long startedAt(String worker, long stampMillis, ClockReading now, long absentAt) {
    if (stampMillis <= 0) {
      return 0;
    }
    Start start = known.getOrDefault(worker, left.get(worker));
    if (start == null || start.stampMillis() != stampMillis) {
      observe(now);
      long at = now.monotonic() - age(stampMillis * 1_000, now, absentAt);
      start = new Start(stampMillis, Math.max(1, at));
    }
    left.remove(worker);
    known.put(worker, start);
    return start.at();
  }

  private long age(long stamp, ClockReading now, long absentAt) {
    long least = Long.MAX_VALUE;
    for (long offset : offsets) {
      long age = now.monotonic() + offset - stamp;
      if (age > -STEP) {
        least = Math.min(least, Math.max(0, age));
      }
    }
    boolean ahead = least == Long.MAX_VALUE;
    boolean tooOld = absentAt != ALWAYS_LISTED && least > now.monotonic() - absentAt + MOST_NOTICE;
    return ahead || tooOld ? 0 : least;
  }

  /** Lets go of workers that left the list. */
  public void forget(Predicate<String> gone) {
    known.entrySet().removeIf(entry -> {
      boolean goes = gone.test(entry.getKey());
      if (goes) {
        left.put(entry.getKey(), entry.getValue());
      }
      return goes;
    });
  }
}
