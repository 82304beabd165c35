package gorseladder.structures;

import java.util.Arrays;

/**
 * Hash table from 128-bit digests to non-negative ints, in flat arrays: 20 bytes per slot and no object per entry, a
 * fraction of a map with boxed keys. Linear probing with a load factor of at most 5/8; entries are never removed.
 * Digests must be uniformly distributed, such as those of a keyed hash: a sender who could choose them could make
 * lookups slow.
 *
 * <p>Not thread-safe.
 */
public final class DigestTable {
  private static final int INITIAL_SLOTS = 64;
  private static final int EMPTY = -1;

  private long[] high = new long[INITIAL_SLOTS];
  private long[] low = new long[INITIAL_SLOTS];
  private int[] values = emptyValues(INITIAL_SLOTS);
  private int size;

  private static int[] emptyValues(int slots) {
    int[] values = new int[slots];
    Arrays.fill(values, EMPTY);
    return values;
  }

  /** Number of digests. */
  public int size() {
    return size;
  }

  /** Returns the value of a digest, or -1 if there is none. */
  public int get(long first, long second) {
    return values[slot(first, second)];
  }

  /**
   * Sets the value of a digest.
   *
   * @param value 0 or more
   * @return true if the digest is new
   */
  public boolean put(long first, long second, int value) {
    if (value < 0) {
      throw new IllegalArgumentException("negative value: " + value);
    }
    int slot = slot(first, second);
    boolean isNew = values[slot] == EMPTY;
    high[slot] = first;
    low[slot] = second;
    values[slot] = value;
    if (isNew && ++size > values.length / 8 * 5) {
      grow();
    }
    return isNew;
  }

  private int slot(long first, long second) {
    int mask = values.length - 1;
    int slot = (int) (first ^ first >>> 32) & mask;
    while (values[slot] != EMPTY && (high[slot] != first || low[slot] != second)) {
      slot = slot + 1 & mask;
    }
    return slot;
  }

  private void grow() {
    long[] oldHigh = high;
    long[] oldLow = low;
    int[] oldValues = values;
    high = new long[oldValues.length * 2];
    low = new long[oldValues.length * 2];
    values = emptyValues(oldValues.length * 2);
    for (int i = 0; i < oldValues.length; i++) {
      if (oldValues[i] != EMPTY) {
        int slot = slot(oldHigh[i], oldLow[i]);
        high[slot] = oldHigh[i];
        low[slot] = oldLow[i];
        values[slot] = oldValues[i];
      }
    }
  }
}
