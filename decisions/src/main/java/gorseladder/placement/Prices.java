package gorseladder.placement;

/**
 * The cost of loading ahead in seconds of a caller's waiting time, so that benefit and cost can be compared.
 *
 * @param fetch cost of a fetch from the archive and the start of a copy, 0 or more
 * @param gigabyteSecond cost of a gigabyte held for a second, 0 or more
 * @param order cost of a load order, the first one and each renewal; above 0 where orders are rationed, because calls
 *     need them as well
 */
public record Prices(double fetch, double gigabyteSecond, double order) {
  public Prices {
    if (!(fetch >= 0) || !(gigabyteSecond >= 0) || !(order >= 0)) {
      throw new IllegalArgumentException("prices must be 0 or more");
    }
  }
}
