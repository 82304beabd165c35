package gorseladder.runtime;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counters by label. Labels may come from peers, so their number is limited; further ones are counted together as
 * {@code other}. Thread safe.
 */
public final class Counts {
  private static final int MAX_LABELS = 64;

  private final Map<String, Long> counts = new TreeMap<>();

  /** Increments the counter of a label. */
  public synchronized void count(String label) {
    counts.merge(
        counts.size() < MAX_LABELS || counts.containsKey(label) ? label : "other", 1L, Long::sum);
  }

  /** The counters, sorted by label, for the log. */
  @Override
  public synchronized String toString() {
    return counts.toString();
  }
}
