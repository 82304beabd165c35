package gorseladder.scale;

import gorseladder.scale.proto.Sizes;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * A fleet drawn from a seed, told in lines of the platform's change log. Worker {@code i} has the same name, zone, cell
 * and weight in every line. Not thread safe.
 */
final class SyntheticFleet {
  /** What the change log calls a worker that takes calls, one that drains and one that is gone. */
  static final String ACTIVE = "active";

  static final String LEAVING = "leaving";
  static final String LEFT = "left";

  private final List<String> names = new ArrayList<>();
  private final double[] weights;
  private final int zones;
  private final int cells;
  private final int port;

  /** A fleet whose workers all listen on one port of the loopback. */
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

  /** The whole fleet as one event, all workers active, at a port of the loopback. */
  String wholeList(long seq, int atPort) {
    StringBuilder line = new StringBuilder();
    for (int worker = 0; worker < size(); worker++) {
      line.append(worker == 0 ? "" : ",").append(target(worker, atPort, ACTIVE, 0));
    }
    return event(seq, true, line.toString());
  }

  /** The whole fleet as one event. */
  String wholeList(long seq) {
    return wholeList(seq, port);
  }

  /** One worker in a new state, as an event of its own; {@code bootMillis} is 0 where its last start was long ago. */
  String change(long seq, int worker, String state, long bootMillis) {
    return event(seq, false, target(worker, port, state, bootMillis));
  }

  /** A list of one active worker alone, at a port of the loopback. */
  String listOfOne(long seq, int worker, int atPort) {
    return event(seq, true, target(worker, atPort, ACTIVE, 0));
  }

  private String target(int worker, int atPort, String state, long bootMillis) {
    return String.format(
        Locale.ROOT,
        "{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"zone%d\",\"model\":\"std\","
            + "\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":%.3f,\"boot_ms\":%d}",
        names.get(worker),
        atPort,
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
