package gorseladder.attempts;

import gorseladder.RouterApi.Outcome;
import gorseladder.permits.Verdict;

/**
 * Decides what an attempt that ended on the network is worth as knowledge: the outcome the router is told, and with it
 * whether the call surely did not run (rule 2). The one dividing line is whether the first byte of the request may have
 * left this machine. Before that nothing can have run, whatever went wrong; after it only the runner's own word counts.
 *
 * <p>Guards against an unsafe call that is sent again because a reset, a timeout or an odd status looked harmless. It
 * also covers statuses that promise nothing in the protocol (429 and 503 may come from a proxy behind which the call
 * ran). It costs service where a runner refuses without saying that the call never ran: such a refusal counts as an
 * error.
 *
 * <p>Pure functions; any thread.
 */
public final class AttemptOutcomes {
  private AttemptOutcomes() {}

  /** How far an attempt got. The order matters: from {@link #SENDING} on, bytes may have left. */
  public enum Progress {
    WAITING,
    CONNECTING,
    CONNECTED,
    SENDING,
    RESPONDING
  }

  /** What ended an attempt. */
  public enum Ending {
    CONNECT_FAILED,
    /**
     * This machine lacks a descriptor, an address, memory or a thread for a connection: that says nothing of the
     * worker.
     */
    NO_RESOURCE,
    GATE_CLOSED,
    CALL_OVER,
    RESPONSE,
    /** The connection ended, and with it, as far as is known, the worker's process. */
    BROKEN,
    /** The connection ended while others to the worker stand. */
    CONNECTION_LOST,
    MALFORMED,
    TIMED_OUT,
    CANCELLED
  }

  /**
   * What the end of a connection was. A process that dies takes all its connections along; one that ends alone speaks
   * of itself and not of the worker.
   *
   * <p>Guards against a worker that is shunned, and its copies forgotten, for one connection that broke. It covers
   * spoilt answers and resets on the way. It could harm at a death: the first connections to break count as lost alone,
   * until the last one or the next connect tells.
   *
   * @param othersStand whether other connections to the worker are open
   */
  public static Ending endingOfConnection(Ending ending, boolean othersStand) {
    return ending == Ending.BROKEN && othersStand ? Ending.CONNECTION_LOST : ending;
  }

  /**
   * The outcome of an attempt.
   *
   * @param progress how far it got when it ended
   * @param ending what ended it
   * @param status the HTTP status of the response, 100 to 599; read only where {@code ending} is RESPONSE
   * @param saysNeverRan true where the runner stated in its response that the call did not run
   * @throws IllegalArgumentException where a response is claimed for an attempt that sent nothing
   */
  public static Outcome of(Progress progress, Ending ending, int status, boolean saysNeverRan) {
    boolean mayHaveLeft = progress.compareTo(Progress.SENDING) >= 0;
    if (!mayHaveLeft) {
      return switch (ending) {
        case RESPONSE, MALFORMED ->
          throw new IllegalArgumentException("a response to an attempt that sent nothing");
        case CONNECT_FAILED, BROKEN, CONNECTION_LOST, TIMED_OUT -> Outcome.CONNECT_FAILED;
        case NO_RESOURCE, GATE_CLOSED, CALL_OVER, CANCELLED -> Outcome.MOOT;
      };
    }
    return switch (ending) {
      case RESPONSE -> ofResponse(status, saysNeverRan);
      case MALFORMED, CONNECTION_LOST -> Outcome.ERROR;
      case TIMED_OUT -> Outcome.TIMEOUT;
      case CANCELLED, CALL_OVER -> Outcome.CANCELLED;
      case BROKEN, CONNECT_FAILED, NO_RESOURCE, GATE_CLOSED -> Outcome.RESET;
    };
  }

  /**
   * The outcome of an attempt that ended without an answer of its own; what spoilt another's says nothing of one
   * unsent.
   */
  public static Outcome ofUnanswered(Progress progress, Ending ending) {
    boolean mayHaveLeft = progress.compareTo(Progress.SENDING) >= 0;
    return of(
        progress, ending == Ending.MALFORMED && !mayHaveLeft ? Ending.BROKEN : ending, 0, false);
  }

  /**
   * The end of an attempt that was held back at the last look.
   *
   * @throws IllegalArgumentException where it was allowed, or has only to wait
   */
  public static Ending endingOfDenied(Verdict verdict) {
    return switch (verdict) {
      case CALL_ENDED, TIME_UP -> Ending.CALL_OVER;
      case DRAINING, WORKER_RESTARTED, MAY_HAVE_RUN, WINDOW_OVER, ATTEMPT_OUT, RATION_SPENT ->
        Ending.GATE_CLOSED;
      default -> throw new IllegalArgumentException("not held back for good: " + verdict);
    };
  }

  private static Outcome ofResponse(int status, boolean saysNeverRan) {
    if (status >= 200 && status < 300) {
      return Outcome.OK;
    }
    if (!saysNeverRan) {
      return Outcome.ERROR;
    }
    return status == 404 ? Outcome.MISS : Outcome.FULL;
  }
}
