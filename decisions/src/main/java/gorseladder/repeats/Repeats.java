package gorseladder.repeats;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.RequestClass;
import gorseladder.permits.Permits;

/**
 * Decides how a delivery of a message is handled, given what the ledger holds about its message id: run it, wait for
 * the first delivery, return the stored answer, or reject it.
 *
 * <p>Prevents effects from happening twice because a sender repeats a request that got no answer, an attacker replays a
 * captured request, or the process was killed between sending and recording. A message that was {@link Phase#LEAVING}
 * when the process died counts as one that may have run, whoever sends it again. A sender that uses one message id for
 * two different bodies gets a conflict for the second one.
 *
 * <p>Pure functions; any thread. Times are microseconds.
 */
public final class Repeats {
  private Repeats() {}

  /** How far a message got according to the ledger. */
  public enum Phase {
    /** Accepted; nothing has been sent to a runner since, though an earlier delivery may have run. */
    ACCEPTED,
    /** Recorded before the first byte is sent to a runner; from here on the message may have run. */
    LEAVING,
    /** Served; the answer is stored. */
    SERVED,
    /** Ended without success; whether it may have run is recorded separately. */
    CLOSED
  }

  /**
   * What the ledger holds about a message id.
   *
   * @param phase how far it got
   * @param inProgress whether this process holds the call and will answer it
   * @param mayHaveRun false only if no attempt can have run
   * @param leftAt when the first attempt that may have run may have been sent; read only if {@code mayHaveRun}
   * @param sameContent whether the new delivery has the same class, function and body
   */
  public record RecordedMessage(
      Phase phase, boolean inProgress, boolean mayHaveRun, long leftAt, boolean sameContent) {}

  /** How a delivery is handled. */
  public enum Action {
    /** Pass the call to the router. */
    RUN,
    /** Wait for the answer of the call in progress. */
    JOIN,
    /** Return the stored answer. */
    RETURN_STORED_ANSWER,
    /** Reject: the same signed request was received before. */
    REPLAYED,
    /** Reject: the message id was used for other content. */
    CONFLICT,
    /** Reject: the message may have run and must not run again. */
    MAY_HAVE_RUN
  }

  /** An action and, for RUN, the longest time that the call may take from now. */
  public record Decision(Action action, long timeLimit) {}

  /**
   * Decides how to handle a delivery with a valid signature.
   *
   * @param requestClass the class of the call
   * @param signatureSeen whether a request with the same signature was accepted before
   * @param known what the ledger holds about the message id; null for nothing
   * @param now the current time
   * @param patience how long the client waits, above 0
   */
  public static Decision onDelivery(
      RequestClass requestClass,
      boolean signatureSeen,
      RecordedMessage known,
      long now,
      long patience) {
    if (signatureSeen) {
      return new Decision(Action.REPLAYED, 0);
    }
    if (known == null) {
      return new Decision(Action.RUN, patience);
    }
    if (!known.sameContent()) {
      return new Decision(Action.CONFLICT, 0);
    }
    if (known.inProgress()) {
      return new Decision(Action.JOIN, patience);
    }
    return switch (known.phase()) {
      case SERVED -> new Decision(Action.RETURN_STORED_ANSWER, 0);
      case LEAVING -> decideRepeat(requestClass, known.leftAt(), now, patience);
      case ACCEPTED, CLOSED ->
        known.mayHaveRun()
            ? decideRepeat(requestClass, known.leftAt(), now, patience)
            : new Decision(Action.RUN, patience);
    };
  }

  /**
   * Returns whether a delivery may be refused with an invitation to retry although the record of its message cannot be
   * read at present, so that an earlier delivery may have run.
   */
  public static boolean mayRefuseUnreadable(Effect effect) {
    return effect == Effect.SAFE;
  }

  /**
   * Decides about a repeated message that may have run. Safe calls run. A keyed one runs only if every worker drops
   * repeats, and only if all new attempts end within the window that the first attempt opened; the router does not know
   * that attempt, so the time of the call is limited to the rest of the window. Nothing else runs again.
   */
  private static Decision decideRepeat(
      RequestClass requestClass, long leftAt, long now, long patience) {
    long elapsed = now - leftAt;
    boolean mayRun = Permits.mayRepeatAfter(
            requestClass.effect(), true, elapsed, requestClass.repeatWindow())
        .allowed();
    if (requestClass.effect() == Effect.SAFE) {
      return new Decision(Action.RUN, patience);
    }
    return mayRun && requestClass.group() == Group.ALL
        ? new Decision(Action.RUN, Math.min(patience, requestClass.repeatWindow() - elapsed))
        : new Decision(Action.MAY_HAVE_RUN, 0);
  }

  /**
   * Returns whether the record of the final answer must be durable before the client gets it. Without its record a
   * served message that must not run twice would look like one that may have run, and its sender could never learn the
   * answer.
   */
  public static boolean recordBeforeAnswer(Effect effect) {
    return effect != Effect.SAFE;
  }

  /**
   * Returns whether a call must be recorded before it is accepted. A safe call is kept in memory while in progress and
   * recorded once, when it ends: if the process is killed in between, a retry by the sender runs it again, which does
   * no harm.
   */
  public static boolean recordBeforeAccepting(Effect effect) {
    return effect != Effect.SAFE;
  }

  /** Returns whether the ledger must hold {@link Phase#LEAVING} before the first byte is sent. */
  public static boolean recordBeforeSend(Effect effect) {
    return effect != Effect.SAFE;
  }
}
