package gorseladder;

import gorseladder.RouterApi.Phase;
import gorseladder.RouterState.Worker;
import gorseladder.order.SharedOrder;
import java.util.ArrayList;
import java.util.List;

/**
 * The workers that are not gone: the order that functions share, a list of them, and counts that are kept as workers
 * change, so that nobody walks the fleet to learn one number. A worker counts as it was at its last {@link #count}.
 * Not thread safe.
 */
final class Fleet {
  private final SharedOrder<Worker> order = new SharedOrder<>();
  private final List<Worker> list = new ArrayList<>();

  private int running;
  private int suspects;
  private double weight;
  private double trustedLoad;
  private double suspectLoad;

  /** The order of the workers that all functions share. */
  SharedOrder<Worker> order() {
    return order;
  }

  /** Workers that are not gone. */
  int size() {
    return list.size();
  }

  /** Any worker by a number below {@link #size}; numbers change as workers come and go. */
  Worker get(int number) {
    return list.get(number);
  }

  /** Takes a worker in or out as its phase and weight say; true where the shared order has changed. */
  boolean update(Worker worker) {
    boolean out = worker.phase == Phase.GONE;
    if (out && worker.fleetIndex >= 0) {
      Worker last = list.remove(list.size() - 1);
      if (last != worker) {
        list.set(worker.fleetIndex, last);
        last.fleetIndex = worker.fleetIndex;
      }
      worker.fleetIndex = -1;
    } else if (!out && worker.fleetIndex < 0) {
      worker.fleetIndex = list.size();
      list.add(worker);
    }
    return out ? order.remove(worker) : order.put(worker, worker.weight);
  }

  /** Counts a worker as it is now; {@code suspect} where it is to be avoided. */
  void count(Worker worker, boolean suspect) {
    count(worker, -1);
    worker.countedPhase = worker.phase;
    worker.countedSuspect = suspect;
    worker.countedWeight = worker.weight;
    worker.countedLoad = (worker.inFlight + worker.others) / worker.weight;
    count(worker, 1);
  }

  private void count(Worker worker, int sign) {
    if (worker.countedPhase == Phase.GONE) {
      return;
    }
    weight += sign * worker.countedWeight;
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

  /** Mean weight of the workers that are not gone; 1 where there are none. */
  double meanWeight() {
    return list.isEmpty() ? 1 : weight / list.size();
  }

  /** True where more than half of the running workers are suspect. */
  boolean mostSuspect() {
    return suspects * 2 > running;
  }

  /** Calls in flight at a running worker of mean weight, on the mean; suspects count only where all are distrusted. */
  double meanLoad(boolean withSuspects) {
    int workers = withSuspects ? running : running - suspects;
    double load = withSuspects ? trustedLoad + suspectLoad : trustedLoad;
    return workers == 0 ? 0 : Math.max(0, load) * meanWeight() / workers;
  }
}
