package gorseladder.forecast;

/**
 * Counts of many names in little room, never too low: a count-min sketch with conservative update (G. Cormode and S.
 * Muthukrishnan, "An Improved Data Stream Summary", 2005; C. Estan and G. Varghese, 2002). It tells functions wanted
 * only once from those that earn a forecast of their own, without a table entry for each name ever heard. Not thread
 * safe.
 */
final class CountMinSketch {
  private static final int ROWS = 4;

  private final int[][] counts;
  private final int mask;

  /** A sketch with so many counters in each of four rows, rounded up to a power of two. */
  CountMinSketch(int width) {
    int size = Integer.highestOneBit(Math.max(16, width) * 2 - 1);
    counts = new int[ROWS][size];
    mask = size - 1;
  }

  /** Adds calls of a name and returns its count, which is never below the true one. */
  int add(String name, int calls) {
    int least = Integer.MAX_VALUE;
    int[] at = new int[ROWS];
    int hash = name.hashCode();
    for (int row = 0; row < ROWS; row++) {
      hash = (hash ^ (hash >>> 15)) * 0x2c1b3c6d + row;
      hash = (hash ^ (hash >>> 12)) * 0x297a2d39;
      at[row] = (hash ^ (hash >>> 15)) & mask;
      least = Math.min(least, counts[row][at[row]]);
    }
    int next = least + calls;
    for (int row = 0; row < ROWS; row++) {
      counts[row][at[row]] = Math.max(counts[row][at[row]], next);
    }
    return next;
  }

  /** Halves all counts, so that old names fade. */
  void fade() {
    for (int[] row : counts) {
      for (int i = 0; i < row.length; i++) {
        row[i] >>= 1;
      }
    }
  }
}
