package gorseladder.scale;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.Limits;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Rules;
import gorseladder.RouterApi.Settings;
import gorseladder.scale.proto.Sizes;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * One cell of hollow dispatchers: the list is told, then calls and changes come by a simulated clock, on the calling
 * thread alone. The cell ends early where its time is up; its figures are then of the calls made.
 */
final class HollowCell {
  private static final String CLASS = "safe";
  private static final int PORT = 9;
  private static final long SECOND = 1_000_000;
  private static final long START = 3600 * SECOND;
  private static final long MOST_NANOS = 60_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_A_MICRO = 1e3;
  private static final double NANOS_A_MILLI = 1e6;

  private final Sizes sizes;
  private final double mostSeconds;
  private final SyntheticFleet fleet;
  private final ZipfCalls calls;
  private final List<HollowDispatcher> dispatchers = new ArrayList<>();
  private final Set<Long> met = new HashSet<>();
  private final Histogram newFunction = new Histogram(MOST_NANOS, SIGNIFICANT_DIGITS);
  private final Histogram knownFunction = new Histogram(MOST_NANOS, SIGNIFICANT_DIGITS);
  private final Map<String, Integer> firstPlaces = new HashMap<>();
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private long seq = 1;
  private long callsMade;
  private long changesMade;
  private long callNanos;
  private long changeNanos;
  private long changeExamined;
  private long listExamined;

  HollowCell(Sizes sizes, double mostSeconds, long seed) {
    this.sizes = sizes;
    this.mostSeconds = mostSeconds;
    fleet = new SyntheticFleet(sizes, seed, PORT);
    calls = new ZipfCalls(sizes.getFunctions(), sizes.getZipf(), seed);
    Random random = new Random(seed);
    for (int i = 0; i < sizes.getDispatchers(); i++) {
      dispatchers.add(
          new HollowDispatcher(settings(sizes.getDispatchers()), random.nextLong(), START));
    }
  }

  private static Settings settings(int dispatchers) {
    long millisecond = SECOND / 1000;
    return new Settings(
        0,
        dispatchers,
        "zone0",
        2 * millisecond,
        10 * SECOND,
        true,
        false,
        0,
        0.1,
        new Limits(4, false, true, false, true, true, true, SECOND, 10 * SECOND),
        new Rules(500 * millisecond, 0.2, 15 * SECOND, 2.5, 1500 * millisecond, 0, 0, 0),
        List.of(
            new RequestClass(CLASS, Effect.SAFE, Group.ALL, 0, SECOND, 3 * SECOND, 1, 0.2, false)),
        List.of());
  }

  Map<Measure, Double> run() {
    Map<Measure, Double> measures = new EnumMap<>(Measure.class);
    tellList(measures);
    callsAndChanges(measures);
    double perDispatcher = dispatchers.size();
    double seconds = callsMade / perDispatcher / sizes.getCallsPerSecond();
    measures.put(Measure.CALL_MICROS, callNanos / NANOS_A_MICRO / callsMade);
    putMedian(measures, Measure.NEW_FUNCTION_MICROS, newFunction);
    putMedian(measures, Measure.KNOWN_FUNCTION_MICROS, knownFunction);
    double examinedByCalls = examined() - listExamined - changeExamined;
    measures.put(Measure.EXAMINED_A_CALL, examinedByCalls / callsMade);
    if (changesMade > 0) {
      double handled = changesMade * perDispatcher;
      measures.put(Measure.CHANGE_MICROS, changeNanos / NANOS_A_MICRO / handled);
      measures.put(Measure.EXAMINED_A_CHANGE, changeExamined / handled);
      measures.put(Measure.IN_FORCE_MILLIS, changeNanos / NANOS_A_MILLI / changesMade);
    }
    long messages =
        dispatchers.stream().mapToLong(HollowDispatcher::messagesOut).sum();
    measures.put(Measure.MESSAGES_OUT_PER_SECOND, messages / perDispatcher / seconds);
    double contacted =
        dispatchers.stream().mapToInt(HollowDispatcher::workersContacted).sum();
    measures.put(Measure.CONNECTIONS_PER_SECOND, contacted / seconds);
    measures.put(Measure.FIRST_PLACE_PEAK, peak());
    long fallThroughs =
        dispatchers.stream().mapToLong(HollowDispatcher::fallThroughs).sum();
    measures.put(Measure.FALL_THROUGHS, 1e3 * fallThroughs / callsMade);
    return measures;
  }

