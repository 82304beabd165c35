package gorseladder.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Recorded calls by minute, for an emulation to replay. Minutes are counted from 1970; the first day of the recording
 * is day 0 of the emulation.
 */
public final class Recording {
  private static final long MINUTES_PER_DAY = 1_440;

  /** The calls of a function in one minute. */
  record MinuteCalls(String function, long calls) {}

  private final TreeMap<Long, List<MinuteCalls>> callsByMinute = new TreeMap<>();
  private long calls;

  /** Adds calls of a function, spread evenly over a number of minutes. */
  public void add(long firstMinute, int minutes, String function, long count) {
    for (int i = 0; i < minutes; i++) {
      long share = count * (i + 1) / minutes - count * i / minutes;
      if (share > 0) {
        callsByMinute
            .computeIfAbsent(firstMinute + i, minute -> new ArrayList<>())
            .add(new MinuteCalls(function, share));
      }
    }
    calls += count;
  }

  /** Total number of calls. */
  public long calls() {
    return calls;
  }

  /** Days from the day of the first call to that of the last, in UTC, both included. */
  public int days() {
    return callsByMinute.isEmpty()
        ? 0
        : (int) (callsByMinute.lastKey() / MINUTES_PER_DAY
                - callsByMinute.firstKey() / MINUTES_PER_DAY)
            + 1;
  }

  /** Names of all functions. */
  TreeSet<String> functions() {
    TreeSet<String> names = new TreeSet<>();
    callsByMinute
        .values()
        .forEach(entries -> entries.forEach(entry -> names.add(entry.function())));
    return names;
  }

  /** The minutes that begin in a time range; range and keys count from the midnight (UTC) before the first call. */
  Map<Long, List<MinuteCalls>> between(double fromSeconds, double untilSeconds) {
    long firstMidnight =
        callsByMinute.isEmpty() ? 0 : callsByMinute.firstKey() / MINUTES_PER_DAY * MINUTES_PER_DAY;
    Map<Long, List<MinuteCalls>> result = new TreeMap<>();
    callsByMinute
        .subMap(
            firstMidnight + (long) Math.ceil(fromSeconds / 60),
            true,
            firstMidnight + (long) Math.ceil(untilSeconds / 60),
            false)
        .forEach((minute, entries) -> result.put(minute - firstMidnight, entries));
    return result;
  }
}
