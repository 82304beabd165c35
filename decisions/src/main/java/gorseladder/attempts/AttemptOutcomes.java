package gorseladder.attempts;

import gorseladder.RouterApi.Outcome;
import gorseladder.permits.Verdict;

/**
 * Derives the outcome of an attempt from how it ended on the network, and with it whether the call certainly did not
 * run ({@code Rule.EFFECT_ONCE}). This depends on whether the first byte of the request may have left this machine:
 * before that nothing can have run, whatever went wrong; afterwards only a statement by the runner counts.
 *
 * <p>Prevents an unsafe call from being sent again because a reset, a timeout or an unusual status looked harmless. A
 * status alone proves nothing either: 429 and 503 may come from a proxy behind which the call ran. The cost is that a
 * refusal by a runner that does not state that the call never ran counts as an error.
 *
 * <p>Pure functions; any thread.
 */
public final class AttemptOutcomes {
  private AttemptOutcomes() {}

  /** How far an attempt got. The order matters: from {@link #SENDING} on, bytes may have been sent. */
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
     * This machine lacks a descriptor, an address, memory or a thread for a connection, which says nothing about the
     * worker.
     */
    NO_RESOURCE,
    /** The check just before sending refused the attempt for good. */
    GATE_CLOSED,
    /** The call ended, or its time was up, before the attempt was sent. */
    CALL_OVER,
    RESPONSE,
    /** The connection ended, presumably together with the worker's process. */
    BROKEN,
    /** The connection ended while others to the worker remain open. */
    CONNECTION_LOST,
    MALFORMED,
    TIMED_OUT,
    CANCELLED
  }

  /**
   * Distinguishes the loss of one connection from the loss of the worker. A process that dies closes all its
   * connections; one that ends alone says nothing about the worker.
   *
   * <p>Prevents a worker from being avoided, and its copies from being forgotten, because of one broken connection, for
   * example after a corrupt answer or a reset on the network. The drawback: when a worker does die, its first broken
   * connections count as {@link Ending#CONNECTION_LOST}, until the last one breaks or the next connect fails.
   *
   * @param othersOpen whether other connections to the worker are open
   */
  public static Ending endingOfConnection(Ending ending, boolean othersOpen) {
    return ending == Ending.BROKEN && othersOpen ? Ending.CONNECTION_LOST : ending;
  }

  /**
   * The outcome of an attempt that ended.
   *
   * @param progress how far it got when it ended
   * @param ending what ended it
   * @param status the HTTP status of the response, 100 to 599; read only if {@code ending} is RESPONSE
   * @param reportedNeverRan whether the runner stated in its response that the call did not run
   * @throws IllegalArgumentException if the ending is a response but nothing was sent
   */
  public static Outcome of(Progress progress, Ending ending, int status, boolean reportedNeverRan) {
    boolean mayHaveSent = progress.compareTo(Progress.SENDING) >= 0;
    if (!mayHaveSent) {
      return switch (ending) {
        case RESPONSE, MALFORMED ->
          throw new IllegalArgumentException("a response to an attempt that sent nothing");
        case CONNECT_FAILED, BROKEN, CONNECTION_LOST, TIMED_OUT -> Outcome.CONNECT_FAILED;
        case NO_RESOURCE, GATE_CLOSED, CALL_OVER, CANCELLED -> Outcome.MOOT;
      };
    }
    return switch (ending) {
      case RESPONSE -> ofResponse(status, reportedNeverRan);
      case MALFORMED, CONNECTION_LOST -> Outcome.ERROR;
      case TIMED_OUT -> Outcome.TIMEOUT;
      case CANCELLED, CALL_OVER -> Outcome.CANCELLED;
      case BROKEN, CONNECT_FAILED, NO_RESOURCE, GATE_CLOSED -> Outcome.RESET;
    };
  }

  /**
   * The outcome of an attempt that ended without a response of its own. If it was not sent yet, a malformed response
   * belongs to another request on the same connection.
   */
  public static Outcome ofUnanswered(Progress progress, Ending ending) {
    boolean mayHaveSent = progress.compareTo(Progress.SENDING) >= 0;
    return of(
        progress, ending == Ending.MALFORMED && !mayHaveSent ? Ending.BROKEN : ending, 0, false);
  }

  /**
   * The ending of an attempt that the check just before sending refused.
   *
   * @throws IllegalArgumentException if the verdict allows the attempt or only makes it wait
   */
  public static Ending endingOfDenied(Verdict verdict) {
    return switch (verdict) {
      case CALL_ENDED, TIME_UP, CLIENT_GONE -> Ending.CALL_OVER;
      case DRAINING, WORKER_RESTARTED, MAY_HAVE_RUN, WINDOW_OVER, ATTEMPT_OUT, RATION_SPENT ->
        Ending.GATE_CLOSED;
      default -> throw new IllegalArgumentException("verdict does not end the attempt: " + verdict);
    };
  }

  private static Outcome ofResponse(int status, boolean reportedNeverRan) {
    if (status >= 200 && status < 300) {
      return Outcome.OK;
    }
    if (!reportedNeverRan) {
      return Outcome.ERROR;
    }
    return status == 404 ? Outcome.MISS : Outcome.FULL;
  }
}
