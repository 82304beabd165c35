package gorseladder.planner;

import gorseladder.config.exchange.LoadAhead;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** Sums of the records of loads ahead, by function and in all. Not thread safe. */
public final class LoadAheadSummary {
  /** One line; {@code wasted} loads were found by no call. Times in microseconds. */
  public static final class Totals {
    private long loads;
    private long wasted;
    private long renewals;
    private long found;
    private long savedMicros;
    private long loadMicros;
    private double megabyteSeconds;
    private long pushedOut;
    private long pushedMicros;

    private void add(LoadAhead l) {
      loads++;
      wasted += l.getFound() == 0 ? 1 : 0;
      renewals += l.getRenewals();
      found += l.getFound();
      savedMicros += l.getSavedUs();
      loadMicros += l.getLoadUs();
      megabyteSeconds += l.getMegabyteSeconds();
      pushedOut += l.getPushedOut();
      pushedMicros += l.getPushedUs();
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

    /** The line as names and values, in a steady order. */
    public Map<String, Object> values() {
      Map<String, Object> v = new LinkedHashMap<>();
      v.put("loads", loads);
      v.put("wasted", wasted);
      v.put("renewals", renewals);
      v.put("found", found);
      v.put("saved_ms", savedMicros / 1000);
      v.put("load_ms", loadMicros / 1000);
      v.put("gb_seconds", Math.round(megabyteSeconds / 102.4) / 10.0);
      v.put("pushed_out", pushedOut);
      v.put("pushed_ms", pushedMicros / 1000);
      return v;
    }
  }

  private final Map<String, Totals> byFunction = new TreeMap<>();
  private final Totals all = new Totals();

  void add(LoadAhead l) {
    byFunction.computeIfAbsent(l.getFunction(), f -> new Totals()).add(l);
    all.add(l);
  }

  /** A line for each function with any load ahead. */
  public Map<String, Totals> byFunction() {
    return byFunction;
  }

  /** The sum of all lines. */
  public Totals all() {
    return all;
  }
}
