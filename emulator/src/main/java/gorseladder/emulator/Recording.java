package gorseladder.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Recorded calls by minute, for an emulation to replay. Minutes are told since 1970; the first day of the record is day
 * 0.
 */
public final class Recording {
  private static final long DAY = 1_440;

  /** Calls of a function in a minute. */
  record Entry(String function, long calls) {}

  private final TreeMap<Long, List<Entry>> minutes = new TreeMap<>();
  private long calls;

  /** Adds calls of a function in a stretch of minutes; they are spread evenly over it. */
  public void add(long from, int length, String function, long count) {
    for (int i = 0; i < length; i++) {
      long part = count * (i + 1) / length - count * i / length;
      if (part > 0) {
        minutes.computeIfAbsent(from + i, m -> new ArrayList<>()).add(new Entry(function, part));
      }
    }
    calls += count;
  }

  /** Calls in all. */
  public long calls() {
    return calls;
  }

  /** Whole days from the first call's midnight (UTC) to the last call. */
  public int days() {
    return minutes.isEmpty() ? 0 : (int) (minutes.lastKey() / DAY - minutes.firstKey() / DAY) + 1;
  }

  /** The functions named, in a steady order. */
  TreeSet<String> functions() {
    TreeSet<String> names = new TreeSet<>();
    minutes.values().forEach(all -> all.forEach(e -> names.add(e.function())));
    return names;
  }

  /** The minutes that begin in a stretch of seconds since the record's first midnight. */
  Map<Long, List<Entry>> between(double from, double until) {
    long first = minutes.isEmpty() ? 0 : minutes.firstKey() / DAY * DAY;
    Map<Long, List<Entry>> out = new TreeMap<>();
    minutes
        .subMap(
            first + (long) Math.ceil(from / 60), true, first + (long) Math.ceil(until / 60), false)
        .forEach((m, all) -> out.put(m - first, all));
    return out;
  }
}
