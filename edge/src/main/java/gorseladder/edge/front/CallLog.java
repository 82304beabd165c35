package gorseladder.edge.front;

import gorseladder.answers.Reason;
import gorseladder.core.FinalAnswer;
import gorseladder.core.RuleLog;
import gorseladder.edge.core.TakenCall;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the log line of each call and counts calls by reason. Requests that do not become calls have lines and counts
 * of their own.
 *
 * <p>Thread safe.
 */
public final class CallLog {
  private static final Logger CALLS = LoggerFactory.getLogger("gorseladder.calls");

  /** An answer later than this after the client's timeout is logged, in microseconds. */
  private static final long MAX_LATE_MICROS = 50_000;

  private final Map<Reason, LongAdder> counts = new EnumMap<>(Reason.class);
  private final LongAdder accepted = new LongAdder();
  private final RuleLog ruleLog;

  /**
   * Creates a log.
   *
   * @param ruleLog checks each written answer
   */
  public CallLog(RuleLog ruleLog) {
    this.ruleLog = ruleLog;
    for (Reason reason : Reason.values()) {
      counts.put(reason, new LongAdder());
    }
  }

  /** A call was accepted. */
  public void callAccepted() {
    accepted.increment();
  }

  /** A call got its final answer. */
  public void callEnded(TakenCall call) {
    FinalAnswer answer = call.answer();
    counts.get(answer.reason()).increment();
    CALLS
        .atInfo()
        .addKeyValue("id", call.facts().message())
        .addKeyValue("class", call.facts().requestClass().name())
        .addKeyValue("tenant", call.facts().tenant())
        .addKeyValue("function", call.facts().function())
        .addKeyValue("attempts", String.join(" ", call.describeAttempts()))
        .addKeyValue("kind", answer.reason().kind.name().toLowerCase(java.util.Locale.ROOT))
        .addKeyValue("reason", answer.reason().word())
        .addKeyValue("ms", (call.endedAt() - call.facts().takenAt()) / 1000)
        .log("call");
  }

  /** A delivery was answered from the ledger, without a call of its own. */
  public void answeredFromLedger(String message, Reason reason, long micros) {
    counts.get(reason).increment();
    CALLS
        .atInfo()
        .addKeyValue("id", message)
        .addKeyValue("reason", reason.word())
        .addKeyValue("ms", micros / 1000)
        .log("not taken");
  }

  /** The answer to a request was handed to the operating system; a late one is logged with its timeline. */
  void answerWritten(String message, Reason reason, RequestTimeline times) {
    ruleLog.answered(message, times.deadline() + times.lateness(), times.deadline(), times);
    if (times.lateness() > MAX_LATE_MICROS) {
      CALLS
          .atWarn()
          .addKeyValue("id", message)
          .addKeyValue("reason", reason.word())
          .addKeyValue("late_ms", times.lateness() / 1000)
          .addKeyValue("steps", times)
          .log("answered too late");
    }
  }

  /** Counts a refusal that is logged elsewhere. */
  void countRefusal(Reason reason) {
    counts.get(reason).increment();
  }

  /** A request was rejected before it could become a call. */
  public void rejected(InetSocketAddress peer, Reason reason, String detail) {
    counts.get(reason).increment();
    CALLS
        .atInfo()
        .addKeyValue("peer", peer)
        .addKeyValue("reason", reason.word())
        .addKeyValue("detail", detail)
        .log("rejected");
  }

  /** Returns the counts since the start: accepted calls, and each reason that occurred. */
  public Map<String, Long> counts() {
    Map<String, Long> all = new java.util.LinkedHashMap<>();
    all.put("taken", accepted.sum());
    counts.forEach((reason, count) -> {
      if (count.sum() > 0) {
        all.put(reason.word(), count.sum());
      }
    });
    return all;
  }
}
