package gorseladder.node.runners;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Loaded;
import gorseladder.RouterApi.Outcome;
import gorseladder.node.NodeCall;
import gorseladder.permits.ClientView;
import gorseladder.permits.Verdict;
import gorseladder.platform.PlatformAnswers;
import gorseladder.runtime.Clock;
import gorseladder.wire.runner.AnswerParser.Answer;
import gorseladder.wire.runner.Commands;

/** Sends one order to hold copies of a function and reports its end. Thread safe. */
final class LoadOrder extends RunnerRequest {
  private final String tag;
  private final String function;
  private final int copies;
  private final long listUpdatesAtDecision;

  LoadOrder(
      RunnerLinks links,
      String tag,
      String worker,
      String function,
      int copies,
      long listUpdatesAtDecision) {
    super(links, worker);
    this.tag = tag;
    this.function = function;
    this.copies = copies;
    this.listUpdatesAtDecision = listUpdatesAtDecision;
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
  ClientView clientView(long now) {
    return ClientView.PRESENT;
  }

  @Override
  Verdict maySend(ClientView client, long now) {
    return links.gate().maySendLoadOrder(worker(), listUpdatesAtDecision, now);
  }

  @Override
  byte[] encode(long now) {
    return Commands.stage(tag, function, copies);
  }

  /** An order cannot be cancelled after it was sent. */
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
    int heldCopies = answer == null ? 0 : PlatformAnswers.count(answer.fields().get("pods"));
    links.loadEnded(
        new Loaded(worker(), function, heldCopies, outcome, Clock.micros() - createdAt()));
  }
}
