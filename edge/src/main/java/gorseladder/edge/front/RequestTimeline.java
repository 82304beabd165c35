package gorseladder.edge.front;

import gorseladder.runtime.Clock;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * Records when a request passed each step on its way to its answer, to explain late answers. Times are microseconds of
 * {@link Clock#micros()}. Used only by the request's thread.
 */
final class RequestTimeline {
  /** Steps in order; a request may end before it reaches the last one. */
  enum Step {
    /** Its head and body are read. */
    READ,
    /** It is admitted, and its signature and route are valid. */
    ADMITTED,
    /** It is an accepted call, recorded if its class requires that. */
    TAKEN,
    /** Its call has a final answer. */
    ENDED,
    /** The end is recorded if its class requires that. */
    RECORDED,
    /** Its answer is handed to the operating system. */
    WRITTEN
  }

  private final long arrivedAt;
  private final long waitedForTurn;
  private final Map<Step, Long> stepTimes = new EnumMap<>(Step.class);
  private long clientTimeout = Long.MAX_VALUE / 4;

  /**
   * Creates the timeline of a request.
   *
   * @param arrivedAt when its first byte arrived
   * @param waitedForTurn how long it then waited to be read
   */
  RequestTimeline(long arrivedAt, long waitedForTurn) {
    this.arrivedAt = arrivedAt;
    this.waitedForTurn = waitedForTurn;
  }

  /** Returns when its first byte arrived. */
  long arrivedAt() {
    return arrivedAt;
  }

  /** Sets how long the client waits from the arrival on. */
  void clientTimeout(long micros) {
    clientTimeout = micros;
  }

  /** Returns how long the client waits; very long if that is unknown. */
  long clientTimeout() {
    return clientTimeout;
  }

  /** Returns when the client stops waiting. */
  long deadline() {
    return arrivedAt + clientTimeout;
  }

  /** Records that the request passes a step now. */
  void mark(Step step) {
    stepTimes.put(step, Clock.micros());
  }

  /** Returns how long after the deadline the answer was handed over; 0 or less if it was in time. */
  long lateness() {
    return stepTimes.getOrDefault(Step.WRITTEN, arrivedAt) - deadline();
  }

  /** Lists the steps with their milliseconds since the arrival. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder("turn waited " + waitedForTurn / 1000);
    stepTimes.forEach((step, at) -> text.append(", ")
        .append(step.name().toLowerCase(Locale.ROOT))
        .append(" +")
        .append((at - arrivedAt) / 1000));
    return text.append(" ms").toString();
  }
}
