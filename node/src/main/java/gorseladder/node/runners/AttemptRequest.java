package gorseladder.node.runners;

import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Outcome;
import gorseladder.core.Call;
import gorseladder.core.Core.AttemptEnd;
import gorseladder.gate.SendGate;
import gorseladder.node.NodeCall;
import gorseladder.permits.ClientView;
import gorseladder.permits.Verdict;
import gorseladder.platform.PlatformAnswers;
import gorseladder.rules.RuleWatch.Written;
import gorseladder.wire.runner.AnswerParser.Answer;
import gorseladder.wire.runner.Commands;
import java.util.Map;

/** Sends one attempt of a call and reports its end. Thread safe. */
final class AttemptRequest extends RunnerRequest {
  private final NodeCall call;
  private final int number;
  private final long deadline;
  private volatile long timeoutMillis;

  AttemptRequest(RunnerLinks links, NodeCall call, int number, String worker, long deadline) {
    super(links, worker);
    this.call = call;
    this.number = number;
    this.deadline = deadline;
  }

  @Override
  NodeCall call() {
    return call;
  }

  int number() {
    return number;
  }

  @Override
  Effect effect() {
    return call.facts().requestClass().effect();
  }

  @Override
  String id() {
    return call.facts().message();
  }

  @Override
  int size() {
    return call.facts().body().length + 128;
  }

  @Override
  ClientView clientView(long now) {
    return call.clientView(now);
  }

  @Override
  Verdict maySend(ClientView client, long now) {
    SendGate gate = links.gate();
    Call.SendConditions conditions = new Call.SendConditions(
        deadline,
        !gate.maySendCall(worker()),
        gate.restartedSince(worker(), call.attempt(number).listUpdatesAtDecision()),
        Math.max(call.clientSeenFrom(), links.clientsKnownSince(now)),
        links.mayDuplicate(),
        client);
    return call.trySend(number, conditions, now);
  }

  @Override
  byte[] encode(long now) {
    timeoutMillis = Math.max(1, (deadline - now) / 1000);
    return Commands.go(
        id(),
        call.facts().requestClass().name(),
        call.facts().function(),
        timeoutMillis,
        call.idempotencyKey(),
        call.facts().body());
  }

  @Override
  void written(long now) {
    super.written(now);
    SendGate gate = links.gate();
    long drainToldAt;
    long restartToldAt;
    synchronized (gate) {
      drainToldAt = gate.drainToldAt(worker());
      restartToldAt = gate.restartToldAt(worker());
    }
    Call.Attempt attempt = call.attempt(number);
    links
        .rules()
        .written(
            id(),
            new Written(
                sentAt(),
                now,
                drainToldAt,
                gate.drainGrace(),
                restartToldAt,
                attempt.decidedAt(),
                call.endedAt(),
                timeoutMillis * 1_000,
                call.facts().deadlineAt(),
                effect(),
                call.facts().requestClass().repeatWindow(),
                links.mayDuplicate(),
                call.otherSentAttempts(number)));
  }

  @Override
  byte[] halt() {
    return Commands.halt(id());
  }

  @Override
  Outcome outcome(Answer answer) {
    return PlatformAnswers.outcome(answer.status());
  }

  @Override
  void report(Outcome outcome, Answer answer) {
    boolean answered = answer != null;
    CopyStatus copyStatus = answered && links.reportsCopyStatus()
        ? PlatformAnswers.copyStatus(answer.fields().get("remark"))
        : CopyStatus.NONE;
    int concurrency = answered
        ? PlatformAnswers.concurrency(
            outcome, links.reportsConcurrency() ? answer.fields().get("depth") : null)
        : -1;
    byte[] body = answered && outcome == Outcome.OK ? answer.body() : null;
    links.attemptEnded(
        this, new AttemptEnd<>(call, number, outcome, body, copyStatus, concurrency, Map.of()));
  }
}
