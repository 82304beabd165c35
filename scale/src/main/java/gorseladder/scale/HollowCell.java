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
 * One cell of hollow dispatchers: sends them the worker list, then calls and changes by a simulated clock, all on the
 * calling thread. A cell that runs out of time ends early; its measures then cover the calls made.
 */
final class HollowCell {
  private static final String CLASS_NAME = "safe";
  private static final int WORKER_PORT = 9;
  private static final long SECOND_MICROS = 1_000_000;
  private static final long START_MICROS = 3600 * SECOND_MICROS;
  private static final long MAX_NANOS = 60_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_PER_MICRO = 1e3;
  private static final double NANOS_PER_MILLI = 1e6;

  private final Sizes sizes;
  private final double maxSeconds;
  private final SyntheticFleet fleet;
  private final ZipfCalls calls;
  private final List<HollowDispatcher> dispatchers = new ArrayList<>();
  private final Set<Long> calledFunctions = new HashSet<>();
  private final Histogram newFunction = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
  private final Histogram knownFunction = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
  private final Map<String, Integer> firstPlaces = new HashMap<>();
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private long seq = 1;
  private long callsMade;
  private long changesMade;
  private long callNanos;
  private long changeNanos;
  private long changeExamined;
  private long listExamined;

  HollowCell(Sizes sizes, double maxSeconds, long seed) {
    this.sizes = sizes;
    this.maxSeconds = maxSeconds;
    fleet = new SyntheticFleet(sizes, seed, WORKER_PORT);
    calls = new ZipfCalls(sizes.getFunctions(), sizes.getZipf(), seed);
    Random random = new Random(seed);
    for (int i = 0; i < sizes.getDispatchers(); i++) {
      dispatchers.add(
          new HollowDispatcher(settings(sizes.getDispatchers()), random.nextLong(), START_MICROS));
    }
  }

  private static Settings settings(int dispatchers) {
    long millisecondMicros = SECOND_MICROS / 1000;
    return new Settings(
        0,
        dispatchers,
        "zone0",
        2 * millisecondMicros,
        10 * SECOND_MICROS,
        true,
        false,
        0,
        0.1,
        new Limits(4, false, true, false, true, true, true, SECOND_MICROS, 10 * SECOND_MICROS),
        new Rules(
            500 * millisecondMicros,
            0.2,
            15 * SECOND_MICROS,
            2.5,
            1500 * millisecondMicros,
            0,
            0,
            0),
        List.of(new RequestClass(
            CLASS_NAME,
            Effect.SAFE,
            Group.ALL,
            0,
            SECOND_MICROS,
            3 * SECOND_MICROS,
            1,
            0.2,
            false)),
        List.of());
  }

  Map<Measure, Double> run() {
    Map<Measure, Double> measures = new EnumMap<>(Measure.class);
    sendList(measures);
    runCallsAndChanges(measures);
    double dispatcherCount = dispatchers.size();
    double seconds = callsMade / dispatcherCount / sizes.getCallsPerSecond();
    measures.put(Measure.CALL_MICROS, callNanos / NANOS_PER_MICRO / callsMade);
    putMedian(measures, Measure.NEW_FUNCTION_MICROS, newFunction);
    putMedian(measures, Measure.KNOWN_FUNCTION_MICROS, knownFunction);
    double examinedByCalls = workersExamined() - listExamined - changeExamined;
    measures.put(Measure.EXAMINED_A_CALL, examinedByCalls / callsMade);
    if (changesMade > 0) {
      double changesHandled = changesMade * dispatcherCount;
      measures.put(Measure.CHANGE_MICROS, changeNanos / NANOS_PER_MICRO / changesHandled);
      measures.put(Measure.EXAMINED_A_CHANGE, changeExamined / changesHandled);
      measures.put(Measure.IN_FORCE_MILLIS, changeNanos / NANOS_PER_MILLI / changesMade);
    }
    long messages =
        dispatchers.stream().mapToLong(HollowDispatcher::messagesOut).sum();
    measures.put(Measure.MESSAGES_OUT_PER_SECOND, messages / dispatcherCount / seconds);
    double contacted =
        dispatchers.stream().mapToInt(HollowDispatcher::workersContacted).sum();
    measures.put(Measure.CONNECTIONS_PER_SECOND, contacted / seconds);
    measures.put(Measure.FIRST_PLACE_PEAK, firstPlacePeak());
    long fallThroughs =
        dispatchers.stream().mapToLong(HollowDispatcher::fallThroughs).sum();
    measures.put(Measure.FALL_THROUGHS, 1e3 * fallThroughs / callsMade);
    return measures;
  }

