package gorseladder.planner;

import gorseladder.config.exchange.LoadAhead;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** Totals of the records of loads ahead, by function and for all functions. Not thread safe. */
public final class LoadAheadSummary {
  /** Totals of a number of records. A load is wasted if no call found its copy. Times are in microseconds. */
  public static final class Totals {
    private long loads;
    private long wasted;
    private long renewals;
    private long found;
    private long savedMicros;
    private long loadMicros;
    private double megabyteSeconds;
    private long evictions;
    private long evictedLoadMicros;

    private void add(LoadAhead load) {
      loads++;
      wasted += load.getFound() == 0 ? 1 : 0;
      renewals += load.getRenewals();
      found += load.getFound();
      savedMicros += load.getSavedUs();
      loadMicros += load.getLoadUs();
      megabyteSeconds += load.getMegabyteSeconds();
      evictions += load.getPushedOut();
      evictedLoadMicros += load.getPushedUs();
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

    public long savedMicros() {
      return savedMicros;
    }

    /** The totals by name, in a fixed order. */
    public Map<String, Object> values() {
      Map<String, Object> values = new LinkedHashMap<>();
      values.put("loads", loads);
      values.put("wasted", wasted);
      values.put("renewals", renewals);
      values.put("found", found);
      values.put("saved_ms", savedMicros / 1000);
      values.put("load_ms", loadMicros / 1000);
      values.put("gb_seconds", Math.round(megabyteSeconds / 102.4) / 10.0);
      values.put("pushed_out", evictions);
      values.put("pushed_ms", evictedLoadMicros / 1000);
      return values;
    }
  }

  private final Map<String, Totals> byFunction = new TreeMap<>();
  private final Totals all = new Totals();

  void add(LoadAhead load) {
    byFunction.computeIfAbsent(load.getFunction(), f -> new Totals()).add(load);
    all.add(load);
  }

  /** Totals for each function with a load ahead. */
  public Map<String, Totals> byFunction() {
    return byFunction;
  }

  /** Totals for all functions. */
  public Totals all() {
    return all;
  }
}
