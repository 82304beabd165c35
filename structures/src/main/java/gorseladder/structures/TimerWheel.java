package gorseladder.structures;

import java.util.function.Consumer;

/**
 * A hierarchical timing wheel: many timers, most of which are cancelled before they are due.
 *
 * <p>Source: G. Varghese and T. Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987), scheme 7: levels of 64
 * slots, each level's slot as wide as the whole level below. A bitmap for each level finds the next occupied slot
 * without a scan of empty ones. Scheduling and cancelling take constant time; a timer moves down at most once for
 * each level.
 *
 * <p>A timer never fires before its time and at most one tick after the first {@link #advance} at or past it. The order
 * of timers due in the same tick is unspecified. Not thread-safe. Times are non-negative, never decrease and have the
 * caller's unit (microseconds in this program).
 *
 * @param <T> type of a timer's value
 */
public final class TimerWheel<T> {
  private static final int BITS_PER_LEVEL = 6;
  private static final int SLOTS_PER_LEVEL = 1 << BITS_PER_LEVEL;
  private static final int LEVELS = 8;
  private static final long MAX_TICKS = 1L << (BITS_PER_LEVEL * LEVELS);

  private final long tickLength;
  private final Node<T>[][] slots;
  private final long[] occupied = new long[LEVELS];
  /** Lower bound in ticks for the due times of each occupied slot; a cancellation does not raise it. */
  private final long[][] earliest = new long[LEVELS][SLOTS_PER_LEVEL];

  private final Node<T> due = Node.head();
  private long currentTick;
  private int size;

  /** A scheduled timer, needed to cancel it. */
  public static final class Node<T> {
    private T value;
    private long dueTick;
    private int level = -1;
    private int slot;
    private Node<T> previous;
    private Node<T> next;

    private static <T> Node<T> head() {
      Node<T> head = new Node<>();
      head.previous = head;
      head.next = head;
      return head;
    }

    private boolean linked() {
      return previous != null;
    }

    private void addBefore(Node<T> head) {
      previous = head.previous;
      next = head;
      head.previous.next = this;
      head.previous = this;
    }

    private void remove() {
      previous.next = next;
      next.previous = previous;
      previous = null;
      next = null;
    }
  }

  /**
   * Creates an empty wheel.
   *
   * @param tick resolution, more than 0
   * @param now current time, not negative
   */
  @SuppressWarnings({"unchecked", "rawtypes"})
  public TimerWheel(long tick, long now) {
    if (tick <= 0 || now < 0) {
      throw new IllegalArgumentException("tick must be positive and now not negative");
    }
    this.tickLength = tick;
    this.currentTick = now / tick;
    this.slots = new Node[LEVELS][SLOTS_PER_LEVEL];
    for (Node[] level : slots) {
      for (int i = 0; i < SLOTS_PER_LEVEL; i++) {
        level[i] = Node.head();
      }
    }
  }

  /** Number of pending timers. */
  public int size() {
    return size;
  }

  /** Schedules a value for a time; a time in the past fires at the next {@link #advance}. */
  public Node<T> schedule(long at, T value) {
    Node<T> node = new Node<>();
    node.value = value;
    node.dueTick = Math.min(at <= 0 ? 0 : (at - 1) / tickLength + 1, currentTick + MAX_TICKS - 1);
    insert(node);
    size++;
    return node;
  }

  /** Cancels a timer; false if it has fired or was cancelled before. */
  public boolean cancel(Node<T> node) {
    if (!node.linked()) {
      return false;
    }
    unlink(node);
    size--;
    return true;
  }

  private void insert(Node<T> node) {
    if (node.dueTick <= currentTick) {
      node.level = -1;
      node.addBefore(due);
      return;
    }
    long differingBits = (currentTick ^ node.dueTick) | (SLOTS_PER_LEVEL - 1);
    node.level =
        Math.min(LEVELS - 1, (63 - Long.numberOfLeadingZeros(differingBits)) / BITS_PER_LEVEL);
    node.slot = (int) (node.dueTick >>> (BITS_PER_LEVEL * node.level)) & (SLOTS_PER_LEVEL - 1);
    node.addBefore(slots[node.level][node.slot]);
    long bit = 1L << node.slot;
    boolean first = (occupied[node.level] & bit) == 0;
    earliest[node.level][node.slot] =
        first ? node.dueTick : Math.min(earliest[node.level][node.slot], node.dueTick);
    occupied[node.level] |= bit;
  }

  private void unlink(Node<T> node) {
    node.remove();
    if (node.level >= 0) {
      Node<T> head = slots[node.level][node.slot];
      if (head.next == head) {
        occupied[node.level] &= ~(1L << node.slot);
      }
    }
  }

  /**
   * Returns the time at which the next timer is due, {@link Long#MAX_VALUE} if there is none. The result may be too
   * early after the cancellation of an earlier timer in the same slot, but never too late. The caller need not advance
   * the wheel before that time: {@link #advance} catches up.
   */
  public long nextDue() {
    if (due.next != due) {
      return currentTick * tickLength;
    }
    int level = lowestOccupied();
    if (level == LEVELS) {
      return Long.MAX_VALUE;
    }
    int slot = (currentSlot(level) + slotsAhead(level)) & (SLOTS_PER_LEVEL - 1);
    return Math.max(earliest[level][slot], currentTick) * tickLength;
  }

  /** Returns the first tick of the next occupied slot; slots of lower levels always come first. */
  private long nextTick() {
    int level = lowestOccupied();
    if (level == LEVELS) {
      return Long.MAX_VALUE;
    }
    int shift = BITS_PER_LEVEL * level;
    long start = ((currentTick >>> shift) + slotsAhead(level)) << shift;
    return Math.max(start, currentTick);
  }

  private int lowestOccupied() {
    int level = 0;
    while (level < LEVELS && occupied[level] == 0) {
      level++;
    }
    return level;
  }

  private int currentSlot(int level) {
    return (int) (currentTick >>> (BITS_PER_LEVEL * level)) & (SLOTS_PER_LEVEL - 1);
  }

  private int slotsAhead(int level) {
    return Long.numberOfTrailingZeros(Long.rotateRight(occupied[level], currentSlot(level)));
  }

  /**
   * Fires all timers due by {@code now}.
   *
   * @param sink receives the values; may schedule and cancel timers
   * @return number of timers fired
   */
  public int advance(long now, Consumer<? super T> sink) {
    long target = Math.max(currentTick, now / tickLength);
    int fired = fireDue(sink);
    for (long next = nextTick(); next <= target; next = nextTick()) {
      currentTick = next;
      cascade();
      fired += fireDue(sink);
    }
    currentTick = target;
    return fired;
  }

  /** Moves the timers of all slots that start at the current tick to lower levels or the due list. */
  private void cascade() {
    for (int level = 0; level < LEVELS; level++) {
      int slot = currentSlot(level);
      if ((occupied[level] >>> slot & 1) == 0) {
        continue;
      }
      occupied[level] &= ~(1L << slot);
      Node<T> head = slots[level][slot];
      while (head.next != head) {
        Node<T> node = head.next;
        node.remove();
        insert(node);
      }
    }
  }

  private int fireDue(Consumer<? super T> sink) {
    int fired = 0;
    // Limits the loop to timers pending now: timers that the sink schedules for the past fire at
    // the next call instead of looping forever.
    int limit = size;
    while (due.next != due && fired < limit) {
      Node<T> node = due.next;
      node.remove();
      size--;
      fired++;
      sink.accept(node.value);
    }
    return fired;
  }
}
