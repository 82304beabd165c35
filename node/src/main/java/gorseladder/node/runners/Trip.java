package gorseladder.node.runners;

import gorseladder.RouterApi.Note;
import gorseladder.RouterApi.Outcome;
import gorseladder.attempts.AttemptFate;
import gorseladder.attempts.AttemptFate.Ending;
import gorseladder.attempts.AttemptFate.Progress;
import gorseladder.attempts.ConnectionChoice;
import gorseladder.core.Core.AttemptEnd;
import gorseladder.node.NodeCall;
import gorseladder.platform.PlatformAnswers;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Watchdog;
import gorseladder.wire.runner.AnswerParser.Answer;
import gorseladder.wire.runner.Commands;
import java.util.Map;

/** One attempt on its way; it ends in exactly one report to the core. Any thread. */
final class Trip implements LinkConnection.Errand {
  private final RunnerLinks links;
  private final NodeCall call;
  private final int number;
  private final String worker;
  private final long until;
  private Watchdog.Timer timer;
  private LinkConnection connection;
  private Progress progress = Progress.CONNECTING;
  private long leftAt;
  private boolean ended;

  Trip(RunnerLinks links, NodeCall call, int number, String worker, long until) {
    this.links = links;
    this.call = call;
    this.number = number;
    this.worker = worker;
    this.until = until;
  }

  NodeCall call() {
    return call;
  }

  int number() {
    return number;
  }

  String worker() {
    return worker;
  }

  /** Has it ended by its time at the latest. */
  synchronized void guard(Watchdog.Timer by) {
    timer = by;
    if (ended) {
      by.cancel();
    }
  }

  @Override
  public synchronized void on(LinkConnection carrier) {
    connection = carrier;
  }

  @Override
  public String id() {
    return call.facts().message();
  }

  @Override
  public int size() {
    return call.facts().body().length + 128;
  }

  /** The last look; nothing but the write itself comes after it. */
  @Override
  public byte[] take() {
    synchronized (this) {
      if (ended) {
        return null;
      }
    }
    Ending stopped = null;
    long now;
    synchronized (links.gate()) {
      now = Clock.micros();
      if (!links.gate().callMayLeave(worker)) {
        stopped = Ending.GATE_CLOSED;
      } else {
        synchronized (this) {
          if (ended) {
            return null;
          }
          if (now >= until || !call.leave(number)) {
            stopped = Ending.CALL_OVER;
          } else {
            progress = Progress.LEAVING;
            leftAt = now;
          }
        }
      }
    }
    if (stopped != null) {
      giveUp(stopped);
      return null;
    }
    return Commands.go(id(), call.facts().requestClass().name(), call.facts().function(), Math.max(1, (until - now) / 1000),
        call.key(), call.facts().body());
  }

  @Override
  public void answered(Answer answer) {
    Outcome outcome = PlatformAnswers.outcome(answer.word());
    if (outcome == null) {
      broken(Ending.MALFORMED);
      return;
    }
    Note note = links.tellsNote() ? PlatformAnswers.note(answer.fields().get("remark")) : Note.NONE;
    int crowd = PlatformAnswers.crowd(outcome, links.tellsCrowd() ? answer.fields().get("depth") : null);
    if (end()) {
      links.ended(this, new AttemptEnd<>(call, number, outcome, outcome == Outcome.OK ? answer.body() : null, note, crowd,
          Map.of()));
    }
  }

  /** Its connection ended. What was not written is sent on another one, since it is only the connection that failed. */
  @Override
  public void broken(Ending ending) {
    boolean unsent;
    synchronized (this) {
      unsent = !ended && progress == Progress.CONNECTING && ending != Ending.CONNECT_FAILED;
    }
    if (!unsent || !links.carryAgain(this)) {
      giveUp(ending);
    }
  }

  /** Ends it without an answer: cancelled, out of time, or its connection broke. */
  void giveUp(Ending ending) {
    Outcome outcome;
    LinkConnection carrier;
    boolean left;
    synchronized (this) {
      left = progress == Progress.LEAVING;
      outcome = AttemptFate.ofUnanswered(progress, ending);
      carrier = connection;
    }
    if (!end()) {
      return;
    }
    if (carrier != null && left) {
      carrier.abandon(this, Commands.halt(id()), ConnectionChoice.carriesOn(leftAt, carrier.heardAt(), Clock.micros()));
    } else if (carrier != null) {
      carrier.drop(this);
    }
    links.ended(this, new AttemptEnd<>(call, number, outcome, null, Note.NONE, -1, Map.of()));
  }

  private synchronized boolean end() {
    if (ended) {
      return false;
    }
    ended = true;
    if (timer != null) {
      timer.cancel();
    }
    return true;
  }
}
