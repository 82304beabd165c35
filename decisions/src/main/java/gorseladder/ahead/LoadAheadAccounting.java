package gorseladder.ahead;

import gorseladder.RouterApi.CopyStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What each load ahead cost and what it saved, from what really happened. A record opens when the copy stands and
 * closes when it was used and the time of a load has passed since, or when nobody used it until its keep-alive ended.
 *
 * <p>Saved is counted strictly. The first call that found the copy is spared one load, as loads of that function have
 * taken; calls that came within that time are spared what would have been left of it. A later call is spared a load
 * where so much time passed since the last known use that the copy would have aged out; what lies between is counted as
 * found anyway. A record that nobody used saved nothing and is waste. What a load pushed out is charged to it: a call
 * that began a load at a worker where its function had stood within the keep-alive, after a copy was loaded ahead
 * there. Where several such copies may have done it, the last is charged. That errs against loading ahead: copies also
 * age out.
 *
 * <p>Not thread safe. Times are microseconds on one clock.
 */
public final class LoadAheadAccounting {
  /**
   * Keep-alives without a known use after which a copy would surely have aged out; uses elsewhere are told that late at
   * most.
   */
  private static final double SURELY_AGED = 1.5;
  /** Copies remembered as standing, at the most. */
  private static final int MOST_STANDING = 50_000;

  /**
   * A closed record.
   *
   * @param loadMicros the load's time, fetch and start; the worker's cores were partly occupied for some of it
   * @param megabyteSeconds held beyond what calls would have held anyway: before the first call, in long gaps, or until
   *     given up
   * @param found calls that were spared some waiting; 0 is waste
   * @param savedMicros waiting spared to them
   * @param pushedOut calls that had to load what this copy pushed out, and {@code pushedMicros} the loads' time
   */
  public record Entry(
      String worker,
      String function,
      long orderedAt,
      long loadMicros,
      double megabyteSeconds,
      int renewals,
      int found,
      long savedMicros,
      int evictions,
      long evictedLoadMicros) {}

  private record At(String worker, String function) {}

  private static final class Open {
    private long orderedAt;
    private long standsAt;
    private long loadMicros;
    private double memoryMb;
    private long until;
    private long holdEnds;
    private int renewals;
    private long sparedFrom;
    private long lastUse;
    private long idle;
    private int found;
    private long saved;
    private int pushedOut;
    private long pushed;
  }

  private final long keepAlive;
  private final Map<At, Open> open = new LinkedHashMap<>();
  private final Map<At, Long> standing = new LinkedHashMap<>(16, 0.75f, true) {
    @Override
    protected boolean removeEldestEntry(Map.Entry<At, Long> eldest) {
      return size() > MOST_STANDING;
    }
  };
  private final Map<String, Long> loadTimes = new HashMap<>();
  private final List<Entry> closed = new ArrayList<>();

  /** An account where idle copies stay for so many microseconds. */
  public LoadAheadAccounting(long keepAlive) {
    this.keepAlive = keepAlive;
  }

  /** A load ahead ended well; one at a place where a record is open renews it. */
  public void loaded(
      String worker,
      String function,
      long orderedAt,
      long loadMicros,
      double memoryMb,
      long holdEnds,
      long now) {
    Open known = open.get(new At(worker, function));
    if (known != null) {
      known.renewals++;
      known.until = now + keepAlive;
      known.holdEnds = holdEnds;
      return;
    }
    Long lastUse = standing.get(new At(worker, function));
    if (lastUse != null
        && now - lastUse < keepAlive
        && loadMicros * 4 < loadTime(function, loadMicros)) {
      return;
    }
    Open o = new Open();
    o.orderedAt = orderedAt;
    o.standsAt = now;
    o.loadMicros = loadMicros;
    o.memoryMb = memoryMb;
    o.until = now + keepAlive;
    o.holdEnds = holdEnds;
    open.put(new At(worker, function), o);
    loadTimes.merge(function, loadMicros, (a, b) -> (a + b) / 2);
  }

  private long loadTime(String function, long otherwise) {
    return loadTimes.getOrDefault(function, otherwise);
  }

  /** A served attempt and what it met there. */
  public void served(String worker, String function, CopyStatus note, long now) {
    At at = new At(worker, function);
    Open o = open.get(at);
    if (note == CopyStatus.WARM && o != null) {
      used(o, function, now);
    } else if (note == CopyStatus.BEGAN) {
      Long stood = standing.get(at);
      if (o != null) {
        close(at, o, now);
        open.remove(at);
      } else if (stood != null && now - stood < keepAlive) {
        pushedOut(worker, function, stood);
      }
    }
    standing.put(at, now);
  }

  /** Another dispatcher's call found a copy that was ordered here. */
  void foundElsewhere(String worker, String function, long now) {
    Open o = open.get(new At(worker, function));
    if (o != null) {
      used(o, function, now);
    }
  }

  private void used(Open o, String function, long now) {
    long load = loadTime(function, o.loadMicros);
    long gap = now - o.lastUse;
    if (o.found == 0 || gap > SURELY_AGED * keepAlive) {
      o.idle += o.found == 0 ? now - o.orderedAt : gap - keepAlive;
      o.sparedFrom = now;
    }
    if (now - o.sparedFrom < load) {
      o.found++;
      o.saved += load - (now - o.sparedFrom);
    }
    o.lastUse = now;
    o.until = Math.max(o.until, now + keepAlive);
  }

  private void pushedOut(String worker, String function, long stood) {
    Open last = null;
    for (Map.Entry<At, Open> e : open.entrySet()) {
      last =
          e.getKey().worker().equals(worker) && e.getValue().standsAt > stood ? e.getValue() : last;
    }
    if (last != null) {
      last.pushedOut++;
      last.pushed += loadTime(function, last.loadMicros);
    }
  }

  /** Closes what is over by now. */
  public void closeExpired(long now) {
    for (Iterator<Map.Entry<At, Open>> all = open.entrySet().iterator(); all.hasNext(); ) {
      Map.Entry<At, Open> e = all.next();
      Open o = e.getValue();
      if (now >= o.until || o.found > 0 && now >= o.holdEnds) {
        close(e.getKey(), o, now);
        all.remove();
      }
    }
  }

  private void close(At at, Open o, long now) {
    long end = Math.min(now, o.until);
    long held =
        o.found == 0 ? end - o.orderedAt : o.idle + Math.max(0, end - o.lastUse - keepAlive);
    closed.add(new Entry(
        at.worker(),
        at.function(),
        o.orderedAt,
        o.loadMicros,
        o.memoryMb * Math.max(0, held) / 1e6,
        o.renewals,
        o.found,
        o.saved,
        o.pushedOut,
        o.pushed));
  }

  /** When the copy loaded ahead there was last known to be used; 0 where it was not, or there is none. */
  long lastUse(String worker, String function) {
    Open o = open.get(new At(worker, function));
    return o == null ? 0 : o.lastUse;
  }

  /** Hands over the records closed since the last call. */
  public List<Entry> takeClosed() {
    List<Entry> taken = List.copyOf(closed);
    closed.clear();
    return taken;
  }

  /** Records still open. */
  public int openCount() {
    return open.size();
  }
}
