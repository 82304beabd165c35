package gorseladder.ahead;

import gorseladder.RouterApi.CopyStatus;
import java.util.HashMap;
import java.util.Map;

/**
 * What a dispatcher saw of each function: what a copy needs, how long a call takes at a copy that stands, how long a
 * load takes. Means forget within about ten events. Bounded; not thread safe. Times in microseconds.
 */
public final class FunctionStats {
  private static final double NEWEST = 0.1;
  private static final double AWAY = 4;
  /** Takes without a call after which a function is forgotten. */
  private static final int MOST_SILENT = 1_000;
  /** Functions remembered; beyond them a new one is not, until {@link #takeSnapshots} made room. */
  private static final int MOST = 20_000;

  /** One function's figures; times are 0 where not seen. {@code calls} are those since the last {@link #takeSnapshots}. */
  public record Snapshot(
      int calls, double memoryMb, int lanes, double workMicros, double loadMicros) {}

  private static final class Figures {
    private int calls;
    private int silent;
    private double memoryMb;
    private int lanes;
    private double work;
    private double load;
  }

  private final Map<String, Figures> all = new HashMap<>();

  /** A call was taken. */
  public void callAccepted(String function, double memoryMb, int lanes) {
    Figures f = all.get(function);
    if (f == null && all.size() < MOST) {
      f = new Figures();
      all.put(function, f);
    }
    if (f != null) {
      f.calls++;
      f.memoryMb = memoryMb;
      f.lanes = Math.max(1, lanes);
    }
  }

  /** A served attempt: at a copy that stood it shows the work, at one that had to load the load. */
  public void served(String function, CopyStatus note, long latency) {
    Figures f = all.get(function);
    if (f != null && note == CopyStatus.WARM) {
      f.work = mix(f.work, latency);
    } else if (f != null && note == CopyStatus.BEGAN && latency > f.work) {
      f.load = mix(f.load, latency - f.work);
    }
  }

  /**
   * A load order ended well. One that found the copy standing is answered at once and shows nothing: what took less
   * than a quarter of what loads take is passed over, and what took more than four times replaces it.
   */
  public void loaded(String function, long latency) {
    Figures f = all.get(function);
    if (f != null && latency * AWAY > f.load) {
      f.load = latency > AWAY * f.load ? latency : mix(f.load, latency);
    }
  }

  private static double mix(double before, double seen) {
    return before <= 0 ? seen : before + NEWEST * (seen - before);
  }

  /** The functions called since the last time; those long not called are forgotten. */
  public Map<String, Snapshot> takeSnapshots() {
    Map<String, Snapshot> taken = new HashMap<>();
    all.values().removeIf(f -> f.calls == 0 && ++f.silent >= MOST_SILENT);
    all.forEach((name, f) -> {
      if (f.calls > 0) {
        taken.put(name, new Snapshot(f.calls, f.memoryMb, f.lanes, f.work, f.load));
        f.calls = 0;
        f.silent = 0;
      }
    });
    return taken;
  }

  /** Counts again what was taken and could not be told. */
  public void restoreCalls(Map<String, Snapshot> taken) {
    taken.forEach((name, of) -> {
      Figures f = all.get(name);
      if (f != null) {
        f.calls += of.calls();
      }
    });
  }
}
