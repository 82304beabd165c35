package gorseladder.forecast;

/**
 * Estimates counts of many names in bounded memory and never underestimates one: a count-min sketch with conservative
 * update (G. Cormode and S. Muthukrishnan, "An Improved Data Stream Summary", 2005; C. Estan and G. Varghese, 2002). It
 * separates functions called only once from those that get a forecast of their own, without a table entry for each
 * name. Not thread safe.
 */
final class CountMinSketch {
  private static final int ROWS = 4;

  private final int[][] counts;
  private final int mask;

  /** Creates a sketch with {@code width} counters in each of four rows, rounded up to a power of two. */
  CountMinSketch(int width) {
    int size = Integer.highestOneBit(Math.max(16, width) * 2 - 1);
    counts = new int[ROWS][size];
    mask = size - 1;
  }

  /** Adds calls to a name and returns its estimated count, which is never below the true one. */
  int add(String name, int calls) {
    int minimum = Integer.MAX_VALUE;
    int[] columns = new int[ROWS];
    int hash = name.hashCode();
    for (int row = 0; row < ROWS; row++) {
      hash = (hash ^ (hash >>> 15)) * 0x2c1b3c6d + row;
      hash = (hash ^ (hash >>> 12)) * 0x297a2d39;
      columns[row] = (hash ^ (hash >>> 15)) & mask;
      minimum = Math.min(minimum, counts[row][columns[row]]);
    }
    int updated = minimum + calls;
    for (int row = 0; row < ROWS; row++) {
      counts[row][columns[row]] = Math.max(counts[row][columns[row]], updated);
    }
    return updated;
  }

  /** Halves all counts, so that names that are no longer called lose weight. */
  void halve() {
    for (int[] row : counts) {
      for (int i = 0; i < row.length; i++) {
        row[i] >>= 1;
      }
    }
  }
}
