package gorseladder.runtime;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the total number of bytes that are buffered on behalf of peers. A budget may be a part of another one: what is
 * taken from it counts in both, so that several kinds of use have a common limit and a figure of their own. Thread
 * safe.
 */
public final class ByteBudget {
  private final long limit;
  /** The budget that this one is a part of, or null. */
  private final ByteBudget whole;

  private final AtomicLong used = new AtomicLong();

  /** Creates a budget of the given number of bytes. */
  public ByteBudget(long limit) {
    this(limit, null);
  }

  private ByteBudget(long limit, ByteBudget whole) {
    this.limit = limit;
    this.whole = whole;
  }

  /** Creates a part of this budget, of at most the given number of bytes. */
  public ByteBudget part(long partLimit) {
    return new ByteBudget(partLimit, this);
  }

  /** Takes bytes if the limit allows it; otherwise takes nothing and returns false. */
  public boolean tryTake(long bytes) {
    if (used.addAndGet(bytes) <= limit) {
      if (whole == null || whole.tryTake(bytes)) {
        return true;
      }
    }
    used.addAndGet(-bytes);
    return false;
  }

  /** Takes bytes that have to be kept, even beyond the limit; returns whether the total is within the limit. */
  public boolean forceTake(long bytes) {
    boolean within = used.addAndGet(bytes) <= limit;
    return (whole == null || whole.forceTake(bytes)) && within;
  }

  /** Gives back bytes that were taken. */
  public void giveBack(long bytes) {
    used.addAndGet(-bytes);
    if (whole != null) {
      whole.giveBack(bytes);
    }
  }

  /** Whether more is taken than the limit allows. */
  public boolean isExceeded() {
    return used() > limit;
  }

  /** Bytes that are taken at present. */
  public long used() {
    return used.get();
  }

  public long limit() {
    return limit;
  }
}
