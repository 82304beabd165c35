package gorseladder.emulator;

import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.RequestClass;
import gorseladder.ahead.LoadAheadAccounting;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What an emulation counted. Latencies in microseconds, from a call's arrival at its edge. */
public final class Outcomes implements EmulatedEdge.Judge {
  /** One function's balance of loads ahead. Times in seconds. */
  public static final class Balance {
    private long loads;
    private long wasted;
    private long found;
    private long pushedOut;
    private double saved;
    private double loading;
    private double pushed;
    private double gigabyteSeconds;

    void add(LoadAheadAccounting.Entry e) {
      loads++;
      wasted += e.found() == 0 ? 1 : 0;
      found += e.found();
      pushedOut += e.evictions();
      saved += e.savedMicros() / 1e6;
      loading += e.loadMicros() / 1e6;
      pushed += e.evictedLoadMicros() / 1e6;
      gigabyteSeconds += e.megabyteSeconds() / 1024;
    }

    /** Adds another balance. */
    public void add(Balance b) {
      loads += b.loads;
      wasted += b.wasted;
      found += b.found;
      pushedOut += b.pushedOut;
      saved += b.saved;
      loading += b.loading;
      pushed += b.pushed;
      gigabyteSeconds += b.gigabyteSeconds;
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

    public long pushedOut() {
      return pushedOut;
    }

    public double saved() {
      return saved;
    }

    public double loading() {
      return loading;
    }

    public double pushed() {
      return pushed;
    }

    public double gigabyteSeconds() {
      return gigabyteSeconds;
    }
  }

  private final Histogram latency = new Histogram(60_000_000L, 3);
  private final Map<String, Long> broken = new TreeMap<>();
  private final Map<String, Long> judged = new TreeMap<>();
  private final Map<String, Balance> balances = new TreeMap<>();
  private final Map<String, long[]> byFunction = new TreeMap<>();
  private final Agenda agenda;
  private final long from;
  private final Surges surges;
  private long calls;
  private long served;
  private long refused;
  private long failed;
  private long cold;
  private long surgeCalls;
  private long surgeCold;
  private double worth;
  private double earned;
  long fetches;
  long aheadOrders;
  long events;

  /** Tells whether a call came in the first minute of a surge it belongs to. */
  interface Surges {
    boolean firstMinute(long at, Drawn function);
  }

  /** Counts the calls that arrive from a time on. */
  Outcomes(Agenda agenda, long from, Surges surges) {
    this.agenda = agenda;
    this.from = from;
    this.surges = surges;
  }

  @Override
  public void ended(
      Drawn function, RequestClass c, long arrivedAt, Outcome outcome, boolean wasCold) {
    if (arrivedAt < from) {
      return;
    }
    boolean surge = surges.firstMinute(arrivedAt, function);
    calls++;
    worth += c.worth();
    served += outcome == Outcome.OK ? 1 : 0;
    refused += outcome == Outcome.FULL ? 1 : 0;
    failed += outcome != Outcome.OK && outcome != Outcome.FULL ? 1 : 0;
    cold += wasCold ? 1 : 0;
    surgeCalls += surge ? 1 : 0;
    surgeCold += surge && wasCold ? 1 : 0;
    long[] f = byFunction.computeIfAbsent(
        function.population().equals("once") ? "once" : function.name(), n -> new long[2]);
    f[0]++;
    f[1] += wasCold ? 1 : 0;
    if (outcome == Outcome.OK) {
      long took = agenda.now() - arrivedAt;
      latency.recordValue(Math.min(took, 59_000_000));
      earned += c.worth() * (took <= c.latencyTarget() ? 1 : c.lateWorth());
    }
  }

  @Override
  public void broken(String what) {
    broken.merge(what, 1L, Long::sum);
  }

  @Override
  public void judged(String rule) {
    judged.merge(rule, 1L, Long::sum);
  }

  void add(LoadAheadAccounting.Entry e) {
    balances.computeIfAbsent(e.function(), f -> new Balance()).add(e);
  }

  public long calls() {
    return calls;
  }

  /** Worth answered in time over worth asked for, 0 to 1. */
  public double service() {
    return worth == 0 ? 0 : earned / worth;
  }

  /** Part of the calls that met no copy ready, 0 to 1. */
  public double coldShare() {
    return calls == 0 ? 0 : (double) cold / calls;
  }

  /** The same in the first minutes of surges. */
  public double surgeColdShare() {
    return surgeCalls == 0 ? 0 : (double) surgeCold / surgeCalls;
  }

  /** Calls in the first minutes of surges. */
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

  /** Fetches from the archive. */
  public long fetches() {
    return fetches;
  }

  /** Events of the emulation. */
  public long events() {
    return events;
  }

  /** Orders that came from plans. */
  public long aheadOrders() {
    return aheadOrders;
  }

  /** A latency in milliseconds, by its percentile. */
  public double latencyMillis(double percentile) {
    return latency.getValueAtPercentile(percentile) / 1000.0;
  }

  /** Milliseconds of waiting a served call, in the mean. */
  public double meanMillis() {
    return latency.getMean() / 1000;
  }

  /** Broken rules and how often. */
  public Map<String, Long> broken() {
    return broken;
  }

  /** How often each rule had something to judge. */
  public Map<String, Long> judged() {
    return judged;
  }

  /** Balance of loads ahead by function, every function with any. */
  public Map<String, Balance> balances() {
    return balances;
  }

  /** Calls and cold ones, by function. */
  public Map<String, long[]> byFunction() {
    return byFunction;
  }

  /** The balance of all. */
  public Balance balance() {
    Balance all = new Balance();
    balances.values().forEach(all::add);
    return all;
  }
}
