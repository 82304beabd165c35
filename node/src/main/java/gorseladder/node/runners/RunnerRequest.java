package gorseladder.node.runners;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Outcome;
import gorseladder.attempts.AttemptOutcomes;
import gorseladder.attempts.AttemptOutcomes.Ending;
import gorseladder.attempts.AttemptOutcomes.Progress;
import gorseladder.attempts.ConnectionChoice;
import gorseladder.node.NodeCall;
import gorseladder.permits.ClientView;
import gorseladder.permits.Verdict;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Watchdog;
import gorseladder.stalls.StallWatch;
import gorseladder.wire.runner.AnswerParser.Answer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A request to a runner, answered under an id: an attempt or a load order. All its steps are made under its own lock:
 * it is assigned to one connection at a time, sent at most once, and ends in exactly one report. So its end and the
 * sending of its bytes cannot interleave: whichever comes first is visible to the other.
 *
 * <p>The end of a request that is given up after it was sent is reported only once its halt is written. Until then it
 * is in flight, and another attempt of the same call would run at the same time.
 *
 * <p>Lock order: the gate, the request, its call. Thread safe.
 */
abstract class RunnerRequest {
  private static final Logger LOG = LoggerFactory.getLogger(RunnerRequest.class);
  /** Limits how often a request moves to another connection, for a runner that closes every connection. */
  private static final int MAX_MOVES = 3;

  final RunnerLinks links;
  private final String worker;
  private final long createdAt = Clock.micros();
  private Watchdog.Timer timer;
  /** When the request times out. */
  private long deadline = Long.MAX_VALUE / 2;

  private LinkConnection connection;
  private Progress progress = Progress.CONNECTING;
  private long sentAt;
  /** Total bytes written on its connection up to the end of this request; 0 before it is written. */
  private volatile long writtenUpTo;

  private int moveCount;
  private boolean ended;

  RunnerRequest(RunnerLinks links, String worker) {
    this.links = links;
    this.worker = worker;
  }

  final String worker() {
    return worker;
  }

  final long createdAt() {
    return createdAt;
  }

  /** When sending began; 0 before. */
  final synchronized long sentAt() {
    return sentAt;
  }

  /** Records the total bytes written on its connection up to the end of this request. */
  final void writtenUpTo(long count) {
    writtenUpTo = count;
  }

  /** Total bytes written on its connection up to the end of this request; 0 before it is written. */
  final long writtenUpTo() {
    return writtenUpTo;
  }

  /** The time until its deadline. */
  final synchronized long remaining(long now) {
    return deadline - now;
  }

  /** The id that an answer refers to. */
  abstract String id();

  /** Approximate number of its bytes. */
  abstract int size();

  /** The call it belongs to; null for a load order. */
  abstract NodeCall call();

  /** What a repeat of the request does. */
  abstract Effect effect();

  /** What is known of the client of its call; called without a lock. */
  abstract ClientView clientView(long now);

  /** The check just before sending; called with the gate's lock and its own held. */
  abstract Verdict maySend(ClientView client, long now);

  /** Returns the bytes to write. */
  abstract byte[] encode(long now);

  /** Called when its bytes were written; on any thread. */
  void written(long now) {
    LOG.debug("request={} worker={} left {} us ago", id(), worker, now - sentAt());
  }

  /** The command that cancels it after it was sent; null if it cannot be cancelled. */
  abstract byte[] halt();

  /** The outcome that an answer means; null if the answer cannot be read. */
  abstract Outcome outcome(Answer answer);

  /** Reports its end, once. {@code answer} is null if there was none. */
  abstract void report(Outcome outcome, Answer answer);

  /** Sets the deadline and the timer that ends the request then. */
  final synchronized void setDeadline(Watchdog.Timer timer, long deadline) {
    this.timer = timer;
    this.deadline = deadline;
    if (ended) {
      timer.cancel();
    }
  }

