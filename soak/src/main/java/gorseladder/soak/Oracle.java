package gorseladder.soak;

import gorseladder.soak.Evidence.Attempt;
import gorseladder.soak.Evidence.ClientRequest;
import gorseladder.soak.Evidence.ProcessRun;
import gorseladder.testbed.platform.PlatformRunner;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Judges a soak by its evidence: what was seen on sockets, and how processes started and ended. Where the soak itself
 * may be the cause (it cut a connection, delayed bytes or killed a process), the oracle reports nothing rather than
 * guess. It has no side effects.
 */
final class Oracle {
  private static final long MICROS_PER_MILLI = 1_000;
  /**
   * The slack that the platform grants on every limit, plus a little for threads of the soak that wait for a processor.
   */
  private static final long SLACK_MICROS = 50 * MICROS_PER_MILLI;

  private static final long SOAK_SLACK_MICROS = 30 * MICROS_PER_MILLI;
  private static final long ANSWER_SLACK_MICROS = 500 * MICROS_PER_MILLI;
  private static final long CLIENT_GONE_SLACK_MICROS = 100 * MICROS_PER_MILLI;
  private static final long DEADLINE_SLACK_MICROS = 150 * MICROS_PER_MILLI;
  /** A process takes the last steps of its stop within this time before the earliest kill. */
  private static final long EXIT_WINDOW_MICROS = 500 * MICROS_PER_MILLI;
  /**
   * Where the soak's own stalls within {@link #EXIT_WINDOW_MICROS} exceed this, a process cannot be said to have ended
   * too late.
   */
  private static final long MAX_STALLS_AT_EXIT_MICROS = 100 * MICROS_PER_MILLI;
  /** The longest time from the start of sending a signal to its effect. */
  private static final long MAX_SIGNAL_DELAY_MICROS = 200 * MICROS_PER_MILLI;
  /** Every announcement of the change log counts as delivered this long after a trouble of the log began. */
  private static final long LOG_RECOVERY_MICROS = 4_000 * MICROS_PER_MILLI;
  /**
   * A request sent within this time before its connection ended may have crossed that end: the client has to repeat it.
   */
  private static final long CROSSING_MICROS = 50 * MICROS_PER_MILLI;

  private static final long READY_TIMEOUT_MICROS = 30_000 * MICROS_PER_MILLI;
  /** The start or drain of a runner, as the change log announced it. */
  record RunnerChange(String uid, SoakRunner runner, long at, boolean draining, long startedAt) {}

  private final Evidence evidence;
  private final List<RunnerChange> changes;
  private final List<Finding> findings = new ArrayList<>();
  private final Set<String> heldInTheWrite = new HashSet<>();
  private int endsNotJudged;

  private Oracle(Evidence evidence, List<RunnerChange> changes) {
    this.evidence = evidence;
    this.changes = changes;
  }

  /**
   * The findings, and what was counted but not judged.
   *
   * @param findings every violation of a rule, ordered by time
   * @param heldInTheWrite ids of requests with an attempt whose dispatcher was paused between its last check and the
   *     write of the bytes: no program can check later than that, so the attempt is counted and not judged
   * @param endsNotJudged processes that were still running at the earliest kill while the machine stalled
   */
  record Judgement(List<Finding> findings, Set<String> heldInTheWrite, int endsNotJudged) {}

  /** Checks the evidence against every rule. */
  static Judgement judge(Evidence evidence, List<RunnerChange> changes) {
    Oracle oracle = new Oracle(evidence, changes);
    evidence.requests().forEach(oracle::checkRequest);
    evidence.attempts().forEach(oracle::checkAttempt);
    oracle.checkSlowStarts();
    evidence.processRuns().forEach(oracle::checkProcessRun);
    oracle.findings.sort(Comparator.comparingLong(Finding::at));
    return new Judgement(oracle.findings, oracle.heldInTheWrite, oracle.endsNotJudged);
  }

  private void report(SoakRule rule, long at, int dispatcher, String text, Object... values) {
    findings.add(new Finding(rule, at, dispatcher, text.formatted(values)));
  }

  // ---- requests

  private void checkRequest(ClientRequest request) {
    synchronized (request) {
      if (request.sentAt == 0) {
        return;
      }
      checkAnswer(request);
      checkEffects(request);
    }
  }

