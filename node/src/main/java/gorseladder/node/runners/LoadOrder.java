package gorseladder.node.runners;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Loaded;
import gorseladder.RouterApi.Outcome;
import gorseladder.node.NodeCall;
import gorseladder.permits.Verdict;
import gorseladder.platform.PlatformAnswers;
import gorseladder.runtime.Clock;
import gorseladder.wire.runner.AnswerParser.Answer;
import gorseladder.wire.runner.Commands;

/** One order to hold copies. Any thread. */
final class LoadOrder extends RunnerRequest {
  private final String tag;
  private final String function;
  private final int copies;
  private final long decidedWith;

  LoadOrder(
      RunnerLinks links, String tag, String worker, String function, int copies, long decidedWith) {
    super(links, worker);
    this.tag = tag;
    this.function = function;
    this.copies = copies;
    this.decidedWith = decidedWith;
  }

  @Override
  String id() {
    return tag;
  }

  @Override
  int size() {
    return 128;
  }

  @Override
  NodeCall call() {
    return null;
  }

  @Override
  Effect effect() {
    return Effect.SAFE;
  }

  @Override
  Verdict mayLeave(long now) {
    return links.gate().maySendLoadOrder(worker(), decidedWith, now);
  }

  @Override
  byte[] bytes(long now) {
    return Commands.stage(tag, function, copies);
  }

  /** An order stands once it has left. */
  @Override
  byte[] halt() {
    return null;
  }

  @Override
  Outcome outcome(Answer answer) {
    Outcome outcome = PlatformAnswers.outcome(answer.status());
    return outcome == null ? Outcome.ERROR : outcome;
  }

  @Override
  void report(Outcome outcome, Answer answer) {
    int stand = answer == null ? 0 : PlatformAnswers.count(answer.fields().get("pods"));
    links.loaded(new Loaded(worker(), function, stand, outcome, Clock.micros() - began()));
  }
}
