package gorseladder.placement;

/**
 * What loading ahead costs, told in seconds of a caller's waiting, so that benefit and cost can be set against each
 * other.
 *
 * @param fetch a fetch from the archive and the start of a copy, 0 or more
 * @param gigabyteSecond a gigabyte held for a second, 0 or more
 * @param order an order, the first and each that holds a copy anew; above 0 where orders are rationed, as then calls
 *     want them
 */
public record Prices(double fetch, double gigabyteSecond, double order) {
  public Prices {
    if (!(fetch >= 0) || !(gigabyteSecond >= 0) || !(order >= 0)) {
      throw new IllegalArgumentException("impossible prices");
    }
  }
}
