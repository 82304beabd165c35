package gorseladder.scale;

import gorseladder.Router;
import gorseladder.RouterApi.Action;
import gorseladder.RouterApi.Answer;
import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.Request;
import gorseladder.RouterApi.Send;
import gorseladder.RouterApi.SetTimer;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.TellPeers;
import gorseladder.RouterApi.TimerDue;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.platform.PlatformList;
import gorseladder.runtime.Clock;
import gorseladder.starts.StartTimes;
import gorseladder.starts.StartTimes.ClockReading;
import gorseladder.wire.changelog.ChangeLine;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A dispatcher without sockets: the real router and the real handling of change log lines, on a simulated clock that
 * the caller advances. Every call is served after {@link #SERVICE_MICROS}. Not thread safe.
 */
final class HollowDispatcher {
  /** Duration of every call at its worker. */
  static final long SERVICE_MICROS = 50_000;

  private static final String SWEEP_TOKEN = "sweep";
  private static final long NEVER = Long.MAX_VALUE;

  private record Attempt(long id, int number, String worker, long sentAt) {}

  private final Router router;
  private final StartTimes starts = new StartTimes();
  private final ArrayDeque<Attempt> inFlight = new ArrayDeque<>();
  private final Map<Long, Integer> attemptCounts = new HashMap<>();
  private final Set<String> contacted = new HashSet<>();
  private long now;
  private long sweepAt = NEVER;
  private long messagesOut;
  private long bytesIn;
  private String firstWorker;

  HollowDispatcher(Settings settings, long seed, long startMicros) {
    router = new Router(settings, seed);
    now = startMicros;
  }

  /** Reads a change log line and passes it to the router; a malformed line is an error. */
  void changeLogLine(byte[] line) {
    bytesIn += line.length + 1;
    ChangeLine.Fleet change = ChangeLine.read(line).fleet();
    ClockReading clockReading = new ClockReading(Clock.micros(), Clock.wallMicros());
    List<WorkerEntry> entries = change.targets().stream()
        .map(target -> PlatformList.ofChangeLog(
            target,
            (uid, stamp) -> starts.startedAt(uid, stamp, clockReading, StartTimes.ALWAYS_LISTED)))
        .toList();
    router.on(
        now,
        new WorkerListUpdate(change.all() ? ListKind.FULL : ListKind.DELTA, entries),
        this::carryOut);
  }

  /** Accepts a call; returns the worker of its first attempt, null if the call waits. */
  String call(long id, String requestClass, String function) {
    firstWorker = null;
    long deadline = 60 * SERVICE_MICROS;
    router.on(
        now,
        new Request(id, requestClass, "", function, deadline, 0, 10, 1, 0, false),
        this::carryOut);
    return firstWorker;
  }

  /** Advances the clock and delivers the answers and sweeps that are due by then. */
  void advanceTo(long micros) {
    while (nextDue() <= micros) {
      now = Math.max(now, nextDue());
      if (sweepAt <= now) {
        sweepAt = NEVER;
        router.on(now, new TimerDue(SWEEP_TOKEN), this::carryOut);
      } else {
        answer(inFlight.removeFirst());
      }
    }
    now = micros;
  }

  private long nextDue() {
    long answerAt = inFlight.isEmpty() ? NEVER : inFlight.peekFirst().sentAt() + SERVICE_MICROS;
    return Math.min(answerAt, sweepAt);
  }

  private void answer(Attempt attempt) {
    attemptCounts.remove(attempt.id());
    router.on(
        now,
        new Answer(
            attempt.id(),
            attempt.number(),
            attempt.worker(),
            Outcome.OK,
            true,
            now - attempt.sentAt(),
            CopyStatus.WARM,
            0,
            Map.of()),
        this::carryOut);
  }

  private void carryOut(Action action) {
    if (action instanceof Send send) {
      int number = attemptCounts.merge(send.id(), 1, Integer::sum) - 1;
      inFlight.addLast(new Attempt(send.id(), number, send.worker(), now));
      contacted.add(send.worker());
      firstWorker = firstWorker == null ? send.worker() : firstWorker;
    } else if (action instanceof SetTimer timer && timer.token().equals(SWEEP_TOKEN)) {
      sweepAt = now + timer.delay();
    } else if (action instanceof TellPeers) {
      messagesOut++;
    }
  }

  /** Number of messages to the other dispatchers so far, each counted once for all receivers. */
  long messagesOut() {
    return messagesOut;
  }

  /** Bytes of the change log read so far. */
  long bytesIn() {
    return bytesIn;
  }

  /** Number of distinct workers that calls were sent to so far; each needs a connection. */
  int workersContacted() {
    return contacted.size();
  }

  /** Number of calls so far that searched a part of the whole fleet. */
  long fallThroughs() {
    return router.fallThroughs();
  }

  /** Number of workers that the router examined so far. */
  long workersExamined() {
    return router.workersExamined();
  }
}
