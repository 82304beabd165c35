package gorseladder.runtime;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counters by label. Labels may come from peers, so their number is limited; further ones are counted together as
 * {@code other}. Thread safe.
 */
public final class Counts {
  private static final int MAX_WORDS = 64;

  private final Map<String, Long> counts = new TreeMap<>();

  /** Increments the counter of a label. */
  public synchronized void count(String word) {
    counts.merge(
        counts.size() < MAX_WORDS || counts.containsKey(word) ? word : "other", 1L, Long::sum);
  }

  /** The counters, sorted by label, for the log. */
  @Override
  public synchronized String toString() {
    return counts.toString();
  }
}