  private void tellList(Map<Measure, Double> measures) {
    byte[] list = fleet.wholeList(seq++).getBytes(StandardCharsets.US_ASCII);
    long heapBefore = Heap.used();
    long before = threads.getCurrentThreadCpuTime();
    dispatchers.forEach(dispatcher -> dispatcher.changeLogLine(list));
    double nanos = threads.getCurrentThreadCpuTime() - before;
    listExamined = examined();
    double told = (double) dispatchers.size() * fleet.size();
    measures.put(Measure.LIST_MICROS_A_WORKER, nanos / NANOS_A_MICRO / told);
    measures.put(Measure.BYTES_A_WORKER, (Heap.used() - heapBefore) / told);
  }

  private void callsAndChanges(Map<Measure, Double> measures) {
    long heapBefore = Heap.used();
    long bytesBefore = bytesIn();
    long changeEvery = sizes.getChangesPerSecond() > 0
        ? (long) (SECOND / sizes.getChangesPerSecond())
        : Long.MAX_VALUE;
    long callEvery = (long) (SECOND / sizes.getCallsPerSecond());
    long endsAt = System.nanoTime() + (long) (mostSeconds * 1e9);
    long now = START;
    long nextChange = START + Math.min(changeEvery, SECOND / 4);
    for (int round = 0; round < sizes.getCalls() && System.nanoTime() < endsAt; round++) {
      now += callEvery;
      if (now >= nextChange) {
        nextChange += changeEvery;
        change(now);
      }
      callRound(now);
    }
    double seconds = (now - START) / (double) SECOND;
    double bytes = bytesIn() - bytesBefore;
    measures.put(Measure.CONTROL_BYTES_PER_SECOND, bytes / dispatchers.size() / seconds);
    measures.put(Measure.BYTES_A_FUNCTION, (Heap.used() - heapBefore) / (double) met.size());
  }

  /** One call at each dispatcher. */
  private void callRound(long now) {
    for (int i = 0; i < dispatchers.size(); i++) {
      HollowDispatcher dispatcher = dispatchers.get(i);
      int function = calls.next();
      String name = "function" + function;
      boolean isNew = met.add((long) i << Integer.SIZE | function);
      long before = threads.getCurrentThreadCpuTime();
      dispatcher.moveTo(now);
      long asked = System.nanoTime();
      String worker = dispatcher.call(callsMade++, CLASS, name);
      long nanos = System.nanoTime() - asked;
      callNanos += threads.getCurrentThreadCpuTime() - before;
      (isNew ? newFunction : knownFunction).recordValue(Math.min(MOST_NANOS, nanos));
      if (isNew && worker != null) {
        firstPlaces.merge(worker, 1, Integer::sum);
      }
    }
  }

  /** A worker drains, is gone, or is back after a restart: its next state each time it is drawn. */
  private void change(long now) {
    int worker = (int) (changesMade / 3 % fleet.size());
    String state = switch ((int) (changesMade % 3)) {
      case 0 -> SyntheticFleet.LEAVING;
      case 1 -> SyntheticFleet.LEFT;
      default -> SyntheticFleet.ACTIVE;
    };
    byte[] line = fleet.change(seq++, worker, state, 0).getBytes(StandardCharsets.US_ASCII);
    dispatchers.forEach(dispatcher -> dispatcher.moveTo(now));
    long examined = examined();
    long before = threads.getCurrentThreadCpuTime();
    dispatchers.forEach(dispatcher -> dispatcher.changeLogLine(line));
    changeNanos += threads.getCurrentThreadCpuTime() - before;
    changeExamined += examined() - examined;
    changesMade++;
  }

  private long examined() {
    return dispatchers.stream().mapToLong(HollowDispatcher::workersExamined).sum();
  }

  private long bytesIn() {
    return dispatchers.stream().mapToLong(HollowDispatcher::bytesIn).sum();
  }

  private static void putMedian(Map<Measure, Double> measures, Measure measure, Histogram nanos) {
    if (nanos.getTotalCount() > 0) {
      measures.put(measure, nanos.getValueAtPercentile(50) / NANOS_A_MICRO);
    }
  }

  private double peak() {
    double weights = 0;
    for (int worker = 0; worker < fleet.size(); worker++) {
      weights += fleet.weight(worker);
    }
    double all = firstPlaces.values().stream().mapToInt(Integer::intValue).sum();
    double peak = 0;
    for (int worker = 0; worker < fleet.size(); worker++) {
      double share = firstPlaces.getOrDefault(fleet.name(worker), 0) / all;
      peak = Math.max(peak, share * weights / fleet.weight(worker));
    }
    return peak;
  }
}
