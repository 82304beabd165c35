package gorseladder;

import gorseladder.RouterApi.Phase;
import gorseladder.RouterState.Worker;
import gorseladder.order.SharedOrder;
import java.util.ArrayList;
import java.util.List;

/**
 * The workers that are not gone, with their shared order and totals. The totals are updated as workers change, so that
 * no query iterates over the fleet; a worker contributes its values of the last {@link #recount}. Not thread safe.
 */
final class Fleet {
  private final SharedOrder<Worker> order = new SharedOrder<>();
  private final List<Worker> workers = new ArrayList<>();

  private int running;
  private int suspects;
  private double totalWeight;
  private double trustedLoad;
  private double suspectLoad;

  /** The order of workers from which all functions derive their candidates. */
  SharedOrder<Worker> order() {
    return order;
  }

  /** Number of workers that are not gone. */
  int size() {
    return workers.size();
  }

  /** The worker at an index below {@link #size}; indexes change as workers come and go. */
  Worker get(int index) {
    return workers.get(index);
  }

  /** Adds, moves or removes a worker according to its phase and weight; true if the shared order has changed. */
  boolean update(Worker worker) {
    boolean gone = worker.phase == Phase.GONE;
    if (gone && worker.fleetIndex >= 0) {
      Worker last = workers.remove(workers.size() - 1);
      if (last != worker) {
        workers.set(worker.fleetIndex, last);
        last.fleetIndex = worker.fleetIndex;
      }
      worker.fleetIndex = -1;
    } else if (!gone && worker.fleetIndex < 0) {
      worker.fleetIndex = workers.size();
      workers.add(worker);
    }
    return gone ? order.remove(worker) : order.put(worker, worker.weight);
  }

  /** Updates the totals with the current values of a worker; {@code suspect} if it is to be avoided. */
  void recount(Worker worker, boolean suspect) {
    count(worker, -1);
    worker.countedPhase = worker.phase;
    worker.countedSuspect = suspect;
    worker.countedWeight = worker.weight;
    worker.countedLoad = (worker.inFlight + worker.othersInFlight) / worker.weight;
    count(worker, 1);
  }

  private void count(Worker worker, int sign) {
    if (worker.countedPhase == Phase.GONE) {
      return;
    }
    totalWeight += sign * worker.countedWeight;
    if (worker.countedPhase != Phase.RUNNING) {
      return;
    }
    running += sign;
    if (worker.countedSuspect) {
      suspects += sign;
      suspectLoad += sign * worker.countedLoad;
    } else {
      trustedLoad += sign * worker.countedLoad;
    }
  }

  /** Mean weight of the workers that are not gone; 1 if there are none. */
  double meanWeight() {
    return workers.isEmpty() ? 1 : totalWeight / workers.size();
  }

  /** True if more than half of the running workers are suspect. */
  boolean mostSuspect() {
    return suspects * 2 > running;
  }

  /** Mean calls in flight at a running worker, scaled to mean weight, with or without suspect workers. */
  double meanLoad(boolean withSuspects) {
    int counted = withSuspects ? running : running - suspects;
    double load = withSuspects ? trustedLoad + suspectLoad : trustedLoad;
    return counted == 0 ? 0 : Math.max(0, load) * meanWeight() / counted;
  }
}
