package gorseladder.runtime;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total number of bytes that are buffered on behalf of peers. Thread safe. */
public final class ByteBudget {
  private final long limit;
  private final AtomicLong used = new AtomicLong();

  /** Creates a budget of the given number of bytes. */
  public ByteBudget(long limit) {
    this.limit = limit;
  }

  /** Takes bytes if the limit allows it; otherwise takes nothing and returns false. */
  public boolean tryTake(long bytes) {
    if (used.addAndGet(bytes) <= limit) {
      return true;
    }
    used.addAndGet(-bytes);
    return false;
  }

  /** Takes bytes that have to be kept, even beyond the limit; returns whether the total is within the limit. */
  public boolean forceTake(long bytes) {
    return used.addAndGet(bytes) <= limit;
  }

  /** Gives back bytes that were taken. */
  public void giveBack(long bytes) {
    used.addAndGet(-bytes);
  }

  /** Bytes that are taken at present. */
  public long used() {
    return used.get();
  }

  public long limit() {
    return limit;
  }
}
