package gorseladder.starts;

import gorseladder.RouterApi.Rules;

/**
 * Token bucket for the calls that this dispatcher may send to a worker that started recently. The bucket is filled with
 * fractions of a call and starts at a random fraction, so that many dispatchers together stay below the limit that the
 * rule sets for a cold worker.
 *
 * <p>The capacity of a warm worker is learned from calls served, which overload does not inflate. It is assumed to be
 * at least one call at a time for all dispatchers together, by the typical latency or by the last answer of the worker
 * if that took longer. While a call is in flight there, this minimum adds no tokens.
 *
 * <p>The last answer is used because heavy calls after light ones, or a worker slower than the others, once got a
 * budget based on calls a tenth as long. The drawback: a cold worker with long answers for another reason warms up with
 * fewer calls.
 *
 * <p>Not thread safe. Times are microseconds.
 */
public final class ColdBudget {
  /** Part of the limit for a cold worker that is used; the rest allows for randomness and for busy home workers. */
  private static final double USED_FRACTION = 0.4;

  private static final double MICROS_PER_SECOND = 1e6;

  private double tokens;
  private long refilledAt;
  /** Latency of the last answer without a load since the start; 0 if there was none. */
  private double lastAnswer;

  /**
   * How fast the fleet serves calls.
   *
   * @param servedPerWorker mean calls per second and worker served for this dispatcher
   * @param typicalLatency usual time of a call
   * @param dispatchers number of dispatchers that share the workers
   */
  public record ServiceRate(double servedPerWorker, double typicalLatency, int dispatchers) {}

  /**
   * Resets the budget after a start of the worker.
   *
   * @param initialTokens random fraction of a call, 0 to 1
   */
  public void restart(double initialTokens, long now) {
    tokens = initialTokens;
    refilledAt = now;
    lastAnswer = 0;
  }

  /**
   * The part of its capacity that a worker has at least; it rises linearly from the configured minimum to 1 over the
   * configured time.
   *
   * @param startedAt when the worker started; 0 for long ago
   */
  public static double warmth(Rules rules, long startedAt, long at) {
    double age = Math.max(0, at - startedAt) / Math.max(1.0, rules.rampDuration());
    return startedAt == 0 || age >= 1
        ? 1
        : rules.initialCapacity() + (1 - rules.initialCapacity()) * age;
  }

  /**
   * Returns whether a call may be sent to the worker now.
   *
   * @param startedAt when the worker started; 0 for long ago
   * @param inFlight calls of this dispatcher that the worker has now
   */
  public boolean hasRoom(
      Rules rules, long startedAt, int inFlight, ServiceRate serviceRate, long now) {
    double warmth = warmth(rules, startedAt, now);
    if (warmth >= 1) {
      return true;
    }
    double oneAtATimeRate = MICROS_PER_SECOND
        / Math.max(serviceRate.typicalLatency(), lastAnswer)
        / serviceRate.dispatchers();
    double rate = Math.max(serviceRate.servedPerWorker(), inFlight > 0 ? 0 : oneAtATimeRate);
    double usedRate = rate * USED_FRACTION * rules.overloadMultiple();
    double maxTokens = Math.max(1, usedRate * warmth * rules.overloadWindow() / MICROS_PER_SECOND);
    // Refilled rarely, so the mean warmth since the last refill counts and not the current one.
    double meanWarmth = (warmth + warmth(rules, startedAt, refilledAt)) / 2;
    tokens = Math.min(
        maxTokens, tokens + (now - refilledAt) / MICROS_PER_SECOND * usedRate * meanWarmth);
    refilledAt = now;
    return tokens >= 1;
  }

  /** Takes a token for a call that is sent to the cold worker. */
  public void spend() {
    tokens--;
  }

  /**
   * Records that the worker served a call without a load. Call {@link #hasRoom} first, to add the tokens for the time
   * in which the call was in flight.
   */
  public void answered(double latency) {
    lastAnswer = latency;
  }

  /** Number of calls that may be sent, with fractions. */
  public double tokens() {
    return tokens;
  }
}
