package gorseladder.structures;

import java.util.Arrays;

/**
 * A table from 128-bit digests to numbers from 0 on, in flat arrays: 20 bytes a slot and no object an entry, where a
 * map of boxed keys takes several times that. Linear probing, at most five eighths full. Nothing is removed: a table is
 * dropped whole. Digests must be evenly spread, as those of a keyed hash are; a sender who could choose them could make
 * a lookup long.
 *
 * <p>Not thread safe.
 */
public final class DigestTable {
  private static final int SMALLEST = 64;
  private static final int FREE = -1;

  private long[] high = new long[SMALLEST];
  private long[] low = new long[SMALLEST];
  private int[] values = filled(SMALLEST);
  private int size;

  private static int[] filled(int slots) {
    int[] values = new int[slots];
    Arrays.fill(values, FREE);
    return values;
  }

  /** Digests held. */
  public int size() {
    return size;
  }

  /** The number of a digest, or -1 where it has none. */
  public int get(long first, long second) {
    return values[slot(first, second)];
  }

  /**
   * Sets the number of a digest.
   *
   * @param value 0 or more
   * @return true where the digest was not there before
   */
  public boolean put(long first, long second, int value) {
    if (value < 0) {
      throw new IllegalArgumentException("a value below 0: " + value);
    }
    int at = slot(first, second);
    boolean fresh = values[at] == FREE;
    high[at] = first;
    low[at] = second;
    values[at] = value;
    if (fresh && ++size > values.length / 8 * 5) {
      grow();
    }
    return fresh;
  }

  private int slot(long first, long second) {
    int mask = values.length - 1;
    int at = (int) (first ^ first >>> 32) & mask;
    while (values[at] != FREE && (high[at] != first || low[at] != second)) {
      at = at + 1 & mask;
    }
    return at;
  }

  private void grow() {
    long[] oldHigh = high;
    long[] oldLow = low;
    int[] oldValues = values;
    high = new long[oldValues.length * 2];
    low = new long[oldValues.length * 2];
    values = filled(oldValues.length * 2);
    for (int i = 0; i < oldValues.length; i++) {
      if (oldValues[i] != FREE) {
        int at = slot(oldHigh[i], oldLow[i]);
        high[at] = oldHigh[i];
        low[at] = oldLow[i];
        values[at] = oldValues[i];
      }
    }
  }
}
