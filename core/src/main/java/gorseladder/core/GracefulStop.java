package gorseladder.core;

import gorseladder.runtime.Clock;
import gorseladder.stops.StopSequence;

/**
 * Carries out a {@link StopSequence}: the stop of a process that still has calls in progress. Blocks the calling thread
 * until the process may exit.
 */
public final class GracefulStop {
  private static final long POLL_MILLIS = 5;

  /** What stops. */
  public interface Stoppable {
    /** Closes what carries no request; returns true once nothing is left to answer or to close. */
    boolean drain();

    /** Whether a client may still wait for an answer. */
    boolean owesAnswers();

    /**
     * Gives each call that is held its final answer.
     *
     * @param recordBy by when records of these answers must be written, {@link Clock#micros()}
     */
    void refuseHeldCalls(long recordBy);
  }

  private GracefulStop() {}

  /** Runs the sequence to its end. */
  public static void run(StopSequence sequence, Stoppable stoppable) throws InterruptedException {
    while (true) {
      boolean drained = stoppable.drain();
      long now = Clock.micros();
      switch (sequence.next(now, drained, stoppable::owesAnswers)) {
        case EXIT -> {
          return;
        }
        case REFUSE_HELD_CALLS -> stoppable.refuseHeldCalls(sequence.recordBy(now));
        default -> {}
      }
      Thread.sleep(POLL_MILLIS);
    }
  }
}
