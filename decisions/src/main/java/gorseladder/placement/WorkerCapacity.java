package gorseladder.placement;

/**
 * A worker as the planner sees it.
 *
 * @param freeMb memory that copies loaded ahead may take there
 * @param maxLoads copies that may be ordered there by one plan
 * @param weight its share of calls beside others, above 0
 */
public record WorkerCapacity(String name, double freeMb, int maxLoads, double weight) {
  public WorkerCapacity {
    if (!(weight > 0)) {
      throw new IllegalArgumentException("impossible weight of " + name);
    }
  }
}
