package gorseladder.emulator;

import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.RequestClass;
import gorseladder.ahead.LoadAheadAccounting;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts of an emulation. A latency is measured from a call's arrival at its edge. */
public final class Outcomes implements EmulatedEdge.CallObserver {
  /** Costs and benefits of loads ahead. A load is wasted if no call found its copy. */
  public static final class Balance {
    private long loads;
    private long wasted;
    private long found;
    private long evictions;
    private double savedSeconds;
    private double loadSeconds;
    private double evictedLoadSeconds;
    private double gigabyteSeconds;

    void add(LoadAheadAccounting.Entry entry) {
      loads++;
      wasted += entry.found() == 0 ? 1 : 0;
      found += entry.found();
      evictions += entry.evictions();
      savedSeconds += entry.savedMicros() / 1e6;
      loadSeconds += entry.loadMicros() / 1e6;
      evictedLoadSeconds += entry.evictedLoadMicros() / 1e6;
      gigabyteSeconds += entry.megabyteSeconds() / 1024;
    }

    /** Adds another balance. */
    public void add(Balance other) {
      loads += other.loads;
      wasted += other.wasted;
      found += other.found;
      evictions += other.evictions;
      savedSeconds += other.savedSeconds;
      loadSeconds += other.loadSeconds;
      evictedLoadSeconds += other.evictedLoadSeconds;
      gigabyteSeconds += other.gigabyteSeconds;
    }

    public long loads() {
      return loads;
    }

    public long wasted() {
      return wasted;
    }

    public long found() {
      return found;
    }

    public long evictions() {
      return evictions;
    }

    public double savedSeconds() {
      return savedSeconds;
    }

    public double loadSeconds() {
      return loadSeconds;
    }

    public double evictedLoadSeconds() {
      return evictedLoadSeconds;
    }

    public double gigabyteSeconds() {
      return gigabyteSeconds;
    }
  }

  private final Histogram latencies = new Histogram(60_000_000L, 3);
  private final Map<String, Long> violations = new TreeMap<>();
  private final Map<String, Long> occasions = new TreeMap<>();
  private final Map<String, Balance> balancesByFunction = new TreeMap<>();
  private final Map<String, long[]> callsByFunction = new TreeMap<>();
  private final EventScheduler scheduler;
  private final long countedFrom;
  private final SurgeStarts surgeStarts;
  private long calls;
  private long served;
  private long refused;
  private long failed;
  private long coldCalls;
  private long surgeCalls;
  private long surgeColdCalls;
  private double requestedWorth;
  private double earnedWorth;
  long fetches;
  long planOrders;
  long events;

  /** Tells whether a time is in the first minute of a surge that includes a function. */
  interface SurgeStarts {
    boolean contains(long time, EmulatedFunction function);
  }

  /** Counts the calls that arrive at {@code countedFrom} or later. */
  Outcomes(EventScheduler scheduler, long countedFrom, SurgeStarts surgeStarts) {
    this.scheduler = scheduler;
    this.countedFrom = countedFrom;
    this.surgeStarts = surgeStarts;
  }

  @Override
  public void callEnded(
      EmulatedFunction function,
      RequestClass requestClass,
      long arrivedAt,
      Outcome outcome,
      boolean isCold) {
    if (arrivedAt < countedFrom) {
      return;
    }
    boolean inSurgeStart = surgeStarts.contains(arrivedAt, function);
    calls++;
    requestedWorth += requestClass.worth();
    served += outcome == Outcome.OK ? 1 : 0;
    refused += outcome == Outcome.FULL ? 1 : 0;
    failed += outcome != Outcome.OK && outcome != Outcome.FULL ? 1 : 0;
    coldCalls += isCold ? 1 : 0;
    surgeCalls += inSurgeStart ? 1 : 0;
    surgeColdCalls += inSurgeStart && isCold ? 1 : 0;
    long[] counts = callsByFunction.computeIfAbsent(
        function.population().equals("once") ? "once" : function.name(), n -> new long[2]);
    counts[0]++;
    counts[1] += isCold ? 1 : 0;
    if (outcome == Outcome.OK) {
      long latencyMicros = scheduler.now() - arrivedAt;
      latencies.recordValue(Math.min(latencyMicros, 59_000_000));
      earnedWorth += requestClass.worth()
          * (latencyMicros <= requestClass.latencyTarget() ? 1 : requestClass.lateWorth());
    }
  }

  @Override
  public void countViolation(String description) {
    violations.merge(description, 1L, Long::sum);
  }

  @Override
  public void countOccasion(String rule) {
    occasions.merge(rule, 1L, Long::sum);
  }

  void add(LoadAheadAccounting.Entry entry) {
    balancesByFunction.computeIfAbsent(entry.function(), f -> new Balance()).add(entry);
  }

  public long calls() {
    return calls;
  }

  /** Worth earned by answers over the worth of all calls, 0 to 1. A late answer earns a fraction of the worth. */
  public double service() {
    return requestedWorth == 0 ? 0 : earnedWorth / requestedWorth;
  }

  /** Fraction of the calls that found no loaded copy, 0 to 1. */
  public double coldShare() {
    return calls == 0 ? 0 : (double) coldCalls / calls;
  }

  /** The cold share of the calls in the first minute of a surge. */
  public double surgeColdShare() {
    return surgeCalls == 0 ? 0 : (double) surgeColdCalls / surgeCalls;
  }

  /** Number of calls in the first minute of a surge. */
  public long surgeCalls() {
    return surgeCalls;
  }

  public long served() {
    return served;
  }

  public long refused() {
    return refused;
  }

  public long failed() {
    return failed;
  }

  /** Number of fetches from the archive. */
  public long fetches() {
    return fetches;
  }

  /** Number of events of the emulation. */
  public long events() {
    return events;
  }

  /** Number of load orders from plans. */
  public long planOrders() {
    return planOrders;
  }

  /** A percentile of the latency of served calls. */
  public double latencyMillis(double percentile) {
    return latencies.getValueAtPercentile(percentile) / 1000.0;
  }

  /** Mean latency of served calls. */
  public double meanLatencyMillis() {
    return latencies.getMean() / 1000;
  }

  /** Number of violations by description. */
  public Map<String, Long> violations() {
    return violations;
  }

  /** How often each rule was checked. */
  public Map<String, Long> occasions() {
    return occasions;
  }

  /** Balance by function, for each function with a load ahead. */
  public Map<String, Balance> balancesByFunction() {
    return balancesByFunction;
  }

  /** Number of calls and number of cold calls, by function. */
  public Map<String, long[]> callsByFunction() {
    return callsByFunction;
  }

  /** The balance of all functions. */
  public Balance totalBalance() {
    Balance all = new Balance();
    balancesByFunction.values().forEach(all::add);
    return all;
  }
}
