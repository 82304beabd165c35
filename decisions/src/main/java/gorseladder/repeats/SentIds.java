package gorseladder.repeats;

/**
 * The ids of the latest calls that may have run, with the time at which each was sent first, for a process without a
 * ledger. An id that comes again after its client has left, or has its answer, is not run again as if it were new.
 *
 * <p>Holds a fixed number of ids in flat arrays, 24 bytes each; beyond it the oldest are forgotten. {@link #mayForget}
 * tells whether that would forget ids that are still needed. Free of clocks and threads; not thread safe. Times are
 * microseconds above 0.
 */
public final class SentIds {
  /** How long an id is kept at least: longer than clients wait for an answer, and come again after it. */
  public static final long MIN_KEPT_MICROS = 10_000_000;

  private final long[] ids;
  private final long[] times;
  /** Positions in the arrays plus 1, by the hash of their ids, with linear probing; 0 for none. */
  private final int[] table;

  private int oldest;
  private int size;

  /** Creates a memory of at most the given number of ids. */
  public SentIds(int capacity) {
    ids = new long[capacity];
    times = new long[capacity];
    table = new int[Integer.highestOneBit(Math.max(1, capacity)) * 4];
  }

  private int slotOf(long id) {
    long hash = id * 0x9E3779B97F4A7C15L;
    return (int) (hash >>> 32) & table.length - 1;
  }

  /** The slot that holds the id, or the empty one where its search ends. */
  private int find(long id) {
    int slot = slotOf(id);
    while (table[slot] != 0 && ids[table[slot] - 1] != id) {
      slot = slot + 1 & table.length - 1;
    }
    return slot;
  }

  /** When the call with this id was sent first; 0 if it is not known. */
  public long sentAt(long id) {
    int entry = table[find(id)];
    return entry == 0 ? 0 : times[entry - 1];
  }

  /** Adds the id of a call that was sent at the given time; the first time of an id is kept. */
  public void add(long id, long sentAt) {
    if (sentAt(id) != 0) {
      return;
    }
    if (size == ids.length) {
      forgetOldest();
    }
    int position = (oldest + size) % ids.length;
    ids[position] = id;
    times[position] = sentAt;
    table[find(id)] = position + 1;
    size++;
  }

  private void forgetOldest() {
    int slot = find(ids[oldest]);
    oldest = (oldest + 1) % ids.length;
    size--;
    table[slot] = 0;
    // Entries that were put behind the removed one move up, so that no search ends too early.
    int empty = slot;
    for (int next = slot + 1 & table.length - 1;
        table[next] != 0;
        next = next + 1 & table.length - 1) {
      int home = slotOf(ids[table[next] - 1]);
      boolean reachable =
          empty <= next ? home > empty && home <= next : home > empty || home <= next;
      if (!reachable) {
        table[empty] = table[next];
        table[next] = 0;
        empty = next;
      }
    }
  }

  /** Whether a further id can be added without forgetting one that is younger than {@link #MIN_KEPT_MICROS}. */
  public boolean mayForget(long now) {
    return size < ids.length || now - times[oldest] >= MIN_KEPT_MICROS;
  }
}
