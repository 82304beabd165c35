package gorseladder.edge.front;

import gorseladder.runtime.Clock;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * When one request passed each step on its way to its answer, so that a late answer can be explained. Times are
 * microseconds of {@link Clock#micros()}. The request's own thread.
 */
final class RequestTimeline {
  /** Steps in their order; a request may end before it came to all of them. */
  enum Step {
    /** Its head and body are read. */
    READ,
    /** It may enter, and its signature and route are good. */
    ADMITTED,
    /** It is a call, on record where its class wants that. */
    TAKEN,
    /** Its call has a final answer. */
    ENDED,
    /** The end is on record where its class wants that. */
    RECORDED,
    /** Its answer is handed to the system. */
    WRITTEN
  }

  private final long arrivedAt;
  private final long waitedForTurn;
  private final Map<Step, Long> stepTimes = new EnumMap<>(Step.class);
  private long clientTimeout = Long.MAX_VALUE / 4;

  /**
   * A request whose first byte came at that time.
   *
   * @param waitedForTurn how long it then waited to be read
   */
  RequestTimeline(long arrivedAt, long waitedForTurn) {
    this.arrivedAt = arrivedAt;
    this.waitedForTurn = waitedForTurn;
  }

  /** When its first byte came. */
  long arrivedAt() {
    return arrivedAt;
  }

  /** Sets how long its client waits from its arrival on. */
  void clientTimeout(long micros) {
    clientTimeout = micros;
  }

  /** How long its client waits; very long where that is not known. */
  long clientTimeout() {
    return clientTimeout;
  }

  /** When its client gives up. */
  long deadline() {
    return arrivedAt + clientTimeout;
  }

  /** It passes a step now. */
  void mark(Step step) {
    stepTimes.put(step, Clock.micros());
  }

  /** By how much its answer was handed over too late; 0 or less where it was in time. */
  long lateness() {
    return stepTimes.getOrDefault(Step.WRITTEN, arrivedAt) - deadline();
  }

  /** The steps with their milliseconds from the arrival. */
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