  private void checkAnswer(ClientRequest request) {
    long until = request.sentAt + request.timeout;
    if (request.answerCount > 1) {
      report(
          SoakRule.FINAL_ANSWER,
          request.answeredAt,
          request.dispatcher,
          "request=%s got %d answers",
          request.id,
          request.answerCount);
    }
    if (request.answerCount > 0) {
      if (request.status == 200
          && !request.answer.equals(PlatformRunner.result(request.id, request.body))) {
        report(
            SoakRule.FINAL_ANSWER,
            request.answeredAt,
            request.dispatcher,
            "request=%s served with '%s'",
            request.id,
            request.answer);
      }
      long paused = evidence.pausedUntil(
          request.dispatcher, new Evidence.Span(request.sentAt, until + ANSWER_SLACK_MICROS));
      long latest = Math.max(until, paused)
          + ANSWER_SLACK_MICROS
          + SOAK_SLACK_MICROS
          + evidence.stallMonitor().maxDelay(request.sentAt, request.answeredAt);
      if (request.answeredAt > latest && request.clientGoneAt == 0 && !wasKilledDuring(request)) {
        report(
            SoakRule.FINAL_ANSWER,
            request.answeredAt,
            request.dispatcher,
            "request=%s answered %d ms after its time",
            request.id,
            (request.answeredAt - until) / MICROS_PER_MILLI);
      }
      return;
    }
    if (request.clientGoneAt > 0
        || wasKilledDuring(request)
        || request.connectionLostAt > 0
            && evidence.wasClientCut(request.dispatcher, request.connectionLostAt)) {
      return;
    }
    boolean endCrossed = request.connectionLostAt > 0
        && request.onReusedConnection
        && request.connectionLostAt - request.sentAt
            < CROSSING_MICROS
                + evidence.stallMonitor().maxDelay(request.sentAt, request.connectionLostAt);
    if (!endCrossed) {
      report(
          SoakRule.FINAL_ANSWER,
          until,
          request.dispatcher,
          "request=%s got no answer, %s; %d attempts",
          request.id,
          request.connectionLostAt > 0
              ? "its connection ended "
                  + (request.connectionLostAt - request.sentAt) / MICROS_PER_MILLI + " ms after it"
              : "its connection stands",
          evidence.attempts(request.id).size());
    }
  }

  /**
   * True where a trouble of the plan killed the request's dispatcher while the request was open; the kill that follows
   * a stop excuses nothing.
   */
  private boolean wasKilledDuring(ClientRequest request) {
    long until = request.sentAt + request.timeout + ANSWER_SLACK_MICROS;
    return evidence.processRuns().stream()
        .filter(run -> run.dispatcher() == request.dispatcher && run.killed())
        .anyMatch(run -> request.sentAt <= run.endedAt() + SLACK_MICROS && run.endedAt() <= until);
  }

  private void checkEffects(ClientRequest request) {
    if (request.callClass == CallClass.SAFE) {
      checkOverlaps(request);
      return;
    }
    checkOverlaps(request);
    Attempt first = null;
    for (Attempt attempt : attemptsInOrder(request.id)) {
      if (first != null) {
        boolean repeated = request.callClass == CallClass.UNSAFE
            || attempt.firstByteAt - attempt.maxProxyDelay - first.arrivedAt
                > CallClass.REPEAT_WINDOW_MICROS + SLACK_MICROS + SOAK_SLACK_MICROS;
        if (repeated) {
          report(
              SoakRule.EFFECT_ONCE,
              attempt.arrivedAt,
              request.dispatcher,
              "request=%s (%s) may have run at %s and was sent again after %d ms to %s",
              request.id,
              request.callClass.label(),
              first.runner.uid(),
              (attempt.arrivedAt - first.arrivedAt) / MICROS_PER_MILLI,
              attempt.runner.uid());
        }
      }
      first = first == null && !attempt.neverRan ? attempt : first;
    }
    if (request.callClass == CallClass.UNSAFE
        && request.answerCount > 0
        && request.refused()
        && first != null) {
      report(
          SoakRule.EFFECT_ONCE,
          request.answeredAt,
          request.dispatcher,
          "request=%s was refused as harmless and may have run at %s",
          request.id,
          first.runner.uid());
    }
  }

  private List<Attempt> attemptsInOrder(String id) {
    return evidence.attempts(id).stream()
        .sorted(Comparator.comparingLong(attempt -> attempt.arrivedAt))
        .toList();
  }

