package gorseladder.runtime;

import java.util.concurrent.atomic.AtomicLong;

/** Counts bytes that others have this process keep, against one bound for all of them. Any thread. */
public final class ByteBudget {
  private final long limit;
  private final AtomicLong used = new AtomicLong();

  /** A budget of so many bytes. */
  public ByteBudget(long limit) {
    this.limit = limit;
  }

  /** Takes so many bytes where the bound allows it; false where it does not, and then nothing is taken. */
  public boolean tryTake(long bytes) {
    if (used.addAndGet(bytes) <= limit) {
      return true;
    }
    used.addAndGet(-bytes);
    return false;
  }

  /** Takes bytes that have to be kept, even past the bound; true where it still holds. */
  public boolean take(long bytes) {
    return used.addAndGet(bytes) <= limit;
  }

  /** Gives back bytes that were taken. */
  public void giveBack(long bytes) {
    used.addAndGet(-bytes);
  }

  /** Bytes taken at present. */
  public long used() {
    return used.get();
  }

  /** The bound. */
  public long limit() {
    return limit;
  }
}
