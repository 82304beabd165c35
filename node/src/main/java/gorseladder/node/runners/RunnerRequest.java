package gorseladder.node.runners;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Outcome;
import gorseladder.attempts.AttemptOutcomes;
import gorseladder.attempts.AttemptOutcomes.Ending;
import gorseladder.attempts.AttemptOutcomes.Progress;
import gorseladder.attempts.ConnectionChoice;
import gorseladder.node.NodeCall;
import gorseladder.permits.Verdict;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Watchdog;
import gorseladder.stalls.StallWatch;
import gorseladder.wire.runner.AnswerParser.Answer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Something sent to a runner under an id that an answer may come for: an attempt or a load order. Its whole life stands
 * here, each step under its own lock: it is carried by one connection at a time, leaves at most once, and ends in
 * exactly one report. So an end and the leaving of its bytes cannot cross: whichever comes first, the other one sees
 * it.
 *
 * <p>One that is given up after it left is reported once that is on the wire: until then it is out, and another attempt
 * of the same call would be a second one at a time.
 *
 * <p>Lock order: the gate, then the request, then its call. Any thread.
 */
abstract class RunnerRequest {
  private static final Logger LOG = LoggerFactory.getLogger(RunnerRequest.class);
  /** Moves to another connection at the most: a peer that ends every connection must not be met again and again. */
  private static final int MOST_MOVES = 3;

  final RunnerLinks links;
  private final String worker;
  private final long began = Clock.micros();
  private Watchdog.Timer timer;
  /** When its time is over. */
  private long until = Long.MAX_VALUE / 2;

  private LinkConnection connection;
  private Progress progress = Progress.CONNECTING;
  private long leftAt;
  /** How many bytes its connection had written when the last of its own were; 0 before. */
  private volatile long writtenUpTo;

  private int moves;
  private boolean ended;

  RunnerRequest(RunnerLinks links, String worker) {
    this.links = links;
    this.worker = worker;
  }

  final String worker() {
    return worker;
  }

  /** When it was given to the links. */
  final long began() {
    return began;
  }

  /** When it left; 0 before. */
  final synchronized long leftAt() {
    return leftAt;
  }

  /** Notes how many bytes its connection had written in all when the last of its own were. */
  final void writtenUpTo(long count) {
    writtenUpTo = count;
  }

  /** That count; 0 before it was written. */
  final long writtenUpTo() {
    return writtenUpTo;
  }

  /** How much time it has left. */
  final synchronized long left(long now) {
    return until - now;
  }

  /** The id that its answer comes under. */
  abstract String id();

  /** About how many bytes it is. */
  abstract int size();

  /** The call it belongs to, or null. */
  abstract NodeCall call();

  /** What a repeat of it does. */
  abstract Effect effect();

  /** Asked last, with the gate's lock and its own held: whether it may leave. */
  abstract Verdict mayLeave(long now);

  /** The bytes to write. */
  abstract byte[] bytes(long now);

  /** Its bytes were written; any thread. */
  void written(long now) {
    LOG.debug("request={} worker={} left {} us ago", id(), worker, now - leftAt());
  }

  /** What gives it up once it was written; null where nothing does. */
  abstract byte[] halt();

  /** An answer came for it; the outcome, or null where it cannot be read. */
  abstract Outcome outcome(Answer answer);

  /** Hears its end, once. {@code answer} is null where there was none. */
  abstract void report(Outcome outcome, Answer answer);

  /** Has it ended by its time at the latest. */
  final synchronized void guard(Watchdog.Timer by, long at) {
    timer = by;
    until = at;
    if (ended) {
      by.cancel();
    }
  }

  /** Names the connection that is to carry it, before it does; only that one may let it leave. */
  final synchronized void on(LinkConnection carrier) {
    connection = carrier;
  }

  final synchronized boolean over() {
    return ended;
  }

  /**
   * The last look of the connection that is about to write it: the bytes, or null. Nothing but the write comes after
   * it.
   */
  final byte[] take(LinkConnection by) {
    Verdict verdict;
    long now;
    synchronized (links.gate()) {
      synchronized (this) {
        if (ended || by != connection || progress != Progress.CONNECTING) {
          return null;
        }
        now = Clock.micros();
        verdict = mayLeave(now);
        if (verdict.allowed()) {
          progress = Progress.SENDING;
          leftAt = now;
        }
      }
    }
    if (verdict.allowed()) {
      return bytes(now);
    }
    LOG.debug("request={} worker={} held back: {}", id(), worker, verdict.word());
    links.heldBack(verdict);
    if (verdict == Verdict.CLIENT_UNSEEN) {
      postpone(by);
    } else {
      giveUp(AttemptOutcomes.endingOfDenied(verdict));
    }
    return null;
  }

  /** Lets it leave a moment later, on whatever connection may carry it then. */
  private void postpone(LinkConnection by) {
    synchronized (this) {
      if (ended || by != connection) {
        return;
      }
      connection = null;
    }
    by.drop(this);
    if (call() != null) {
      call().release(by);
    }
    links.after(StallWatch.SETTLE_MICROS, () -> links.carryOrWait(this));
  }

  /** The answer; on the connection's thread. */
  final void answered(Answer answer) {
    Outcome outcome = outcome(answer);
    if (outcome == null) {
      giveUp(Ending.MALFORMED);
      return;
    }
    synchronized (this) {
      if (!end()) {
        return;
      }
    }
    LOG.debug("request={} worker={} answered: {}", id(), worker, outcome);
    report(outcome, answer);
  }

  /** A connection that carried it ended. What was not written moves to another one: only the connection failed. */
  final void broken(LinkConnection by, Ending ending) {
    boolean moves;
    synchronized (this) {
      if (ended || by != connection) {
        return;
      }
      moves = progress == Progress.CONNECTING
          && ending != Ending.CONNECT_FAILED
          && this.moves++ < MOST_MOVES;
      if (moves) {
        connection = null;
      }
    }
    if (moves && ending == Ending.NO_RESOURCE) {
      links.waitToBeCarried(this, ending);
    } else if (!moves || !links.carry(this)) {
      giveUp(ending);
    }
  }

  /** Ends it without an answer: cancelled, out of time, or its connection broke. */
  final void giveUp(Ending ending) {
    Outcome outcome;
    LinkConnection carrier;
    boolean left;
    synchronized (this) {
      // How far it got and that it is over are one step: bytes that leave between the two would
      // count as never sent.
      if (!end()) {
        return;
      }
      left = progress == Progress.SENDING;
      outcome = AttemptOutcomes.ofUnanswered(progress, ending);
      carrier = connection;
    }
    LOG.debug("request={} worker={} given up: {}, {}", id(), worker, ending, outcome);
    if (carrier != null && left) {
      carrier.abandon(
          this,
          halt(),
          ConnectionChoice.remainsUsable(leftAt, carrier.heardAt(), Clock.micros()),
          () -> report(outcome, null));
      return;
    }
    if (carrier != null) {
      carrier.drop(this);
    }
    report(outcome, null);
  }

  /** The lock is held. */
  private boolean end() {
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
