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

/** The line that each call ends with, and counts by the same words. What was not taken is counted apart. Any thread. */
public final class CallLog {
  private static final Logger CALLS = LoggerFactory.getLogger("gorseladder.calls");

  /** An answer handed over by more than this after its client's patience is told, in microseconds. */
  private static final long MAX_LATE_MICROS = 50_000;

  private final Map<Reason, LongAdder> counts = new EnumMap<>(Reason.class);
  private final LongAdder accepted = new LongAdder();
  private final RuleLog ruleLog;

  /** A log that has {@code rules} look at each answer that was handed over. */
  public CallLog(RuleLog ruleLog) {
    this.ruleLog = ruleLog;
    for (Reason reason : Reason.values()) {
      counts.put(reason, new LongAdder());
    }
  }

  /** A call was taken. */
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

  /** The answer to a request was handed to the system; one that came too late is told with all its steps. */
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

  /** A request was refused in a way that is told elsewhere; it is counted here. */
  void countRefusal(Reason reason) {
    counts.get(reason).increment();
  }

  /** A request was turned away before it could be a call. */
  public void rejected(InetSocketAddress peer, Reason reason, String detail) {
    counts.get(reason).increment();
    CALLS
        .atInfo()
        .addKeyValue("peer", peer)
        .addKeyValue("reason", reason.word())
        .addKeyValue("detail", detail)
        .log("rejected");
  }

  /** Counts since the start: taken, and each reason that occurred. */
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
