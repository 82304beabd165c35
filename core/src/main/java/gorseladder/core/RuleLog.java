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
  private final Logger log;
  private final RuleWatch watch = new RuleWatch();

  /** Writes its lines to the program's log. */
  public RuleLog() {
    this(LoggerFactory.getLogger(RuleLog.class));
  }

  /** Writes its lines to that log. */
  public RuleLog(Logger log) {
    this.log = log;
  }

  /** The bytes of an attempt have left. */
  public void written(String request, Written attempt) {
    synchronized (watch) {
      for (Rule rule : watch.written(attempt)) {
        log.error("rule broken: {} request={} {}", rule.word(), request, attempt);
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
        log.error(
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
    log.error(
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
