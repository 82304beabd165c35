package gorseladder.ahead;

import gorseladder.RouterApi.CopyStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the actual cost and saving of each load ahead. A record is opened when the copy is loaded. It is closed when
 * the copy has been used and its hold has ended, when its keep-alive has ended, or when a call had to load the function
 * again.
 *
 * <p>Savings are counted conservatively. The first call that finds the copy saves one load of the function's typical
 * duration; calls within that time save the rest of it. A later call saves a load if so much time has passed since the
 * last known use that the copy would have aged out; the calls between would have found a copy anyway and save nothing.
 * An unused copy saves nothing and is waste. Evictions are charged to the load ahead that caused them: a call that had
 * to load its function on a worker that had served it within the keep-alive, after a copy was loaded ahead there. If
 * several copies may be the cause, the latest is charged. The charge is pessimistic, because copies also age out.
 *
 * <p>Not thread safe. Times are microseconds on one clock.
 */
public final class LoadAheadAccounting {
  /**
   * Keep-alives without a known use after which a copy would certainly have aged out; uses by other dispatchers are
   * reported no later than that.
   */
  private static final double AGED_OUT_KEEP_ALIVES = 1.5;
  /** Maximum number of copies whose last served attempt is kept. */
  private static final int MAX_TRACKED_COPIES = 50_000;

  /**
   * A closed record.
   *
   * @param orderedAt time of the load order
   * @param loadMicros duration of the load, fetch and start; it partly occupied the worker's cores for some of that
   *     time
   * @param megabyteSeconds memory held beyond what calls would have held anyway: before the first call, in long gaps,
   *     or until the hold was given up
   * @param renewals orders that renewed the hold
   * @param found calls that waited less because of the copy; if 0, the load was wasted
   * @param savedMicros waiting time saved by these calls
   * @param evictions calls that had to load a function that this copy evicted
   * @param evictedLoadMicros total time of those loads
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

  private record CopyKey(String worker, String function) {}

  private static final class OpenRecord {
    private long orderedAt;
    private long loadedAt;
    private long loadMicros;
    private double memoryMb;
    private long expiresAt;
    private long holdEnds;
    private int renewals;
    private long savingSince;
    private long lastUse;
    private long extraHeldMicros;
    private int found;
    private long savedMicros;
    private int evictions;
    private long evictedLoadMicros;
  }

  private final long keepAliveMicros;
  private final Map<CopyKey, OpenRecord> openRecords = new LinkedHashMap<>();
  private final Map<CopyKey, Long> lastServedAt = new LinkedHashMap<>(16, 0.75f, true) {
    @Override
    protected boolean removeEldestEntry(Map.Entry<CopyKey, Long> eldest) {
      return size() > MAX_TRACKED_COPIES;
    }
  };
  private final Map<String, Long> loadMicrosByFunction = new HashMap<>();
  private final List<Entry> closedEntries = new ArrayList<>();

  /**
   * Creates an accounting without records.
   *
   * @param keepAliveMicros time after which an idle copy is unloaded
   */
  public LoadAheadAccounting(long keepAliveMicros) {
    this.keepAliveMicros = keepAliveMicros;
  }

  /** Records a successful load ahead; if the copy has an open record, the load renews it. */
  public void loaded(
      String worker,
      String function,
      long orderedAt,
      long loadMicros,
      double memoryMb,
      long holdEnds,
      long now) {
    OpenRecord existing = openRecords.get(new CopyKey(worker, function));
    if (existing != null) {
      existing.renewals++;
      existing.expiresAt = now + keepAliveMicros;
      existing.holdEnds = holdEnds;
      return;
    }
    // An order for a copy that calls had loaded already is answered at once; it loads nothing
    // ahead.
    Long lastUse = lastServedAt.get(new CopyKey(worker, function));
    if (lastUse != null
        && now - lastUse < keepAliveMicros
        && loadMicros * 4 < typicalLoadMicros(function, loadMicros)) {
      return;
    }
    OpenRecord record = new OpenRecord();
    record.orderedAt = orderedAt;
    record.loadedAt = now;
    record.loadMicros = loadMicros;
    record.memoryMb = memoryMb;
    record.expiresAt = now + keepAliveMicros;
    record.holdEnds = holdEnds;
    openRecords.put(new CopyKey(worker, function), record);
    loadMicrosByFunction.merge(function, loadMicros, (a, b) -> (a + b) / 2);
  }

