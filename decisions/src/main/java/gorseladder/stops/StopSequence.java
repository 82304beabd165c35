package gorseladder.stops;

import java.util.function.BooleanSupplier;

/**
 * Decides what a process that stops does next: it waits while calls are in progress, gives the calls that are left
 * their final answers while there is still time to write them, and exits.
 *
 * <p>Prevents a stop from ending connections whose calls have no answer, because a runner hangs or because the process
 * stood still past the time for the answers. Does harm where a call would have been served between its refusal and the
 * exit.
 *
 * <p>Free of clocks, threads and input; not thread safe. Times are microseconds of a monotonic clock.
 */
public final class StopSequence {
  /** What to do next. */
  public enum Step {
    WAIT,
    /** Give each call that is held its final answer, once; then ask again. */
    REFUSE_HELD_CALLS,
    EXIT
  }

  /**
   * The times of a stop, in this order.
   *
   * @param refuseAt when the calls that are left get their final answers
   * @param exitAt when the process exits if no client waits for an answer
   * @param latestExitAt when it exits although clients wait; the time since {@code refuseAt} is for writing answers
   */
  public record Moments(long refuseAt, long exitAt, long latestExitAt) {
    /** Time for writing the last answers, unless that is too large a part of the stop. */
    private static final long MAX_WRITING_MICROS = 400_000;

    private static final int MIN_WAITING_DIVISOR = 2;

    /** The times of a stop that may take the given time. */
    public static Moments within(long start, long duration) {
      long writing = Math.min(MAX_WRITING_MICROS, duration / MIN_WAITING_DIVISOR);
      long refuseAt = start + duration - writing;
      return new Moments(refuseAt, refuseAt, start + duration);
    }

    private long writing() {
      return latestExitAt - refuseAt;
    }
  }

  private final Moments moments;
  private boolean refused;
  private long latestExitAt;

  /** Begins a stop. */
  public StopSequence(Moments moments) {
    this.moments = moments;
    this.latestExitAt = moments.latestExitAt();
  }

  /**
   * Decides the next step.
   *
   * @param drained whether nothing is left to answer or to close
   * @param owesAnswers whether a client still waits for an answer; asked only if the decision depends on it
   */
  public Step next(long now, boolean drained, BooleanSupplier owesAnswers) {
    if (drained) {
      return Step.EXIT;
    }
    // Before the times to exit: all may have passed while the process stood still.
    if (!refused && now >= moments.refuseAt()) {
      refused = true;
      latestExitAt = Math.max(latestExitAt, now + moments.writing());
      return Step.REFUSE_HELD_CALLS;
    }
    if (now >= latestExitAt) {
      return Step.EXIT;
    }
    return now >= moments.exitAt() && !owesAnswers.getAsBoolean() ? Step.EXIT : Step.WAIT;
  }

  /** By when records of final answers must be written, given at {@code now}; half of the time for writing answers. */
  public long recordBy(long now) {
    return now + moments.writing() / 2;
  }
}
