package gorseladder.core;

import gorseladder.rules.Rule;
import gorseladder.rules.RuleWatch;
import gorseladder.rules.RuleWatch.Written;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts the rule violations that {@link RuleWatch} detects, one line with the request's ID for each. A
 * violation never stops the process; tests fail if any count is not zero. Thread safe.
 */
public final class RuleLog {
  private final Logger log;
  private final RuleWatch watch = new RuleWatch();

  /** Creates a log of violations that writes to the program's log. */
  public RuleLog() {
    this(LoggerFactory.getLogger(RuleLog.class));
  }

  /** Creates a log of violations that writes to the given log. */
  public RuleLog(Logger log) {
    this.log = log;
  }

  /** Checks an attempt whose bytes were written. */
  public void written(String request, Written attempt) {
    synchronized (watch) {
      for (Rule rule : watch.written(attempt)) {
        log.error("rule broken: {} request={} {}", rule.word(), request, attempt);
      }
    }
  }

  /**
   * Checks a final answer that was handed to the operating system.
   *
   * @param steps timeline of the call, logged if the answer was late
   */
  public void answered(String request, long at, long deadlineAt, Object steps) {
    synchronized (watch) {
      if (watch.answeredTooLate(at, deadlineAt)) {
        log.error(
            "rule broken: {} request={} answered {} ms after its time: {}",
            Rule.FINAL_ANSWER.word(),
            request,
            (at - deadlineAt) / 1_000,
            steps);
      }
    }
  }

  /** Records that this process closed a connection on which requests had no answer yet. */
  public void closedWithRequests(int open, String why) {
    synchronized (watch) {
      watch.closedWithRequests(open);
    }
    log.error(
        "rule broken: {} a connection with {} requests was closed: {}",
        Rule.FINAL_ANSWER.word(),
        open,
        why);
  }

  /** Number of violations of each rule; empty if there were none. */
  public Map<Rule, Long> counts() {
    synchronized (watch) {
      return watch.counts();
    }
  }
}
