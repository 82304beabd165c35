package gorseladder.repeats;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.RequestClass;
import gorseladder.permits.Permits;

/**
 * Decides what a delivery of a message means, from what the ledger remembers of its id: run it, let it wait for the
 * first one, give the old answer again, or refuse it.
 *
 * <p>Guards against effects that happen twice because a sender repeats what it got no answer for, because an attacker
 * replays a captured request, or because the process was killed between the send and the record. An entry that was
 * {@link Phase#LEAVING} when the process died counts as may have run, whoever asks. It could harm a sender that uses
 * one message id for two different bodies; that is answered as a conflict rather than by running either twice.
 *
 * <p>Pure functions; any thread. Times are microseconds.
 */
public final class Repeats {
  private Repeats() {}

  /** How far a message got, as the ledger has it. */
  public enum Phase {
    /** Taken; no byte has left for a runner since (an earlier delivery of it may have run). */
    ACCEPTED,
    /** Written before the first byte leaves for a runner; from here on it may have run. */
    LEAVING,
    /** Served; the answer is kept. */
    SERVED,
    /** Answered without success; whether it may have run stands beside it. */
    CLOSED
  }

  /**
   * What is remembered of a message id.
   *
   * @param phase how far it got
   * @param inProgress true while this process holds the call and will answer it
   * @param mayHaveRun true where some attempt is not known not to have run
   * @param leftAt when the first such attempt may have left; read only where {@code mayHaveRun}
   * @param sameContent true where the new delivery has the same class, function and body
   */
  public record RecordedMessage(
      Phase phase, boolean inProgress, boolean mayHaveRun, long leftAt, boolean sameContent) {}

  /** What to do with a delivery. */
  public enum Action {
    /** Hand it to the router. */
    RUN,
    /** Wait for the answer of the call that is out. */
    JOIN,
    /** Give the kept answer. */
    RETURN_STORED_ANSWER,
    /** The very same signed request came before. */
    REPLAYED,
    /** The id was used for something else. */
    CONFLICT,
    /** It may have run and may not run again. */
    MAY_HAVE_RUN
  }

  /** A deed and, for RUN, the longest time the call may take from now. */
  public record Decision(Action action, long timeLimit) {}

  /**
   * Judges a delivery whose signature holds.
   *
   * @param requestClass the class of the call
   * @param signatureSeen true where this very signature was taken before
   * @param known what the ledger has of the id; null where nothing
   * @param now the present time
   * @param patience how long the client waits, more than 0
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
      case LEAVING -> again(requestClass, known.leftAt(), now, patience);
      case ACCEPTED, CLOSED ->
        known.mayHaveRun()
            ? again(requestClass, known.leftAt(), now, patience)
            : new Decision(Action.RUN, patience);
    };
  }

  /**
   * True where a delivery may be refused as harmless though something is on record of its message that cannot be read
   * at present: an earlier one may have run.
   */
  public static boolean mayRefuseUnreadable(Effect effect) {
    return effect == Effect.SAFE;
  }

  /**
   * A message that may have run comes again. Safe calls run. A keyed one runs only where every worker drops repeats and
   * only if all its new attempts end within the window that the first one began; the router cannot know that earlier
   * attempt, so the time of the call is cut to what is left of the window. Everything else never runs again.
   */
  private static Decision again(RequestClass requestClass, long leftAt, long now, long patience) {
    long since = now - leftAt;
    boolean mayRun = Permits.mayRepeatAfter(
            requestClass.effect(), true, since, requestClass.repeatWindow())
        .allowed();
    if (requestClass.effect() == Effect.SAFE) {
      return new Decision(Action.RUN, patience);
    }
    return mayRun && requestClass.group() == Group.ALL
        ? new Decision(Action.RUN, Math.min(patience, requestClass.repeatWindow() - since))
        : new Decision(Action.MAY_HAVE_RUN, 0);
  }

  /**
   * True where the record of an end must be durable before the client hears it. For what must not run twice a lost
   * record would make a served message look as though it may have run, and its sender could never learn the answer.
   */
  public static boolean recordBeforeAnswer(Effect effect) {
    return effect != Effect.SAFE;
  }

  /**
   * True where a call must be on record before it goes on. A safe one is remembered in this process while it is out,
   * and recorded once, with its end: were the process killed in between, its sender's next try would run it again,
   * which does no harm.
   */
  public static boolean recordBeforeAccepting(Effect effect) {
    return effect != Effect.SAFE;
  }

  /** True where the ledger must hold {@link Phase#LEAVING} before the first byte leaves. */
  public static boolean recordBeforeSend(Effect effect) {
    return effect != Effect.SAFE;
  }
}
