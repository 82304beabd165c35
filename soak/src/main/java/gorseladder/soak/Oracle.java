package gorseladder.soak;

import gorseladder.soak.Evidence.Arrived;
import gorseladder.soak.Evidence.Asked;
import gorseladder.soak.Evidence.Life;
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
 * may be the cause (it cut a connection, held bytes up, killed a process), the finding is left out rather than guessed.
 * Pure.
 */
final class Oracle {
  private static final long MILLI = 1_000;
  /** What the platform allows on every limit, and a little for threads of the soak that wait for a processor. */
  private static final long SLACK = 50 * MILLI;

  private static final long OWN_SLACK = 30 * MILLI;
  private static final long ANSWER_SLACK = 500 * MILLI;
  private static final long GONE_SLACK = 100 * MILLI;
  private static final long DEADLINE_SLACK = 150 * MILLI;
  /** The last steps of a stop come so long before the earliest kill. */
  private static final long END_TAKES = 500 * MILLI;
  /** Own stalls in that time past which a process cannot be said to have ended too late. */
  private static final long NO_PROCESSOR = 100 * MILLI;
  /** From the begin of sending a signal to its effect, at the most. */
  private static final long SIGNAL_TAKES = 200 * MILLI;
  /** What the change log has to tell counts as told so long after its trouble began. */
  private static final long TOLD_LATE = 4_000 * MILLI;
  /** A request that crosses the end of a connection within this time is the client's to repeat. */
  private static final long CROSSING = 50 * MILLI;

  private static final long READY = 30_000 * MILLI;
  /** A start or drain of a runner, as the change log told it. */
  record Told(String uid, SoakRunner runner, long at, boolean drains, long startedAt) {}

  private final Evidence evidence;
  private final List<Told> told;
  private final List<Finding> findings = new ArrayList<>();
  private final Set<String> heldInTheWrite = new HashSet<>();
  private int endsNotJudged;

  private Oracle(Evidence evidence, List<Told> told) {
    this.evidence = evidence;
    this.told = told;
  }

  /**
   * What came of it.
   *
   * @param findings all that went against a rule, in the order of time
   * @param heldInTheWrite ids of requests with attempts whose dispatcher was stopped between its last look and the
   *     write of the bytes: no program can look later than that, so what came of it is counted and not judged
   * @param endsNotJudged processes that were there at the earliest kill while the machine stood still
   */
  record Judgement(List<Finding> findings, Set<String> heldInTheWrite, int endsNotJudged) {}

  /** Judges. */
  static Judgement judge(Evidence evidence, List<Told> told) {
    Oracle oracle = new Oracle(evidence, told);
    evidence.requests().forEach(oracle::request);
    evidence.attempts().forEach(oracle::attempt);
    oracle.slowStarts();
    evidence.lives().forEach(oracle::life);
    oracle.findings.sort(Comparator.comparingLong(Finding::at));
    return new Judgement(oracle.findings, oracle.heldInTheWrite, oracle.endsNotJudged);
  }

  private void found(SoakRule rule, long at, int dispatcher, String text, Object... values) {
    findings.add(new Finding(rule, at, dispatcher, text.formatted(values)));
  }

  // ---- requests

  private void request(Asked request) {
    synchronized (request) {
      if (request.sentAt == 0) {
        return;
      }
      answer(request);
      effects(request);
    }
  }

  private void answer(Asked r) {
    long until = r.sentAt + r.timeout;
    if (r.answers > 1) {
      found(
          SoakRule.FINAL_ANSWER,
          r.answeredAt,
          r.dispatcher,
          "request=%s got %d answers",
          r.id,
          r.answers);
    }
    if (r.answers > 0) {
      if (r.status == 200 && !r.answer.equals(PlatformRunner.result(r.id, r.body))) {
        found(
            SoakRule.FINAL_ANSWER,
            r.answeredAt,
            r.dispatcher,
            "request=%s served with '%s'",
            r.id,
            r.answer);
      }
      long paused =
          evidence.pausedUntil(r.dispatcher, new Evidence.Span(r.sentAt, until + ANSWER_SLACK));
      long latest = Math.max(until, paused)
          + ANSWER_SLACK
          + OWN_SLACK
          + evidence.ownStalls().late(r.sentAt, r.answeredAt);
      if (r.answeredAt > latest && r.leftAt == 0 && !mayBeKilled(r)) {
        found(
            SoakRule.FINAL_ANSWER,
            r.answeredAt,
            r.dispatcher,
            "request=%s answered %d ms after its time",
            r.id,
            (r.answeredAt - until) / MILLI);
      }
      return;
    }
    if (r.leftAt > 0
        || mayBeKilled(r)
        || r.cutAt > 0 && evidence.cutByClientSide(r.dispatcher, r.cutAt)) {
      return;
    }
    boolean crossed = r.cutAt > 0
        && r.connectionInUse
        && r.cutAt - r.sentAt < CROSSING + evidence.ownStalls().late(r.sentAt, r.cutAt);
    if (!crossed) {
      found(
          SoakRule.FINAL_ANSWER,
          until,
          r.dispatcher,
          "request=%s got no answer, %s; %d attempts",
          r.id,
          r.cutAt > 0
              ? "its connection ended " + (r.cutAt - r.sentAt) / MILLI + " ms after it"
              : "its connection stands",
          evidence.attempts(r.id).size());
    }
  }

