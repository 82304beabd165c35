package gorseladder.placement;

/**
 * What one worker can take in a plan.
 *
 * @param freeMb memory that copies loaded ahead may occupy on the worker
 * @param maxLoads copies that one plan may order on the worker
 * @param weight the worker's share of the calls relative to other workers, above 0
 */
public record WorkerCapacity(String name, double freeMb, int maxLoads, double weight) {
  public WorkerCapacity {
    if (!(weight > 0)) {
      throw new IllegalArgumentException("weight must be above 0: " + name);
    }
  }
}