  private void sendList(Map<Measure, Double> measures) {
    byte[] list = fleet.wholeList(seq++).getBytes(StandardCharsets.US_ASCII);
    long heapBefore = Heap.reachableBytes();
    long before = threads.getCurrentThreadCpuTime();
    dispatchers.forEach(dispatcher -> dispatcher.changeLogLine(list));
    double nanos = threads.getCurrentThreadCpuTime() - before;
    listExamined = workersExamined();
    double entriesHandled = (double) dispatchers.size() * fleet.size();
    measures.put(Measure.LIST_MICROS_A_WORKER, nanos / NANOS_PER_MICRO / entriesHandled);
    measures.put(Measure.BYTES_A_WORKER, (Heap.reachableBytes() - heapBefore) / entriesHandled);
  }

  private void runCallsAndChanges(Map<Measure, Double> measures) {
    long heapBefore = Heap.reachableBytes();
    long bytesBefore = bytesIn();
    long changeIntervalMicros = sizes.getChangesPerSecond() > 0
        ? (long) (SECOND_MICROS / sizes.getChangesPerSecond())
        : Long.MAX_VALUE;
    long callIntervalMicros = (long) (SECOND_MICROS / sizes.getCallsPerSecond());
    long deadlineNanos = System.nanoTime() + (long) (maxSeconds * 1e9);
    long now = START_MICROS;
    long nextChange = START_MICROS + Math.min(changeIntervalMicros, SECOND_MICROS / 4);
    for (int round = 0; round < sizes.getCalls() && System.nanoTime() < deadlineNanos; round++) {
      now += callIntervalMicros;
      if (now >= nextChange) {
        nextChange += changeIntervalMicros;
        applyNextChange(now);
      }
      callRound(now);
    }
    double seconds = (now - START_MICROS) / (double) SECOND_MICROS;
    double bytes = bytesIn() - bytesBefore;
    measures.put(Measure.CONTROL_BYTES_PER_SECOND, bytes / dispatchers.size() / seconds);
    measures.put(
        Measure.BYTES_A_FUNCTION,
        (Heap.reachableBytes() - heapBefore) / (double) calledFunctions.size());
  }

  /** Makes one call at each dispatcher. */
  private void callRound(long now) {
    for (int i = 0; i < dispatchers.size(); i++) {
      HollowDispatcher dispatcher = dispatchers.get(i);
      int function = calls.next();
      String name = "function" + function;
      boolean isNew = calledFunctions.add((long) i << Integer.SIZE | function);
      long before = threads.getCurrentThreadCpuTime();
      dispatcher.advanceTo(now);
      long requestedAt = System.nanoTime();
      String worker = dispatcher.call(callsMade++, CLASS_NAME, name);
      long nanos = System.nanoTime() - requestedAt;
      callNanos += threads.getCurrentThreadCpuTime() - before;
      (isNew ? newFunction : knownFunction).recordValue(Math.min(MAX_NANOS, nanos));
      if (isNew && worker != null) {
        firstPlaces.merge(worker, 1, Integer::sum);
      }
    }
  }

  /** Moves a worker to its next state. Each worker in turn drains, leaves and is active again. */
  private void applyNextChange(long now) {
    int worker = (int) (changesMade / 3 % fleet.size());
    String state = switch ((int) (changesMade % 3)) {
      case 0 -> SyntheticFleet.LEAVING;
      case 1 -> SyntheticFleet.LEFT;
      default -> SyntheticFleet.ACTIVE;
    };
    byte[] line = fleet.change(seq++, worker, state, 0).getBytes(StandardCharsets.US_ASCII);
    dispatchers.forEach(dispatcher -> dispatcher.advanceTo(now));
    long examinedBefore = workersExamined();
    long before = threads.getCurrentThreadCpuTime();
    dispatchers.forEach(dispatcher -> dispatcher.changeLogLine(line));
    changeNanos += threads.getCurrentThreadCpuTime() - before;
    changeExamined += workersExamined() - examinedBefore;
    changesMade++;
  }

  private long workersExamined() {
    return dispatchers.stream().mapToLong(HollowDispatcher::workersExamined).sum();
  }

  private long bytesIn() {
    return dispatchers.stream().mapToLong(HollowDispatcher::bytesIn).sum();
  }

  private static void putMedian(Map<Measure, Double> measures, Measure measure, Histogram nanos) {
    if (nanos.getTotalCount() > 0) {
      measures.put(measure, nanos.getValueAtPercentile(50) / NANOS_PER_MICRO);
    }
  }

  private double firstPlacePeak() {
    double weights = 0;
    for (int worker = 0; worker < fleet.size(); worker++) {
      weights += fleet.weight(worker);
    }
    double total = firstPlaces.values().stream().mapToInt(Integer::intValue).sum();
    double peak = 0;
    for (int worker = 0; worker < fleet.size(); worker++) {
      double share = firstPlaces.getOrDefault(fleet.name(worker), 0) / total;
      peak = Math.max(peak, share * weights / fleet.weight(worker));
    }
    return peak;
  }
}
