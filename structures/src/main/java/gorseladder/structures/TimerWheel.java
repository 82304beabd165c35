package gorseladder.structures;

import java.util.function.Consumer;

/**
 * A hierarchical timing wheel: many timers, most of which are cancelled before they are due.
 *
 * <p>Source: G. Varghese and T. Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987), scheme 7: levels of 64
 * slots, each level's slot as wide as the whole level below. A bitmap for each level finds the next occupied slot
 * without a walk over empty ones. Scheduling and cancelling take constant time; a timer moves down at most once for
 * each level.
 *
 * <p>A timer never fires before its time and at most one tick after the first {@link #advance} at or past it. Timers
 * due in the same tick fire in the order in which their slot holds them, which is not promised. Not thread safe. Times
 * are in whatever unit the caller uses (the program: microseconds), not negative, and only go forward.
 *
 * @param <T> what a timer carries
 */
public final class TimerWheel<T> {
  private static final int BITS = 6;
  private static final int SLOTS = 1 << BITS;
  private static final int LEVELS = 8;
  private static final long MOST_TICKS = 1L << (BITS * LEVELS);

  private final long tick;
  private final Node<T>[][] slots;
  private final long[] occupied = new long[LEVELS];
  /** For each occupied slot a tick before which none of its timers is due; not raised when one is cancelled. */
  private final long[][] earliest = new long[LEVELS][SLOTS];

  private final Node<T> due = Node.head();
  private long elapsed;
  private int size;

  /** A timer that was scheduled; keep it to cancel. */
  public static final class Node<T> {
    private T value;
    private long when;
    private int level = -1;
    private int slot;
    private Node<T> before;
    private Node<T> after;

    private static <T> Node<T> head() {
      Node<T> head = new Node<>();
      head.before = head;
      head.after = head;
      return head;
    }

    private boolean linked() {
      return before != null;
    }

    private void addBefore(Node<T> head) {
      before = head.before;
      after = head;
      head.before.after = this;
      head.before = this;
    }

    private void remove() {
      before.after = after;
      after.before = before;
      before = null;
      after = null;
    }
  }

  /**
   * An empty wheel.
   *
   * @param tick the resolution, more than 0
   * @param now the present time, not negative
   */
  @SuppressWarnings({"unchecked", "rawtypes"})
  public TimerWheel(long tick, long now) {
    if (tick <= 0 || now < 0) {
      throw new IllegalArgumentException("tick must be positive and now not negative");
    }
    this.tick = tick;
    this.elapsed = now / tick;
    this.slots = new Node[LEVELS][SLOTS];
    for (Node[] level : slots) {
      for (int i = 0; i < SLOTS; i++) {
        level[i] = Node.head();
      }
    }
  }

  /** Timers that are neither fired nor cancelled. */
  public int size() {
    return size;
  }

  /** Schedules a value for a time; what lies in the past fires at the next {@link #advance}. */
  public Node<T> schedule(long at, T value) {
    Node<T> node = new Node<>();
    node.value = value;
    node.when = Math.min(at <= 0 ? 0 : (at - 1) / tick + 1, elapsed + MOST_TICKS - 1);
    place(node);
    size++;
    return node;
  }

  /** Takes a timer back; false where it fired or was cancelled before. */
  public boolean cancel(Node<T> node) {
    if (!node.linked()) {
      return false;
    }
    unlink(node);
    size--;
    return true;
  }

  private void place(Node<T> node) {
    if (node.when <= elapsed) {
      node.level = -1;
      node.addBefore(due);
      return;
    }
    long differs = (elapsed ^ node.when) | (SLOTS - 1);
    node.level = Math.min(LEVELS - 1, (63 - Long.numberOfLeadingZeros(differs)) / BITS);
    node.slot = (int) (node.when >>> (BITS * node.level)) & (SLOTS - 1);
    node.addBefore(slots[node.level][node.slot]);
    long bit = 1L << node.slot;
    boolean first = (occupied[node.level] & bit) == 0;
    earliest[node.level][node.slot] =
        first ? node.when : Math.min(earliest[node.level][node.slot], node.when);
    occupied[node.level] |= bit;
  }

  private void unlink(Node<T> node) {
    node.remove();
    if (node.level >= 0) {
      Node<T> head = slots[node.level][node.slot];
      if (head.after == head) {
        occupied[node.level] &= ~(1L << node.slot);
      }
    }
  }

  /**
   * The time at which the next timer is due, {@link Long#MAX_VALUE} where nothing is scheduled; earlier only where a
   * timer that stood before it in its slot was cancelled, never later. Timers need not be moved down before that:
   * {@link #advance} catches up.
   */
  public long nextDue() {
    if (due.after != due) {
      return elapsed * tick;
    }
    int level = lowestOccupied();
    if (level == LEVELS) {
      return Long.MAX_VALUE;
    }
    int slot = (presentSlot(level) + slotsAhead(level)) & (SLOTS - 1);
    return Math.max(earliest[level][slot], elapsed) * tick;
  }

  /** The tick at which the next occupied slot begins; lower levels always come first. */
  private long nextTick() {
    int level = lowestOccupied();
    if (level == LEVELS) {
      return Long.MAX_VALUE;
    }
    int shift = BITS * level;
    long start = ((elapsed >>> shift) + slotsAhead(level)) << shift;
    return Math.max(start, elapsed);
  }

  private int lowestOccupied() {
    int level = 0;
    while (level < LEVELS && occupied[level] == 0) {
      level++;
    }
    return level;
  }

  private int presentSlot(int level) {
    return (int) (elapsed >>> (BITS * level)) & (SLOTS - 1);
  }

  private int slotsAhead(int level) {
    return Long.numberOfTrailingZeros(Long.rotateRight(occupied[level], presentSlot(level)));
  }

  /** Fires all timers due by {@code now}; the sink may schedule and cancel. Returns how many fired. */
  public int advance(long now, Consumer<? super T> sink) {
    long target = Math.max(elapsed, now / tick);
    int fired = fireDue(sink);
    for (long next = nextTick(); next <= target; next = nextTick()) {
      elapsed = next;
      open();
      fired += fireDue(sink);
    }
    elapsed = target;
    return fired;
  }

  /** Moves what stands in the slots that begin at the present tick to where it belongs now. */
  private void open() {
    for (int level = 0; level < LEVELS; level++) {
      int slot = presentSlot(level);
      if ((occupied[level] >>> slot & 1) == 0) {
        continue;
      }
      occupied[level] &= ~(1L << slot);
      Node<T> head = slots[level][slot];
      while (head.after != head) {
        Node<T> node = head.after;
        node.remove();
        place(node);
      }
    }
  }

  private int fireDue(Consumer<? super T> sink) {
    int fired = 0;
    // Only what is due now: a sink that schedules for the past is served at the next call, not
    // in an endless loop.
    int most = size;
    while (due.after != due && fired < most) {
      Node<T> node = due.after;
      node.remove();
      size--;
      fired++;
      sink.accept(node.value);
    }
    return fired;
  }
}
