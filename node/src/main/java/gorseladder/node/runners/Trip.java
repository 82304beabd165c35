package gorseladder.node.runners;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Note;
import gorseladder.RouterApi.Outcome;
import gorseladder.attempts.AttemptFate.Ending;
import gorseladder.core.Core.AttemptEnd;
import gorseladder.node.NodeCall;
import gorseladder.platform.PlatformAnswers;
import gorseladder.wire.runner.AnswerParser.Answer;
import gorseladder.wire.runner.Commands;
import java.util.Map;

/** One attempt on its way. Any thread. */
final class Trip extends Errand {
  private final NodeCall call;
  private final int number;
  private final long until;

  Trip(RunnerLinks links, NodeCall call, int number, String worker, long until) {
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
  Ending mayLeave(long now) {
    if (!links.gate().callMayLeave(worker())) {
      return Ending.GATE_CLOSED;
    }
    return now >= until || !call.leave(number) ? Ending.CALL_OVER : null;
  }

  @Override
  byte[] bytes(long now) {
    return Commands.go(
        id(),
        call.facts().requestClass().name(),
        call.facts().function(),
        Math.max(1, (until - now) / 1000),
        call.key(),
        call.facts().body());
  }

  @Override
  byte[] halt() {
    return Commands.halt(id());
  }

  @Override
  Outcome outcome(Answer answer) {
    return PlatformAnswers.outcome(answer.word());
  }

  @Override
  void report(Outcome outcome, Answer answer) {
    boolean heard = answer != null;
    Note note = heard && links.tellsNote()
        ? PlatformAnswers.note(answer.fields().get("remark"))
        : Note.NONE;
    int crowd = heard
        ? PlatformAnswers.crowd(outcome, links.tellsCrowd() ? answer.fields().get("depth") : null)
        : -1;
    byte[] body = heard && outcome == Outcome.OK ? answer.body() : null;
    links.ended(this, new AttemptEnd<>(call, number, outcome, body, note, crowd, Map.of()));
  }
}
