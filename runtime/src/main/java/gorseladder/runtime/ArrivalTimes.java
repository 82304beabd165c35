package gorseladder.runtime;

import java.util.function.LongUnaryOperator;

/**
 * Estimates the earliest time at which the bytes read from a connection may have arrived, from the number of unread
 * bytes before each read.
 *
 * <p>Bytes may lie unread while the thread of the connection processes earlier ones, has no processor, or does not read
 * yet. If they counted as new when they are read, a request would get more time than its client has left. Bytes found
 * unread arrived after the last check that did not find them; bytes that the read waited for arrived when the read
 * ended, or during a stall of the process just before. A client that permanently sends faster than it is read has its
 * requests counted from the check before the last one.
 *
 * <p>Used by the connection's thread, but for {@link #processedUpTo}. Times are in microseconds.
 */
public final class ArrivalTimes {
  private final LongUnaryOperator earliestArrivalFor;
  /** The earliest arrival of the bytes that are read now. */
  private long earliest;
  /** Bytes beyond {@link #markedUpTo} arrived after this time. */
  private long markedAt;
  /** Total bytes that had arrived by the last mark. */
  private long markedUpTo;

  private long bytesRead;
  private long readAt;
  private boolean unreadBefore;
  private volatile long processedUpTo;

  /**
   * Starts with a connection from which nothing was read.
   *
   * @param earliestArrivalFor maps the time of a read to the earliest arrival of what it returned
   * @param waitedSince since when bytes may have been unread
   */
  public ArrivalTimes(LongUnaryOperator earliestArrivalFor, long waitedSince) {
    this.earliestArrivalFor = earliestArrivalFor;
    this.markedAt = waitedSince;
    this.earliest = waitedSince;
    this.processedUpTo = waitedSince;
  }

  /** Called before a read with the number of unread bytes. */
  public void beforeRead(int unread, long now) {
    unreadBefore = unread > 0;
    if (!unreadBefore) {
      processedUpTo = now;
    } else if (bytesRead >= markedUpTo) {
      processedUpTo = markedAt;
      earliest = markedAt;
      markedAt = now;
      markedUpTo = bytesRead + unread;
    }
  }

  /** Called after a read with the number of bytes it returned. */
  public void afterRead(int count, long now) {
    readAt = now;
    bytesRead += count;
    if (!unreadBefore) {
      earliest = earliestArrivalFor.applyAsLong(now);
      markedAt = earliest;
      markedUpTo = bytesRead;
    }
  }

  /**
   * Called when a read was begun or continued without waiting for the peer. The thread may have waited for something
   * else since {@link #beforeRead}: what arrived meanwhile counts from before that wait.
   */
  public void readMore(int count, long now) {
    readAt = now;
    bytesRead += Math.max(0, count);
    if (!unreadBefore) {
      markedUpTo = bytesRead;
    }
  }

  /** The earliest time at which the bytes of the last read may have arrived. */
  public long earliestArrival() {
    return Math.min(earliest, earliestArrivalFor.applyAsLong(readAt));
  }

  /** Until when everything that arrived is read and processed; may be called by any thread. */
  public long processedUpTo() {
    return processedUpTo;
  }

  /** When the last read ended. */
  public long readAt() {
    return readAt;
  }
}