  /** Reports two attempts of a request that were in flight at the same time. */
  private void checkOverlaps(ClientRequest request) {
    Attempt previous = null;
    for (Attempt attempt : attemptsInOrder(request.id)) {
      if (previous != null) {
        long ended = previous.endedAt == 0 ? Long.MAX_VALUE : previous.endedAt;
        // The end of the previous attempt may have been delayed on its way to the runner.
        long tolerance = SLACK_MICROS
            + SOAK_SLACK_MICROS
            + evidence.stallMonitor().maxDelay(previous.arrivedAt, attempt.arrivedAt)
            + previous.runner.proxy().maxDelayAt(attempt.arrivedAt)
            + previous.maxProxyDelay;
        if (ended > attempt.arrivedAt + tolerance
            && previous.runner.proxy().maxDelayAt(previous.endedAt) == 0) {
          report(
              SoakRule.EFFECT_ONCE,
              attempt.arrivedAt,
              request.dispatcher,
              "request=%s was out at %s (until %s ms later) when it came to %s",
              request.id,
              previous.runner.uid(),
              ended == Long.MAX_VALUE
                  ? "never"
                  : Long.toString((ended - attempt.arrivedAt) / MICROS_PER_MILLI),
              attempt.runner.uid());
        }
      }
      previous = attempt;
    }
  }

  // ---- attempts

  private void checkAttempt(Attempt attempt) {
    ClientRequest request = evidence.request(attempt.id);
    if (request == null || request.sentAt == 0) {
      return;
    }
    if (isHeldInTheWrite(request, attempt)) {
      heldInTheWrite.add(attempt.id);
      return;
    }
    long maxDelay = attempt.maxProxyDelay
        + SOAK_SLACK_MICROS
        + evidence.stallMonitor().maxDelay(request.sentAt, attempt.arrivedAt);
    if (request.clientGoneAt > 0
        && attempt.firstByteAt - maxDelay > request.clientGoneAt + CLIENT_GONE_SLACK_MICROS) {
      report(
          SoakRule.CLIENT_GONE,
          attempt.arrivedAt,
          request.dispatcher,
          "request=%s came to %s %d ms after its client left",
          attempt.id,
          attempt.runner.uid(),
          (attempt.firstByteAt - request.clientGoneAt) / MICROS_PER_MILLI);
    }
    long timeLeft = request.sentAt + request.timeout - (attempt.arrivedAt - maxDelay);
    if (attempt.timePassed > Math.max(0, timeLeft) + DEADLINE_SLACK_MICROS) {
      report(
          SoakRule.DEADLINE,
          attempt.arrivedAt,
          request.dispatcher,
          "request=%s was passed with %d ms when its client had %d left",
          attempt.id,
          attempt.timePassed / MICROS_PER_MILLI,
          timeLeft / MICROS_PER_MILLI);
    }
    for (RunnerChange change : changes) {
      if (change.draining()
          && change.runner() == attempt.runner
          && isPastDrainGrace(change, attempt, request.dispatcher, maxDelay)) {
        report(
            SoakRule.DRAIN,
            attempt.arrivedAt,
            request.dispatcher,
            "request=%s came to %s %d ms after its drain was told",
            attempt.id,
            change.uid(),
            (attempt.firstByteAt - change.at()) / MICROS_PER_MILLI);
      }
    }
  }

  /**
   * True where the attempt arrived as its dispatcher resumed after a pause and carries the time that its client had
   * left when the pause began: the dispatcher made its last check before the pause. An attempt that was sent after the
   * pause carries a shorter time.
   */
  private boolean isHeldInTheWrite(ClientRequest request, Attempt attempt) {
    Evidence.Span pause = evidence.pauseBefore(request.dispatcher, attempt.firstByteAt);
    if (pause == null || request.sentAt >= pause.from() + MAX_SIGNAL_DELAY_MICROS) {
      return false;
    }
    // A signal takes effect some time after its sending starts, so the request may have arrived in
    // between.
    long leftThen = request.sentAt + request.timeout - Math.max(pause.from(), request.sentAt);
    return Math.abs(attempt.timePassed - leftThen) <= SLACK_MICROS;
  }

  /** True where the attempt arrived after the grace of the drain and before another runner took over the address. */
  private boolean isPastDrainGrace(
      RunnerChange drain, Attempt attempt, int dispatcher, long maxDelay) {
    long deliveredBy = evidence.deliveredBy(dispatcher, drain.at(), LOG_RECOVERY_MICROS);
    long next = changes.stream()
        .filter(other ->
            !other.draining() && other.runner() == drain.runner() && other.at() > drain.at())
        .mapToLong(
            other -> other.startedAt() == 0 ? other.at() : Math.min(other.at(), other.startedAt()))
        .min()
        .orElse(Long.MAX_VALUE);
    return attempt.arrivedAt < next
        && attempt.firstByteAt - maxDelay
            > deliveredBy + SoakConfig.DRAIN_GRACE_MICROS + SLACK_MICROS;
  }

