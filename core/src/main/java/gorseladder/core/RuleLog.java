package gorseladder.core;

import gorseladder.rules.Rule;
import gorseladder.rules.RuleWatch;
import gorseladder.rules.RuleWatch.Written;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What {@link RuleWatch} finds, as one line each with the request's id and as counts: an alarm, never a crash. Tests
 * fail where any count is left. Any thread.
 */
public final class RuleLog {
  private static final Logger LOG = LoggerFactory.getLogger(RuleLog.class);

  private final RuleWatch watch = new RuleWatch();

  /** The bytes of an attempt have left. */
  public void written(String request, Written attempt) {
    synchronized (watch) {
      for (Rule rule : watch.written(attempt)) {
        LOG.error("rule broken: {} request={} {}", rule.word(), request, attempt);
      }
    }
  }

  /**
   * The final answer of a call was handed to the system.
   *
   * @param steps when it passed each step on its way; told where it came too late
   */
  public void answered(String request, long at, long deadlineAt, Object steps) {
    synchronized (watch) {
      if (watch.answeredTooLate(at, deadlineAt)) {
        LOG.error(
            "rule broken: {} request={} answered {} ms after its time: {}",
            Rule.FINAL_ANSWER.word(),
            request,
            (at - deadlineAt) / 1_000,
            steps);
      }
    }
  }

  /** A connection was closed from here with requests that have no answer. */
  public void closedWithRequests(int open, String why) {
    synchronized (watch) {
      watch.closedWithRequests(open);
    }
    LOG.error(
        "rule broken: {} a connection with {} requests was closed: {}",
        Rule.FINAL_ANSWER.word(),
        open,
        why);
  }

  /** How often each rule was broken; empty where none was. */
  public Map<Rule, Long> counts() {
    synchronized (watch) {
      return watch.counts();
    }
  }
}
