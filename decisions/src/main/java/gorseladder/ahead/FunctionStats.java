package gorseladder.ahead;

import gorseladder.RouterApi.CopyStatus;
import java.util.HashMap;
import java.util.Map;

/**
 * Statistics of a dispatcher on each function: the resources of a copy, the duration of a call on a loaded copy and
 * that of a load. Times are microseconds, smoothed over about ten events. The number of functions is bounded. Not
 * thread safe.
 */
public final class FunctionStats {
  private static final double NEWEST_WEIGHT = 0.1;
  /** Factor by which a load time differs from the mean to be an outlier, see {@link #loaded}. */
  private static final double OUTLIER_FACTOR = 4;
  /** Snapshots without a call after which a function is removed. */
  private static final int MAX_SILENT_SNAPSHOTS = 1_000;
  /** Maximum number of functions; further ones are ignored until {@link #takeSnapshots} has removed others. */
  private static final int MAX_FUNCTIONS = 20_000;

  /**
   * The statistics of one function.
   *
   * @param calls calls since the last {@link #takeSnapshots}
   * @param memoryMb memory of a copy
   * @param lanes concurrent calls of a copy
   * @param workMicros mean duration of a call on a loaded copy; 0 if none was observed
   * @param loadMicros mean load time; 0 if none was observed
   */
  public record Snapshot(
      int calls, double memoryMb, int lanes, double workMicros, double loadMicros) {}

  private static final class Stats {
    private int calls;
    private int silentSnapshots;
    private double memoryMb;
    private int lanes;
    private double workMicros;
    private double loadMicros;
  }

  private final Map<String, Stats> functions = new HashMap<>();

  /** Records that a call was accepted. */
  public void callAccepted(String function, double memoryMb, int lanes) {
    Stats stats = functions.get(function);
    if (stats == null && functions.size() < MAX_FUNCTIONS) {
      stats = new Stats();
      functions.put(function, stats);
    }
    if (stats != null) {
      stats.calls++;
      stats.memoryMb = memoryMb;
      stats.lanes = Math.max(1, lanes);
    }
  }

  /** Records a served attempt: a warm one gives the work time, one that had to load the copy gives the load time. */
  public void served(String function, CopyStatus status, long latencyMicros) {
    Stats stats = functions.get(function);
    if (stats != null && status == CopyStatus.WARM) {
      stats.workMicros = smooth(stats.workMicros, latencyMicros);
    } else if (stats != null && status == CopyStatus.BEGAN && latencyMicros > stats.workMicros) {
      stats.loadMicros = smooth(stats.loadMicros, latencyMicros - stats.workMicros);
    }
  }

  /**
   * Records a successful load order. An order for a loaded copy is answered at once and says nothing about load times,
   * so a latency below a quarter of the mean is ignored, and one of more than four times the mean replaces it.
   */
  public void loaded(String function, long latencyMicros) {
    Stats stats = functions.get(function);
    if (stats != null && latencyMicros * OUTLIER_FACTOR > stats.loadMicros) {
      stats.loadMicros = latencyMicros > OUTLIER_FACTOR * stats.loadMicros
          ? latencyMicros
          : smooth(stats.loadMicros, latencyMicros);
    }
  }

  private static double smooth(double previous, double observed) {
    return previous <= 0 ? observed : previous + NEWEST_WEIGHT * (observed - previous);
  }

  /** Returns the functions called since the last snapshot and removes those not called for a long time. */
  public Map<String, Snapshot> takeSnapshots() {
    Map<String, Snapshot> snapshots = new HashMap<>();
    functions
        .values()
        .removeIf(stats -> stats.calls == 0 && ++stats.silentSnapshots >= MAX_SILENT_SNAPSHOTS);
    functions.forEach((name, stats) -> {
      if (stats.calls > 0) {
        snapshots.put(
            name,
            new Snapshot(
                stats.calls, stats.memoryMb, stats.lanes, stats.workMicros, stats.loadMicros));
        stats.calls = 0;
        stats.silentSnapshots = 0;
      }
    });
    return snapshots;
  }

  /** Adds the calls of snapshots that could not be sent, so that they count in the next ones. */
  public void restoreCalls(Map<String, Snapshot> snapshots) {
    snapshots.forEach((name, snapshot) -> {
      Stats stats = functions.get(name);
      if (stats != null) {
        stats.calls += snapshot.calls();
      }
    });
  }
}