  private long typicalLoadMicros(String function, long defaultMicros) {
    return loadMicrosByFunction.getOrDefault(function, defaultMicros);
  }

  /** Records a served attempt and the state of the copy that it found. */
  public void served(String worker, String function, CopyStatus status, long now) {
    CopyKey key = new CopyKey(worker, function);
    OpenRecord record = openRecords.get(key);
    if (status == CopyStatus.WARM && record != null) {
      recordUse(record, function, now);
    } else if (status == CopyStatus.BEGAN) {
      Long servedAt = lastServedAt.get(key);
      if (record != null) {
        close(key, record, now);
        openRecords.remove(key);
      } else if (servedAt != null && now - servedAt < keepAliveMicros) {
        chargeEviction(worker, function, servedAt);
      }
    }
    lastServedAt.put(key, now);
  }

  /** Records that a call of another dispatcher found a copy ordered by this one. */
  void foundElsewhere(String worker, String function, long now) {
    OpenRecord record = openRecords.get(new CopyKey(worker, function));
    if (record != null) {
      recordUse(record, function, now);
    }
  }

  private void recordUse(OpenRecord record, String function, long now) {
    long loadTimeMicros = typicalLoadMicros(function, record.loadMicros);
    long unusedMicros = now - record.lastUse;
    if (record.found == 0 || unusedMicros > AGED_OUT_KEEP_ALIVES * keepAliveMicros) {
      record.extraHeldMicros +=
          record.found == 0 ? now - record.orderedAt : unusedMicros - keepAliveMicros;
      record.savingSince = now;
    }
    if (now - record.savingSince < loadTimeMicros) {
      record.found++;
      record.savedMicros += loadTimeMicros - (now - record.savingSince);
    }
    record.lastUse = now;
    record.expiresAt = Math.max(record.expiresAt, now + keepAliveMicros);
  }

  private void chargeEviction(String worker, String function, long servedAt) {
    OpenRecord latest = null;
    for (Map.Entry<CopyKey, OpenRecord> entry : openRecords.entrySet()) {
      latest = entry.getKey().worker().equals(worker) && entry.getValue().loadedAt > servedAt
          ? entry.getValue()
          : latest;
    }
    if (latest != null) {
      latest.evictions++;
      latest.evictedLoadMicros += typicalLoadMicros(function, latest.loadMicros);
    }
  }

  /** Closes the records whose hold or keep-alive has ended. */
  public void closeExpired(long now) {
    for (Iterator<Map.Entry<CopyKey, OpenRecord>> iterator =
            openRecords.entrySet().iterator();
        iterator.hasNext(); ) {
      Map.Entry<CopyKey, OpenRecord> entry = iterator.next();
      OpenRecord record = entry.getValue();
      if (now >= record.expiresAt || record.found > 0 && now >= record.holdEnds) {
        close(entry.getKey(), record, now);
        iterator.remove();
      }
    }
  }

  private void close(CopyKey key, OpenRecord record, long now) {
    long endedAt = Math.min(now, record.expiresAt);
    long heldMicros = record.found == 0
        ? endedAt - record.orderedAt
        : record.extraHeldMicros + Math.max(0, endedAt - record.lastUse - keepAliveMicros);
    closedEntries.add(new Entry(
        key.worker(),
        key.function(),
        record.orderedAt,
        record.loadMicros,
        record.memoryMb * Math.max(0, heldMicros) / 1e6,
        record.renewals,
        record.found,
        record.savedMicros,
        record.evictions,
        record.evictedLoadMicros));
  }

  /** Time of the last known use of a copy loaded ahead; 0 if it was not used or there is none. */
  long lastUse(String worker, String function) {
    OpenRecord record = openRecords.get(new CopyKey(worker, function));
    return record == null ? 0 : record.lastUse;
  }

  /** Returns and removes the records closed since the last call. */
  public List<Entry> takeClosed() {
    List<Entry> taken = List.copyOf(closedEntries);
    closedEntries.clear();
    return taken;
  }

  /** Number of open records. */
  public int openCount() {
    return openRecords.size();
  }
}