  /**
   * True where its dispatcher was killed by a trouble of the plan while it was open; the kill after a stop excuses
   * nothing.
   */
  private boolean mayBeKilled(Asked r) {
    long until = r.sentAt + r.timeout + ANSWER_SLACK;
    return evidence.lives().stream()
        .filter(life -> life.dispatcher() == r.dispatcher && life.killed())
        .anyMatch(life -> r.sentAt <= life.endedAt() + SLACK && life.endedAt() <= until);
  }

  private void effects(Asked r) {
    if (r.callClass == CallClass.SAFE) {
      overlaps(r);
      return;
    }
    overlaps(r);
    Arrived first = null;
    for (Arrived attempt : inOrder(r.id)) {
      if (first != null) {
        boolean again = r.callClass == CallClass.UNSAFE
            || attempt.firstByteAt - attempt.heldUp - first.at
                > CallClass.REPEAT_WINDOW + SLACK + OWN_SLACK;
        if (again) {
          found(
              SoakRule.EFFECT_ONCE,
              attempt.at,
              r.dispatcher,
              "request=%s (%s) may have run at %s and was sent again after %d ms to %s",
              r.id,
              r.callClass.word(),
              first.runner.uid(),
              (attempt.at - first.at) / MILLI,
              attempt.runner.uid());
        }
      }
      first = first == null && !attempt.neverRan ? attempt : first;
    }
    if (r.callClass == CallClass.UNSAFE && r.answers > 0 && r.refused() && first != null) {
      found(
          SoakRule.EFFECT_ONCE,
          r.answeredAt,
          r.dispatcher,
          "request=%s was refused as harmless and may have run at %s",
          r.id,
          first.runner.uid());
    }
  }

  private List<Arrived> inOrder(String id) {
    return evidence.attempts(id).stream()
        .sorted(Comparator.comparingLong(attempt -> attempt.at))
        .toList();
  }

  /** Two attempts out at a time: none may be. */
  private void overlaps(Asked r) {
    Arrived before = null;
    for (Arrived attempt : inOrder(r.id)) {
      if (before != null) {
        long ended = before.endedAt == 0 ? Long.MAX_VALUE : before.endedAt;
        // The first one's giving up may have been held up on its way.
        long excused = SLACK
            + OWN_SLACK
            + evidence.ownStalls().late(before.at, attempt.at)
            + before.runner.proxy().heldUp(attempt.at)
            + before.heldUp;
        if (ended > attempt.at + excused && before.runner.proxy().heldUp(before.endedAt) == 0) {
          found(
              SoakRule.EFFECT_ONCE,
              attempt.at,
              r.dispatcher,
              "request=%s was out at %s (until %s ms later) when it came to %s",
              r.id,
              before.runner.uid(),
              ended == Long.MAX_VALUE ? "never" : Long.toString((ended - attempt.at) / MILLI),
              attempt.runner.uid());
        }
      }
      before = attempt;
    }
  }

  // ---- attempts

  private void attempt(Arrived a) {
    Asked request = evidence.request(a.id);
    if (request == null || request.sentAt == 0) {
      return;
    }
    if (heldInTheWrite(request, a)) {
      heldInTheWrite.add(a.id);
      return;
    }
    long late = a.heldUp + OWN_SLACK + evidence.ownStalls().late(request.sentAt, a.at);
    if (request.leftAt > 0 && a.firstByteAt - late > request.leftAt + GONE_SLACK) {
      found(
          SoakRule.CLIENT_GONE,
          a.at,
          request.dispatcher,
          "request=%s came to %s %d ms after its client left",
          a.id,
          a.runner.uid(),
          (a.firstByteAt - request.leftAt) / MILLI);
    }
    long left = request.sentAt + request.timeout - (a.at - late);
    if (a.max > Math.max(0, left) + DEADLINE_SLACK) {
      found(
          SoakRule.DEADLINE,
          a.at,
          request.dispatcher,
          "request=%s was passed with %d ms when its client had %d left",
          a.id,
          a.max / MILLI,
          left / MILLI);
    }
    for (Told news : told) {
      if (news.drains()
          && news.runner() == a.runner
          && drainedPast(news, a, request.dispatcher, late)) {
        found(
            SoakRule.DRAIN,
            a.at,
            request.dispatcher,
            "request=%s came to %s %d ms after its drain was told",
            a.id,
            news.uid(),
            (a.firstByteAt - news.at()) / MILLI);
      }
    }
  }

