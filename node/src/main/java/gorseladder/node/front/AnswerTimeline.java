package gorseladder.node.front;

/**
 * When one request passed each step on its way to its answer, so that a late answer can be explained. Times are
 * {@link gorseladder.runtime.Clock#micros()}.
 *
 * @param arrivedAt when its last byte may have come at the earliest
 * @param readAt when it was read whole
 * @param consideredAt when the core first looked at its call; 0 where it did not
 * @param endedAt when its call got the final answer
 * @param writtenAt when that was handed to the system
 */
record AnswerTimeline(
    long arrivedAt, long readAt, long consideredAt, long endedAt, long writtenAt) {

  /** The steps with their milliseconds from the arrival. */
  @Override
  public String toString() {
    return "read +" + millis(readAt)
        + (consideredAt == 0 ? "" : ", considered +" + millis(consideredAt))
        + ", ended +" + millis(endedAt) + ", written +" + millis(writtenAt) + " ms";
  }

  private long millis(long at) {
    return (at - arrivedAt) / 1_000;
  }
}
