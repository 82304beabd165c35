package gorseladder.node.front;

/**
 * When a request passed each step on its way to its answer, to explain a late answer. Times are {@link
 * gorseladder.runtime.Clock#micros()}.
 *
 * @param arrivedAt the earliest time at which its last byte may have arrived
 * @param readAt when it was read completely
 * @param consideredAt when the core first considered its call; 0 if it did not
 * @param endedAt when its call got the final answer
 * @param writtenAt when that was handed to the operating system
 */
record AnswerTimeline(
    long arrivedAt, long readAt, long consideredAt, long endedAt, long writtenAt) {

  /** The steps with their milliseconds since the arrival. */
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
