package gorseladder.runtime;

import java.util.function.LongUnaryOperator;

/**
 * Tells when bytes of one connection that are read now may have come at the earliest, from what its reader found unread
 * before each read.
 *
 * <p>Guards against bytes that lie unread while the connection's thread is busy with what came before, has no
 * processor, or does not read yet: taken as new when they are read at last, they gave a request more time than its
 * client has left. What is found unread came after the last look that did not find it; what is waited for came when the
 * read ended, or in a pause of the process just before. It could harm a client that sends without an end and faster
 * than it is read: its requests count from the look before last.
 *
 * <p>Not thread safe: the connection's thread. Times are microseconds.
 */
public final class ArrivalTimes {
  private final LongUnaryOperator earliestArrivalFor;
  /** The earliest time for bytes that are read now. */
  private long earliest;
  /** What is read past {@link #markedUpTo} came after this time. */
  private long markedAt;
  /** Bytes that had come by the last mark, counted from the connection's beginning. */
  private long markedUpTo;

  private long bytesRead;
  private long readAt;
  private boolean unreadBefore;

  /**
   * A connection of which nothing was read.
   *
   * @param cameAt the earliest time at which something may have come that a read returned just then
   * @param waitedSince since when its bytes may have lain unread
   */
  public ArrivalTimes(LongUnaryOperator earliestArrivalFor, long waitedSince) {
    this.earliestArrivalFor = earliestArrivalFor;
    this.markedAt = waitedSince;
    this.earliest = waitedSince;
  }

  /** A read is about to begin; so many bytes are found unread. */
  public void beforeRead(int unread, long now) {
    unreadBefore = unread > 0;
    if (unreadBefore && bytesRead >= markedUpTo) {
      earliest = markedAt;
      markedAt = now;
      markedUpTo = bytesRead + unread;
    }
  }

  /** The read has ended with so many bytes. */
  public void afterRead(int count, long now) {
    readAt = now;
    bytesRead += count;
    if (!unreadBefore) {
      earliest = earliestArrivalFor.applyAsLong(now);
      markedAt = earliest;
      markedUpTo = bytesRead;
    }
  }

  /** More was read at once, without a wait. */
  public void readMore(int count) {
    bytesRead += Math.max(0, count);
    if (!unreadBefore) {
      markedUpTo = bytesRead;
    }
  }

  /** The earliest time at which what was read last may have come. */
  public long earliestArrival() {
    return Math.min(earliest, earliestArrivalFor.applyAsLong(readAt));
  }

  /** When the last read ended. */
  public long readAt() {
    return readAt;
  }
}