  /**
   * True where the attempt came as its dispatcher went on after a pause, with the time that its client had left as the
   * pause began: it had passed the last look by then. One that was let out after the pause has another time on it.
   */
  private boolean heldInTheWrite(Asked request, Arrived a) {
    Evidence.Span pause = evidence.pauseBefore(request.dispatcher, a.firstByteAt);
    if (pause == null || request.sentAt >= pause.from() + SIGNAL_TAKES) {
      return false;
    }
    // The signal takes effect some time after it was begun to be sent: the request may have come in
    // between.
    long leftThen = request.sentAt + request.timeout - Math.max(pause.from(), request.sentAt);
    return Math.abs(a.max - leftThen) <= SLACK;
  }

  /** True where the attempt came past the drain's grace and before another runner took the address. */
  private boolean drainedPast(Told drain, Arrived attempt, int dispatcher, long late) {
    long counts = evidence.toldAt(dispatcher, drain.at(), TOLD_LATE);
    long next = told.stream()
        .filter(n -> !n.drains() && n.runner() == drain.runner() && n.at() > drain.at())
        .mapToLong(n -> n.startedAt() == 0 ? n.at() : Math.min(n.at(), n.startedAt()))
        .min()
        .orElse(Long.MAX_VALUE);
    return attempt.at < next
        && attempt.firstByteAt - late > counts + SoakConfig.DRAIN_GRACE + SLACK;
  }

  // ---- slow start

  private void slowStarts() {
    Map<SoakRunner, List<Arrived>> byRunner = new HashMap<>();
    evidence
        .attempts()
        .forEach(a -> byRunner.computeIfAbsent(a.runner, r -> new ArrayList<>()).add(a));
    for (Told start : told) {
      if (!start.drains() && start.startedAt() > 0 && !evidence.logTroubled(start.at())) {
        slowStart(start, byRunner.getOrDefault(start.runner(), List.of()));
      }
    }
  }

  private void slowStart(Told start, List<Arrived> all) {
    List<Arrived> after = all.stream()
        .filter(a -> a.at >= start.at() && a.at < start.startedAt() + SoakConfig.COLD_FOR)
        .sorted(Comparator.comparingLong(a -> a.at))
        .toList();
    for (int from = 0, to = 0; to < after.size(); to++) {
      while (after.get(to).at - after.get(from).at > SoakConfig.OVERLOAD_FOR) {
        from++;
      }
      int sent = to - from + 1;
      double most = budget(after.get(to).at - start.startedAt());
      if (sent > most) {
        found(
            SoakRule.SLOW_START,
            after.get(to).at,
            -1,
            "%s got %d requests in 1.5 s, %.1f s after its start; its budget is %.0f",
            start.uid(),
            sent,
            (after.get(to).at - start.startedAt()) / 1e6,
            most);
        return;
      }
    }
  }

  /** Requests in a window that a runner of that age bears. */
  private static double budget(long age) {
    double warmth = SoakConfig.COLD_FROM
        + (1 - SoakConfig.COLD_FROM) * Math.min(1, age / (double) SoakConfig.COLD_FOR);
    double n =
        SoakRunner.PER_SECOND * warmth * SoakConfig.TIP_MULTIPLE * SoakConfig.OVERLOAD_FOR / 1e6;
    return n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
  }

  // ---- processes

  private void life(Life life) {
    if (life.readyAt() == 0 || life.readyAt() - life.startedAt() > READY) {
      found(SoakRule.READY, life.startedAt(), life.dispatcher(), "was not ready in time");
    }
    if (life.killed()) {
      return;
    }
    if (life.endAskedAt() == 0 || life.exitCode() != 0) {
      boolean overdue = life.exitCode() == SoakDispatcher.OVERDUE;
      if (overdue && machineStoodStill(life.endedAt())) {
        endsNotJudged++;
      } else if (!overdue || !pausedWhileEnding(life)) {
        found(
            SoakRule.END,
            life.endedAt(),
            life.dispatcher(),
            overdue ? "had not ended at the earliest kill" : "ended with code %d",
            life.exitCode());
      }
    } else if (life.endedAt()
            - Math.max(
                life.endAskedAt(),
                evidence.pausedUntil(
                    life.dispatcher(), new Evidence.Span(life.endAskedAt(), life.endedAt())))
        > SoakConfig.LONGEST_DEADLINE + SoakConfig.KILL_MARGIN + OWN_SLACK) {
      found(
          SoakRule.END,
          life.endedAt(),
          life.dispatcher(),
          "ended %d ms after it was told to",
          (life.endedAt() - life.endAskedAt()) / MILLI);
    }
  }

  /** True where the soak itself got no processor for a while as the kill came: nor did, then, what was to end. */
  private boolean machineStoodStill(long killedAt) {
    return evidence.ownStalls().late(killedAt - END_TAKES, killedAt) > NO_PROCESSOR;
  }

  /** True where the plan had the process stand still while it was to end. */
  private boolean pausedWhileEnding(Life life) {
    return evidence.pausedUntil(
            life.dispatcher(), new Evidence.Span(life.endAskedAt(), life.endedAt()))
        > 0;
  }
}
