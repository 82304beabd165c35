package gorseladder.answers;

import gorseladder.RouterApi.Outcome;
import java.util.List;

/**
 * Derives the {@link Reason} of a final answer from the outcomes of the attempts made. The router alone decides whether
 * a call is refused or fails. Pure functions; any thread.
 */
public final class FinalReasons {
  private FinalReasons() {}

  /** The reason of a refusal; it follows the last attempt, which says most about the obstacle. */
  public static Reason ofRefusal(List<Outcome> outcomes) {
    if (outcomes.isEmpty()) {
      return Reason.REFUSED_UNSENT;
    }
    if (!outcomes.stream().allMatch(o -> o != null && o.neverRan)) {
      return Reason.REFUSED_HARMLESS;
    }
    return switch (outcomes.get(outcomes.size() - 1)) {
      case FULL -> Reason.REFUSED_FULL;
      case MISS -> Reason.REFUSED_COLD;
      case CONNECT_FAILED -> Reason.REFUSED_UNREACHABLE;
      default -> Reason.REFUSED_UNSENT;
    };
  }

  /** The reason of a failure; an attempt still in flight (null) means that time ran out. */
  public static Reason ofFailure(List<Outcome> outcomes) {
    Outcome worst = null;
    for (Outcome o : outcomes) {
      if (o == null) {
        return Reason.FAILED_TIMEOUT;
      }
      worst = o.neverRan && worst != null ? worst : o;
    }
    if (worst == null) {
      return Reason.FAILED_OVERDUE;
    }
    return switch (worst) {
      case RESET -> Reason.FAILED_RESET;
      case ERROR -> Reason.FAILED_ERROR;
      default -> Reason.FAILED_TIMEOUT;
    };
  }
}
