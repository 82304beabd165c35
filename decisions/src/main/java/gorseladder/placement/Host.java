package gorseladder.placement;

/**
 * A worker as the planner sees it.
 *
 * @param freeMb memory that copies loaded ahead may take there
 * @param loads copies that may be ordered there by one plan
 * @param weight its share of calls beside others, above 0
 */
public record Host(String name, double freeMb, int loads, double weight) {
  public Host {
    if (!(weight > 0)) {
      throw new IllegalArgumentException("impossible weight of " + name);
    }
  }
}
