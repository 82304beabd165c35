package gorseladder.node.runners;

import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Outcome;
import gorseladder.core.Call;
import gorseladder.core.Core.AttemptEnd;
import gorseladder.gate.SendGate;
import gorseladder.node.NodeCall;
import gorseladder.permits.Verdict;
import gorseladder.platform.PlatformAnswers;
import gorseladder.rules.RuleWatch.Written;
import gorseladder.wire.runner.AnswerParser.Answer;
import gorseladder.wire.runner.Commands;
import java.util.Map;

/** One attempt on its way. Any thread. */
final class AttemptRequest extends RunnerRequest {
  private final NodeCall call;
  private final int number;
  private final long until;
  private volatile long timePassed;

  AttemptRequest(RunnerLinks links, NodeCall call, int number, String worker, long until) {
    super(links, worker);
    this.call = call;
    this.number = number;
    this.until = until;
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
  Verdict mayLeave(long now) {
    SendGate gate = links.gate();
    Call.SendConditions look = new Call.SendConditions(
        until,
        !gate.maySendCall(worker()),
        gate.restartedSince(worker(), call.attempt(number).listUpdatesAtDecision()),
        Math.max(call.clientSeenFrom(), links.clientsSeenFrom(now)),
        links.mayDuplicate());
    return call.trySend(number, look, now);
  }

  @Override
  byte[] bytes(long now) {
    timePassed = Math.max(1, (until - now) / 1000);
    return Commands.go(
        id(),
        call.facts().requestClass().name(),
        call.facts().function(),
        timePassed,
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
                leftAt(),
                now,
                drainToldAt,
                gate.drainGrace(),
                restartToldAt,
                attempt.decidedAt(),
                call.endedAt(),
                timePassed * 1_000,
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
    boolean heard = answer != null;
    CopyStatus note = heard && links.tellsNote()
        ? PlatformAnswers.note(answer.fields().get("remark"))
        : CopyStatus.NONE;
    int crowd = heard
        ? PlatformAnswers.crowd(outcome, links.tellsCrowd() ? answer.fields().get("depth") : null)
        : -1;
    byte[] body = heard && outcome == Outcome.OK ? answer.body() : null;
    links.ended(this, new AttemptEnd<>(call, number, outcome, body, note, crowd, Map.of()));
  }
}
