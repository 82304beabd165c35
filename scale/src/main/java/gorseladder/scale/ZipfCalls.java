package gorseladder.scale;

import java.util.Random;

/** Draws functions by a Zipf law: the function of rank r is called in proportion to r^-exponent, with ranks from 1. */
final class ZipfCalls {
  private final double[] cumulative;
  private final Random random;

  ZipfCalls(int functions, double exponent, long seed) {
    random = new Random(seed);
    cumulative = new double[functions];
    double sum = 0;
    for (int rank = 0; rank < functions; rank++) {
      sum += Math.pow(rank + 1, -exponent);
      cumulative[rank] = sum;
    }
  }

  /** The next function to call, from 0 for the most frequent one. */
  int next() {
    double point = random.nextDouble() * cumulative[cumulative.length - 1];
    int low = 0;
    int high = cumulative.length - 1;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (cumulative[middle] < point) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
