package gorseladder.node.runners;

import gorseladder.RouterApi.Loaded;
import gorseladder.RouterApi.Outcome;
import gorseladder.attempts.AttemptFate;
import gorseladder.attempts.AttemptFate.Ending;
import gorseladder.attempts.AttemptFate.Progress;
import gorseladder.platform.PlatformAnswers;
import gorseladder.runtime.Clock;
import gorseladder.wire.runner.AnswerParser.Answer;
import gorseladder.wire.runner.Commands;

/** One order to hold copies; it ends in exactly one report to the core. Any thread. */
final class LoadOrder implements LinkConnection.Errand {
  private final RunnerLinks links;
  private final String tag;
  private final String worker;
  private final String function;
  private final int copies;
  private final long began = Clock.micros();
  private Progress progress = Progress.CONNECTING;
  private boolean ended;

  LoadOrder(RunnerLinks links, String tag, String worker, String function, int copies) {
    this.links = links;
    this.tag = tag;
    this.worker = worker;
    this.function = function;
    this.copies = copies;
  }

  @Override
  public String id() {
    return tag;
  }

  @Override
  public int size() {
    return 128;
  }

  @Override
  public byte[] take() {
    boolean open;
    synchronized (links.gate()) {
      open = links.gate().orderMayLeave(worker, Clock.micros());
    }
    if (!open) {
      end(Outcome.MOOT, 0);
      return null;
    }
    synchronized (this) {
      progress = Progress.LEAVING;
    }
    return Commands.stage(tag, function, copies);
  }

  @Override
  public void answered(Answer answer) {
    Outcome outcome = PlatformAnswers.outcome(answer.word());
    end(outcome == null ? Outcome.ERROR : outcome, PlatformAnswers.count(answer.fields().get("pods")));
  }

  @Override
  public void broken(Ending ending) {
    Progress reached;
    synchronized (this) {
      reached = progress;
    }
    end(AttemptFate.ofUnanswered(reached, ending), 0);
  }

  private void end(Outcome outcome, int stand) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
    }
    links.loaded(new Loaded(worker, function, stand, outcome, Clock.micros() - began));
  }
}
