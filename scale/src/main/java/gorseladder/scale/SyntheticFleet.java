package gorseladder.scale;

import gorseladder.scale.proto.Sizes;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * A fleet drawn from a seed, written as lines of the platform's change log. Worker {@code i} has the same name, zone,
 * cell and weight in every line. Not thread safe.
 */
final class SyntheticFleet {
  /** State of a worker that accepts calls, in the change log. */
  static final String ACTIVE = "active";

  /** State of a worker that drains. */
  static final String LEAVING = "leaving";

  /** State of a worker that is gone. */
  static final String LEFT = "left";

  private final List<String> names = new ArrayList<>();
  private final double[] weights;
  private final int zones;
  private final int cells;
  private final int port;

  /** Draws a fleet whose workers all listen on one loopback port. */
  SyntheticFleet(Sizes sizes, long seed, int port) {
    this.zones = sizes.getZones();
    this.cells = sizes.getCells();
    this.port = port;
    Random random = new Random(seed);
    weights = new double[sizes.getWorkers()];
    double ratio = sizes.getWeightTo() / sizes.getWeightFrom();
    for (int worker = 0; worker < weights.length; worker++) {
      names.add(String.format(Locale.ROOT, "%016x", random.nextLong()));
      weights[worker] = sizes.getWeightFrom() * Math.pow(ratio, random.nextDouble());
    }
  }

  int size() {
    return weights.length;
  }

  String name(int worker) {
    return names.get(worker);
  }

  double weight(int worker) {
    return weights[worker];
  }

  /** The whole fleet as one event, with all workers active on a loopback port. */
  String wholeList(long seq, int workerPort) {
    StringBuilder line = new StringBuilder();
    for (int worker = 0; worker < size(); worker++) {
      line.append(worker == 0 ? "" : ",").append(target(worker, workerPort, ACTIVE, 0));
    }
    return event(seq, true, line.toString());
  }

  /** The whole fleet as one event. */
  String wholeList(long seq) {
    return wholeList(seq, port);
  }

  /**
   * The new state of one worker as an event.
   *
   * @param bootMillis start time; 0 if the worker started long ago
   */
  String change(long seq, int worker, String state, long bootMillis) {
    return event(seq, false, target(worker, port, state, bootMillis));
  }

  /** A whole list that holds only one active worker, on a loopback port. */
  String listOfOne(long seq, int worker, int workerPort) {
    return event(seq, true, target(worker, workerPort, ACTIVE, 0));
  }

  private String target(int worker, int workerPort, String state, long bootMillis) {
    return String.format(
        Locale.ROOT,
        "{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"zone%d\",\"model\":\"std\","
            + "\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":%.3f,\"boot_ms\":%d}",
        names.get(worker),
        workerPort,
        worker % zones,
        worker / zones % cells,
        state,
        weights[worker],
        bootMillis);
  }

  private static String event(long seq, boolean all, String targets) {
    return "{\"seq\":" + seq + ",\"fleet\":{\"rev\":" + seq + ",\"all\":" + all + ",\"targets\":["
        + targets + "]}}";
  }
}
