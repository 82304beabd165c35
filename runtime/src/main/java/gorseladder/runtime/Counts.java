package gorseladder.runtime;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts by words that may come from outside: so many words at the most, the rest together as {@code other}. Any
 * thread.
 */
public final class Counts {
  private static final int MAX_WORDS = 64;

  private final Map<String, Long> counts = new TreeMap<>();

  /** Counts one. */
  public synchronized void count(String word) {
    counts.merge(
        counts.size() < MAX_WORDS || counts.containsKey(word) ? word : "other", 1L, Long::sum);
  }

  /** The counts by words, in their order, for the log. */
  @Override
  public synchronized String toString() {
    return counts.toString();
  }
}
