package gorseladder.rules;

import gorseladder.RouterApi.Effect;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A second look at the rules, independent of what let something pass: it is told what has happened on the sockets, with
 * the times at which it did, and counts what went against a rule. It decides nothing and stops nothing.
 *
 * <p>Guards against a path that does not ask {@link gorseladder.permits.Permits}, or asks too early: the times here are
 * those after the write and not those of the decision. It could not harm.
 *
 * <p>Not thread safe: callers serialise. Times are microseconds on one clock that only goes forward.
 */
public final class RuleWatch {
  /** What the platform allows on every limit. */
  private static final long SLACK = 50_000;
  /** An attempt that begins so long after its client left is a lost request. */
  private static final long GONE_SLACK = 100_000;
  /** By so much the time passed to a worker may be over what the client has left. */
  private static final long DEADLINE_SLACK = 150_000;
  /** Past its time an answer first only earns nothing; so much later the request counts as lost. */
  private static final long ANSWER_SLACK = 500_000;

  private final Map<Rule, Long> counts = new EnumMap<>(Rule.class);

  /**
   * Another attempt of the same call, as its bytes left.
   *
   * @param leftAt when its bytes left
   * @param endedAt when it ended, or was given up on the wire; 0 while it is out
   * @param neverRan true where the worker proved that it did not run
   */
  public record Other(long leftAt, long endedAt, boolean neverRan) {
    @Override
    public String toString() {
      return "Other[leftAt=" + leftAt + ", endedAt=" + endedAt + ", neverRan=" + neverRan + "]";
    }
  }

  /**
   * An attempt whose bytes have left.
   *
   * @param at when the write had ended
   * @param begunAt when the write began
   * @param drainToldAt when the worker's drain was told; 0 where it was not
   * @param restartToldAt when the worker's start was told; 0 where it was not
   * @param decidedAt when the attempt was decided
   * @param callEndedAt when the call got its final answer, or its client left; 0 while it is open
   * @param timePassed what the worker is told to have
   * @param deadlineAt when the client gives up
   */
  public record Written(
      long begunAt,
      long at,
      long drainToldAt,
      long drainGrace,
      long restartToldAt,
      long decidedAt,
      long callEndedAt,
      long timePassed,
      long deadlineAt,
      Effect effect,
      long window,
      boolean mayDuplicate,
      List<Other> others) {
    /** The same text as a record's own, whose code the Java machine would make at the first line that names it. */
    @Override
    public String toString() {
      return "Written[begunAt=" + begunAt + ", at=" + at + ", drainToldAt=" + drainToldAt
          + ", drainGrace=" + drainGrace
          + ", restartToldAt=" + restartToldAt + ", decidedAt=" + decidedAt + ", callEndedAt="
          + callEndedAt
          + ", timePassed=" + timePassed + ", deadlineAt=" + deadlineAt + ", effect=" + effect
          + ", window=" + window
          + ", mayDuplicate=" + mayDuplicate + ", others=" + others + "]";
    }
  }

  /** The rules that an attempt went against; each is counted. */
  public Set<Rule> written(Written attempt) {
    Set<Rule> broken = EnumSet.noneOf(Rule.class);
    if (attempt.drainToldAt() > 0
        && attempt.begunAt() - attempt.drainToldAt() > attempt.drainGrace() + SLACK) {
      broken.add(Rule.DRAIN);
    }
    if (attempt.restartToldAt() > attempt.decidedAt()
        && attempt.begunAt() > attempt.restartToldAt()) {
      broken.add(Rule.SLOW_START);
    }
    if (attempt.callEndedAt() > 0 && attempt.at() - attempt.callEndedAt() > GONE_SLACK) {
      broken.add(Rule.CLIENT_GONE);
    }
    if (attempt.timePassed() > attempt.deadlineAt() - attempt.at() + DEADLINE_SLACK) {
      broken.add(Rule.DEADLINE);
    }
    if (attempt.others().stream().anyMatch(other -> twice(attempt, other))) {
      broken.add(Rule.EFFECT_ONCE);
    }
    broken.forEach(this::count);
    return broken;
  }

  private static boolean twice(Written attempt, Other other) {
    boolean bothOut = other.endedAt() == 0 || other.endedAt() > attempt.at() + SLACK;
    if (bothOut && !attempt.mayDuplicate()) {
      return true;
    }
    if (other.neverRan() || attempt.effect() == Effect.SAFE) {
      return false;
    }
    return attempt.effect() == Effect.UNSAFE
        || attempt.begunAt() - other.leftAt() > attempt.window() + SLACK;
  }

  /** A final answer was handed to its connection; true where it came too late for its client. */
  public boolean answeredTooLate(long at, long deadlineAt) {
    boolean late = at > deadlineAt + ANSWER_SLACK;
    if (late) {
      count(Rule.FINAL_ANSWER);
    }
    return late;
  }

  /** A connection was closed from here though requests on it have no answer. */
  public void closedWithRequests(int open) {
    for (int i = 0; i < open; i++) {
      count(Rule.FINAL_ANSWER);
    }
  }

  private void count(Rule rule) {
    counts.merge(rule, 1L, Long::sum);
  }

  /** How often each rule was broken so far; empty where none was. */
  public Map<Rule, Long> counts() {
    return new EnumMap<>(counts);
  }
}