  /** Sets the connection that is to carry it, before the hand-over; only that one may send it. */
  final synchronized void assignTo(LinkConnection carrier) {
    connection = carrier;
  }

  final synchronized boolean isEnded() {
    return ended;
  }

  /**
   * Makes the check just before sending, for the connection that is about to write the request. Returns the bytes, or
   * null if it must not be sent; nothing but the write may follow the check.
   */
  final byte[] startSending(LinkConnection carrier) {
    Verdict verdict;
    long now;
    ClientView client = clientView(Clock.micros());
    synchronized (links.gate()) {
      synchronized (this) {
        if (ended || carrier != connection || progress != Progress.CONNECTING) {
          return null;
        }
        now = Clock.micros();
        verdict = maySend(client, now);
        if (verdict.allowed()) {
          progress = Progress.SENDING;
          sentAt = now;
        }
      }
    }
    if (verdict.allowed()) {
      return encode(now);
    }
    LOG.debug("request={} worker={} held back: {}", id(), worker, verdict.word());
    links.countDenied(verdict);
    if (verdict == Verdict.CLIENT_UNSEEN) {
      postpone(carrier);
    } else {
      giveUp(AttemptOutcomes.endingOfDenied(verdict));
    }
    if (verdict == Verdict.CLIENT_GONE) {
      call().clientGone();
    }
    return null;
  }

  /** Tries to send it again later, on any connection. */
  private void postpone(LinkConnection carrier) {
    synchronized (this) {
      if (ended || carrier != connection) {
        return;
      }
      connection = null;
    }
    carrier.drop(this);
    if (call() != null) {
      call().release(carrier);
    }
    links.after(StallWatch.SETTLE_MICROS, () -> links.submitOrRetry(this));
  }

  /** Ends the request with its answer; called on the connection's thread. */
  final void answerReceived(Answer answer) {
    Outcome outcome = outcome(answer);
    if (outcome == null) {
      giveUp(Ending.MALFORMED);
      return;
    }
    synchronized (this) {
      if (!markEnded()) {
        return;
      }
    }
    LOG.debug("request={} worker={} answered: {}", id(), worker, outcome);
    report(outcome, answer);
  }

  /**
   * Called when a connection that carried it ends. What was not sent moves to another connection: only the connection
   * failed.
   */
  final void connectionEnded(LinkConnection carrier, Ending ending) {
    boolean moves;
    synchronized (this) {
      if (ended || carrier != connection) {
        return;
      }
      moves = progress == Progress.CONNECTING
          && ending != Ending.CONNECT_FAILED
          && moveCount++ < MAX_MOVES;
      if (moves) {
        connection = null;
      }
    }
    if (moves && ending == Ending.NO_RESOURCE) {
      links.retryLater(this, ending);
    } else if (!moves || !links.submit(this)) {
      giveUp(ending);
    }
  }

  /** Ends it without an answer: cancelled, timed out, or its connection broke. */
  final void giveUp(Ending ending) {
    Outcome outcome;
    LinkConnection carrier;
    boolean sent;
    synchronized (this) {
      // Progress is read in the same step that ends the request: bytes sent in between would count
      // as never sent.
      if (!markEnded()) {
        return;
      }
      sent = progress == Progress.SENDING;
      outcome = AttemptOutcomes.ofUnanswered(progress, ending);
      carrier = connection;
    }
    LOG.debug("request={} worker={} given up: {}, {}", id(), worker, ending, outcome);
    if (carrier != null && sent) {
      carrier.abandon(
          this,
          halt(),
          ConnectionChoice.remainsUsable(sentAt, carrier.heardAt(), Clock.micros()),
          () -> report(outcome, null));
      return;
    }
    if (carrier != null) {
      carrier.drop(this);
    }
    report(outcome, null);
  }

  /** Marks the request as ended; false if it already was. The caller holds the lock. */
  private boolean markEnded() {
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