  // ---- slow start

  private void checkSlowStarts() {
    Map<SoakRunner, List<Attempt>> byRunner = new HashMap<>();
    evidence
        .attempts()
        .forEach(attempt -> byRunner
            .computeIfAbsent(attempt.runner, runner -> new ArrayList<>())
            .add(attempt));
    for (RunnerChange start : changes) {
      if (!start.draining() && start.startedAt() > 0 && !evidence.isLogTroubled(start.at())) {
        checkSlowStart(start, byRunner.getOrDefault(start.runner(), List.of()));
      }
    }
  }

  private void checkSlowStart(RunnerChange start, List<Attempt> all) {
    List<Attempt> after = all.stream()
        .filter(attempt -> attempt.arrivedAt >= start.at()
            && attempt.arrivedAt < start.startedAt() + SoakConfig.RAMP_MICROS)
        .sorted(Comparator.comparingLong(attempt -> attempt.arrivedAt))
        .toList();
    for (int from = 0, to = 0; to < after.size(); to++) {
      while (after.get(to).arrivedAt - after.get(from).arrivedAt
          > SoakConfig.OVERLOAD_WINDOW_MICROS) {
        from++;
      }
      int sent = to - from + 1;
      double limit = maxRequests(after.get(to).arrivedAt - start.startedAt());
      if (sent > limit) {
        report(
            SoakRule.SLOW_START,
            after.get(to).arrivedAt,
            -1,
            "%s got %d requests in 1.5 s, %.1f s after its start; its budget is %.0f",
            start.uid(),
            sent,
            (after.get(to).arrivedAt - start.startedAt()) / 1e6,
            limit);
        return;
      }
    }
  }

  /** The number of requests per window that a runner of this age can bear. */
  private static double maxRequests(long age) {
    double capacityFraction = SoakConfig.INITIAL_CAPACITY_FRACTION
        + (1 - SoakConfig.INITIAL_CAPACITY_FRACTION)
            * Math.min(1, age / (double) SoakConfig.RAMP_MICROS);
    double n = SoakRunner.REQUESTS_PER_SECOND
        * capacityFraction
        * SoakConfig.OVERLOAD_MULTIPLE
        * SoakConfig.OVERLOAD_WINDOW_MICROS
        / 1e6;
    return n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
  }

  // ---- processes

  private void checkProcessRun(ProcessRun run) {
    if (run.readyAt() == 0 || run.readyAt() - run.startedAt() > READY_TIMEOUT_MICROS) {
      report(SoakRule.READY, run.startedAt(), run.dispatcher(), "was not ready in time");
    }
    if (run.killed()) {
      return;
    }
    if (run.endAskedAt() == 0 || run.exitCode() != 0) {
      boolean overdue = run.exitCode() == SoakDispatcher.OVERDUE;
      if (overdue && machineStalled(run.endedAt())) {
        endsNotJudged++;
      } else if (!overdue || !wasPausedDuringStop(run)) {
        report(
            SoakRule.END,
            run.endedAt(),
            run.dispatcher(),
            overdue ? "had not ended at the earliest kill" : "ended with code %d",
            run.exitCode());
      }
    } else if (run.endedAt()
            - Math.max(
                run.endAskedAt(),
                evidence.pausedUntil(
                    run.dispatcher(), new Evidence.Span(run.endAskedAt(), run.endedAt())))
        > SoakConfig.MAX_DEADLINE_MICROS + SoakConfig.KILL_GRACE_MICROS + SOAK_SLACK_MICROS) {
      report(
          SoakRule.END,
          run.endedAt(),
          run.dispatcher(),
          "ended %d ms after it was told to",
          (run.endedAt() - run.endAskedAt()) / MICROS_PER_MILLI);
    }
  }

  /**
   * True where the soak itself got no processor for a while before the kill: then the process that was to end got none
   * either.
   */
  private boolean machineStalled(long killedAt) {
    return evidence.stallMonitor().maxDelay(killedAt - EXIT_WINDOW_MICROS, killedAt)
        > MAX_STALLS_AT_EXIT_MICROS;
  }

  /** True where the plan paused the process while it was stopping. */
  private boolean wasPausedDuringStop(ProcessRun run) {
    return evidence.pausedUntil(
            run.dispatcher(), new Evidence.Span(run.endAskedAt(), run.endedAt()))
        > 0;
  }
}
