package gorseladder.starts;

import gorseladder.RouterApi.Rules;

/**
 * The calls that a worker which has just started may get of this dispatcher. They are saved up in parts of a call, and
 * first drawn by chance, so that many dispatchers together stay below what the rule lets a cold worker take.
 *
 * <p>What a warm worker takes is learned from calls served, which overload does not inflate. It is at least one call at
 * a time for all dispatchers together, by the usual time of a call or by the worker's last answer where that took
 * longer; nothing is saved by this least while a call is out there.
 *
 * <p>Guards against heavy calls after light ones, and a worker that is slower than the others: its budget went by calls
 * a tenth as long. It could harm where a cold worker's answers are long for another reason: it warms up by fewer calls.
 *
 * <p>Not thread safe. Times are microseconds.
 */
public final class ColdBudget {
  /** Part of what the rule lets a cold worker take that is used; the rest is for chance and hot homes. */
  private static final double MARGIN = 0.4;

  private static final double SECOND = 1e6;

  private double tokens;
  private long savedAt;
  /** What its last answer without a load took since it started; 0 where there was none. */
  private double lastAnswer;

  /**
   * What is known of calls.
   *
   * @param servedPerWorker calls a second that this dispatcher has served by a worker of the fleet, on the mean
   * @param typicalLatency the usual time of a call
   * @param dispatchers how many of them share the workers
   */
  public record ServiceRate(double servedPerWorker, double typicalLatency, int dispatchers) {}

  /** The worker has started anew. */
  public void restart(double chance, long now) {
    tokens = chance;
    savedAt = now;
    lastAnswer = 0;
  }

  /** The part of its capacity that a worker has at least, by its birth (0 for long ago) and the told ramp. */
  public static double warmth(Rules rules, long born, long at) {
    double age = Math.max(0, at - born) / Math.max(1.0, rules.rampDuration());
    return born == 0 || age >= 1
        ? 1
        : rules.initialCapacity() + (1 - rules.initialCapacity()) * age;
  }

  /**
   * True where a call may go to the worker now.
   *
   * @param out calls of this dispatcher that are out there
   */
  public boolean hasRoom(Rules rules, long born, int out, ServiceRate serviceRate, long now) {
    double warmth = warmth(rules, born, now);
    if (warmth >= 1) {
      return true;
    }
    double oneByOne =
        SECOND / Math.max(serviceRate.typicalLatency(), lastAnswer) / serviceRate.dispatchers();
    double rate = Math.max(serviceRate.servedPerWorker(), out > 0 ? 0 : oneByOne);
    double used = rate * MARGIN * rules.overloadMultiple();
    double most = Math.max(1, used * warmth * rules.overloadWindow() / SECOND);
    // Looked at seldom, so the warmth in between counts and not the one reached by now.
    double meanWarmth = (warmth + warmth(rules, born, savedAt)) / 2;
    tokens = Math.min(most, tokens + (now - savedAt) / SECOND * used * meanWarmth);
    savedAt = now;
    return tokens >= 1;
  }

  /** A call goes to the worker while it is cold. */
  public void spend() {
    tokens--;
  }

  /** It has served a call without a load; to be told after a last {@link #hasRoom} for the time it was out. */
  public void answered(double latency) {
    lastAnswer = latency;
  }

  /** Calls that are saved up. */
  public double tokens() {
    return tokens;
  }
}
