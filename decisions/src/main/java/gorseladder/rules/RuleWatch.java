package gorseladder.rules;

import gorseladder.RouterApi.Effect;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks and counts rule violations from what has happened on the sockets, independently of the code that allowed it.
 * It neither decides nor prevents anything.
 *
 * <p>It finds paths that do not ask {@link gorseladder.permits.Permits}, or ask too early, because it uses the times
 * after the write and not those of the decision.
 *
 * <p>Not thread safe: callers synchronize. Times are microseconds of a monotonic clock.
 */
public final class RuleWatch {
  /** Tolerance of the platform on every limit. */
  private static final long TOLERANCE_MICROS = 50_000;
  /** An attempt that is sent later than this after its client left counts as a lost request. */
  private static final long CLIENT_GONE_TOLERANCE_MICROS = 100_000;
  /** The time limit passed to a worker may exceed the client's remaining time by this. */
  private static final long DEADLINE_TOLERANCE_MICROS = 150_000;
  /** A late answer is worth nothing; an answer later than this counts as a lost request. */
  private static final long ANSWER_TOLERANCE_MICROS = 500_000;

  private final Map<Rule, Long> counts = new EnumMap<>(Rule.class);

  /**
   * Another attempt of the same call.
   *
   * @param leftAt when it was written
   * @param endedAt when it ended or was cancelled on the connection; 0 while it is outstanding
   * @param neverRan true if the worker proved that it did not run
   */
  public record Other(long leftAt, long endedAt, boolean neverRan) {
    @Override
    public String toString() {
      return "Other[leftAt=" + leftAt + ", endedAt=" + endedAt + ", neverRan=" + neverRan + "]";
    }
  }

  /**
   * An attempt that has been written. Its text is part of log lines, so the names in it are fixed.
   *
   * @param begunAt when the write began
   * @param at when the write had ended
   * @param drainToldAt when the worker's drain was reported; 0 if it was not
   * @param restartToldAt when the worker's restart was reported; 0 if it was not
   * @param decidedAt when the attempt was decided
   * @param callEndedAt when the call got its final answer or its client left; 0 while it is open
   * @param timePassed time limit passed to the worker
   * @param deadlineAt when the client gives up
   * @param window how long workers detect repeats of a keyed call
   * @param mayDuplicate true if two attempts may be outstanding at a time
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
    /** Equals the record's default text, whose code the JVM would generate at its first use. */
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

  /** Counts and returns the rules that an attempt violates. */
  public Set<Rule> written(Written attempt) {
    Set<Rule> violated = EnumSet.noneOf(Rule.class);
    if (attempt.drainToldAt() > 0
        && attempt.begunAt() - attempt.drainToldAt() > attempt.drainGrace() + TOLERANCE_MICROS) {
      violated.add(Rule.DRAIN);
    }
    if (attempt.restartToldAt() > attempt.decidedAt()
        && attempt.begunAt() > attempt.restartToldAt()) {
      violated.add(Rule.SLOW_START);
    }
    if (attempt.callEndedAt() > 0
        && attempt.at() - attempt.callEndedAt() > CLIENT_GONE_TOLERANCE_MICROS) {
      violated.add(Rule.CLIENT_GONE);
    }
    if (attempt.timePassed() > attempt.deadlineAt() - attempt.at() + DEADLINE_TOLERANCE_MICROS) {
      violated.add(Rule.DEADLINE);
    }
    if (attempt.others().stream().anyMatch(other -> mayRepeatEffect(attempt, other))) {
      violated.add(Rule.EFFECT_ONCE);
    }
    violated.forEach(this::count);
    return violated;
  }

  private static boolean mayRepeatEffect(Written attempt, Other other) {
    boolean bothOutstanding =
        other.endedAt() == 0 || other.endedAt() > attempt.at() + TOLERANCE_MICROS;
    if (bothOutstanding && !attempt.mayDuplicate()) {
      return true;
    }
    if (other.neverRan() || attempt.effect() == Effect.SAFE) {
      return false;
    }
    return attempt.effect() == Effect.UNSAFE
        || attempt.begunAt() - other.leftAt() > attempt.window() + TOLERANCE_MICROS;
  }

  /** Records a final answer that was passed to its connection; true if it was too late for its client. */
  public boolean answeredTooLate(long at, long deadlineAt) {
    boolean late = at > deadlineAt + ANSWER_TOLERANCE_MICROS;
    if (late) {
      count(Rule.FINAL_ANSWER);
    }
    return late;
  }

  /** Records that this process closed a connection with unanswered requests. */
  public void closedWithRequests(int open) {
    for (int i = 0; i < open; i++) {
      count(Rule.FINAL_ANSWER);
    }
  }

  private void count(Rule rule) {
    counts.merge(rule, 1L, Long::sum);
  }

  /** Number of violations of each rule so far; empty if there are none. */
  public Map<Rule, Long> counts() {
    return new EnumMap<>(counts);
  }
}
