package gorseladder;

import gorseladder.RouterApi.*;
import gorseladder.RouterState.*;
import gorseladder.gate.RecentTimes;
import gorseladder.permits.Permits;
import gorseladder.starts.ColdBudget;
import java.util.*;
import java.util.function.Consumer;

/**
 * Makes the decisions of one dispatcher; {@code RouterApi.java} has its settings, events and actions.
 *
 * <p>A call goes to a worker that is known to have a warm copy and a free lane. If the load of that worker
 * exceeds {@link #MAX_LOAD_RATIO}, the call goes to the worker with the lowest expected latency. All
 * dispatchers derive the same order of workers for a function and assume its first workers, the home, to
 * be warm, because the other dispatchers use them too; so rarely called functions find copies. The other
 * rules handle cases in which this basic rule fails; each says when it applies. Not thread safe.
 */
public final class Router {
  /** Load of the best warm worker, relative to the fleet's mean, above which the lowest cost decides. */
  private static final double MAX_LOAD_RATIO = 2.0;
  /** Calls by which loads may differ by chance; without this slack small counts always look uneven. */
  private static final double LOAD_SLACK_CALLS = 2.0;
  /** Calls that a worker of mean weight runs about as fast as one; weighs load against queueing. */
  private static final double PARALLEL_CALLS = 4.0;
  /** Calls of a function at each worker of its home, as a fraction of a copy's lanes. */
  private static final double HOME_FILL_FRACTION = 0.5;
  /** Limit on how much one answer may widen a home; a backlog is not lasting demand. */
  private static final double MAX_HOME_GROWTH = 3.0;
  /** Random fraction added to costs within a home, so that dispatchers do not pick the same worker. */
  private static final double JITTER = 0.2;
  /** Cost of each place in the shared order behind the home, as a fraction of the load time. */
  private static final double RANK_COST_FRACTION = 0.05;
  /** Weight of the newest answer in a moving average over about ten answers. */
  private static final double AVERAGE_WEIGHT = 0.1;
  /** Weight of the newest outcome in a failure rate; two errors close together exceed SUSPECT_FROM. */
  private static final double FAILURE_WEIGHT = 0.25;
  /** Share of late or refused answers from which calls are shed; a few slow workers stay below it. */
  private static final double OVERLOAD_THRESHOLD = 0.5;
  /** Fraction by which each late or refused answer during overload reduces the admitted calls. */
  private static final double SHED_FRACTION = 0.4;
  /** Latency targets in which the overload estimate halves if no answer confirms it. */
  private static final double OVERLOAD_HALVING_TARGETS = 2.0;
  /** Latency targets in which shedding ends after an overload; slower than its effect shows in answers. */
  private static final double RECOVERY_TARGETS = 10.0;
  /** Fraction of calls that is always admitted, so that the end of an overload is noticed. */
  private static final double MIN_ADMITTED_FRACTION = 0.1;
  /** Failure rate from which a worker is suspect and avoided. */
  private static final double SUSPECT_FROM = 0.3;
  /** Wait before a suspect worker is tried again, in mean times between this dispatcher's calls to it. */
  private static final double TRIAL_GAPS = 0.5;
  /** Limit on the doublings of that wait, so that a recovered worker is found. */
  private static final int MAX_TRIAL_DOUBLINGS = 3;
  /** Multiple of its expected latency after which an attempt makes a worker that is silent suspect. */
  private static final double SILENT_FACTOR = 5.0;
  /** Multiple of its expected latency after which an attempt is repeated at another worker. */
  private static final double OVERDUE_FACTOR = 2.5;
  /** Such second attempts per request, limited so that a slow fleet is not slowed further. */
  private static final double SECOND_ATTEMPT_SHARE = 0.1;
  /** Window over which this dispatcher's rate of served calls is averaged. */
  private static final double RATE_WINDOW_SECONDS = 5.0;
  /** Sweeps over queued and outstanding calls in the shortest latency target. */
  private static final long SWEEPS_PER_TARGET = 40;
  /** Fraction of the latency target after which an answer counts as overload; the rest is for the tail. */
  private static final double LATE_FRACTION = 0.5;
  /** Weight of the newest value in averages that change within a latency target: overload, reports. */
  private static final double FAST_AVERAGE_WEIGHT = 0.2;
  /** Typical latencies that must remain before its latency target, or a queued call counts as late. */
  private static final double LATE_MARGIN = 1.5;
  /** Queued calls tried in one pass; bounds its cost when thousands wait. */
  private static final int MAX_TRIES = 64;
  /** Part of the load ration that plans may use; the rest is reserved for calls that wait. */
  private static final double PLANNED_RATION_FRACTION = 0.5;
  /** A plan renews a copy once its remaining keep-alive is at most this fraction of the whole. */
  private static final double RENEW_FRACTION = 0.5;
  /** Workers of the shared order fetched at first; nearly all calls are placed among them. */
  private static final int MIN_CANDIDATES = 4;
  /** Factor by which that number grows when more are needed. */
  private static final int CANDIDATE_GROWTH = 4;
  /** Workers examined per call at most, so that its cost does not grow with the fleet. */
  private static final int MAX_CANDIDATES = 256;
  /** First word of the peer message that names a suspect worker. */
  private static final String SUSPECT_WORD = "sick ";

  private final Settings settings;
  private final Random random;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Fleet fleet = new Fleet();
  private final Set<Worker> gone = new LinkedHashSet<>();
  private int orderVersion;
  private int listUpdates;
  private int nextFleetIndex;
  private final FunctionTable functions = new FunctionTable();
  private final Map<Long, PendingCall> requests = new LinkedHashMap<>();
  private final Set<Function> queuedFunctions = new LinkedHashSet<>();
  private final RecentTimes requestTimes = new RecentTimes();
  private final RecentTimes loadOrderTimes = new RecentTimes();
  private final long sweepInterval;
  private final long minLatencyTarget;
  private Consumer<Action> sink;
  private long now;
  private boolean sweeping;
  private double secondAttemptTokens = 1;
  private double meanLoadTime;
  private double meanLatency;
  private double servedPerSecond;
  private long lastServedAt;
  private double overload;
  private long overloadDecayedAt;
  private long overloadNotedAt;
  private long lastShedAt;
  private double admittedFraction = 1;
  private final double maxWorth;
  private long nextForgetAt;
  private long workersExamined;
  private long fallThroughs;

  public Router(Settings settings, long seed) {
    if (settings == null) {
      throw new IllegalArgumentException("impossible setting: settings");
    }
    this.settings = settings;
    this.random = new Random(seed);
    settings.classes().forEach(c -> classes.put(c.name(), c));
    minLatencyTarget =
        settings.classes().stream().mapToLong(RequestClass::latencyTarget).min().orElseThrow();
    sweepInterval = Math.max(settings.tick(), minLatencyTarget / SWEEPS_PER_TARGET);
    maxWorth =
        settings.classes().stream().mapToDouble(RequestClass::worth).max().orElseThrow();
    meanLatency = minLatencyTarget / 5.0;
    meanLoadTime = minLatencyTarget;
  }

  /** Limits the number of functions that are remembered. */
  public void limitFunctions(int most) {
    functions.limit(most);
  }

  /** Handles one event at the given time and passes the resulting actions to {@code actions}. */
  public void on(long nowMicros, Event event, Consumer<Action> actions) {
    now = nowMicros;
    sink = actions;
    if (event instanceof Request e) {
      onRequest(e);
    } else if (event instanceof Answer e) {
      onAnswer(e);
    } else if (event instanceof TimerDue e) {
      onTimer(e.token());
    } else if (event instanceof Loaded e) {
      onLoaded(e);
    } else if (event instanceof PlannedLoad e) {
      onPlannedLoad(e);
    } else if (event instanceof WorkerListUpdate e) {
      onWorkers(e);
    } else if (event instanceof ClientGone e) {
      onClientGone(requests.get(e.id()));
    } else if (event instanceof AnswerDue e) {
      endOverdue(requests.get(e.id()));
    } else if (event instanceof FirstByte e && requests.containsKey(e.id())) {
      requests.get(e.id()).streaming = true;
    } else if (event instanceof PeerMessage e) {
      onPeerMessage(e.text());
    }
  }

  /** Workers examined so far by calls, list updates and the shared order; a measure of work. */
  public long workersExamined() {
    return workersExamined + fleet.order().examined();
  }

  /** Searches so far that found no worker among the candidates and scanned a part of the fleet. */
  public long fallThroughs() {
    return fallThroughs;
  }

  /** Candidates and copy states stored for all functions; a measure of memory. */
  long functionEntries() {
    return functions.all().stream()
        .mapToLong(f -> f.candidates.size() + f.copyStates.size())
        .sum();
  }

  // ---- the worker list

  private void onWorkers(WorkerListUpdate event) {
    if (event.kind() == ListKind.FAILED) {
      sink.accept(new SubscribeWorkerList());
      return;
    }
    if (event.kind() == ListKind.SAVED && settings.asksForList()) {
      sink.accept(new SubscribeWorkerList());
    }
    listUpdates++;
    event.entries().forEach(this::onWorker);
    if (event.kind() != ListKind.DELTA) {
      workers.values().forEach(this::removeUnlessListed);
    }
    gone.removeIf(w -> w.phase != Phase.GONE || w.inFlight == 0 && workers.remove(w.name(), w));
    placeAllQueued();
  }

  private void onWorker(WorkerEntry entry) {
    workersExamined++;
    Worker w = workers.computeIfAbsent(entry.worker(), Worker::new);
    w.lastListUpdate = listUpdates;
    w.zone = entry.zone();
    w.cell = entry.cell();
    w.phase = entry.phase();
    w.weight = entry.weight() > 0 ? entry.weight() : 1;
    if (entry.startedAt() > w.startedAt) {
      w.startedAt = entry.startedAt();
      resetAfterRestart(w);
    }
    updateFleet(w);
  }

  private void removeUnlessListed(Worker w) {
    workersExamined++;
    if (w.lastListUpdate != listUpdates) {
      w.phase = Phase.GONE;
      updateFleet(w);
    }
  }

  private void updateFleet(Worker w) {
    orderVersion += fleet.update(w) ? 1 : 0;
    if (w.phase == Phase.GONE) {
      gone.add(w);
    }
    recount(w);
  }

  private void recount(Worker w) {
    fleet.recount(w, w.failureRate >= SUSPECT_FROM);
  }

  /** Discards what was known of the old process: its copies, failures and latency. */
  private void resetAfterRestart(Worker w) {
    w.incarnation++;
    w.failureRate = 0;
    w.suspectFailures = 0;
    w.slowdown = 1;
    w.lastHeardAt = now;
    w.coldBudget.restart(random.nextDouble(), now);
  }

  // ---- requests and their final answers

  private void onRequest(Request event) {
    RequestClass requestClass = classes.get(event.requestClass());
    if (requestClass == null) {
      throw new IllegalArgumentException("unknown class " + event.requestClass());
    }
    forgetUnusedFunctions();
    Function f = functions.use(event.function());
    f.lanes = Math.max(1, event.lanes());
    f.loadTime = event.loadTime();
    f.lastUsedAt = now;
    if (f.inFlight + f.queue.size() > f.fleetConcurrency) {
      noteConcurrency(f, f.inFlight + f.queue.size());
    }
    secondAttemptTokens = Math.min(secondAttemptTokens + SECOND_ATTEMPT_SHARE, 10);
    if (settings.rules().loadWindow() > 0) {
      requestTimes.add(now, lastExpiredRequest());
    }
    PendingCall call = new PendingCall();
    call.id = event.id();
    call.requestClass = requestClass;
    call.function = f;
    call.targetAt = now + requestClass.latencyTarget();
    call.deadline = now + event.timeLeft();
    call.worth = requestClass.worth() * (event.repeat() ? requestClass.lateWorth() : 1);
    requests.put(call.id, call);
    long left = Math.max(0, event.timeLeft() - settings.tick());
    sink.accept(new SetTimer(left, SetTimer.DEADLINE + call.id));
    if (admits(call)) {
      place(call);
    } else {
      refuseOrFail(call);
    }
    armSweep();
  }

  /**
   * Sheds calls, those of low worth first, while most answers are late, refused or abandoned: the fleet
   * then holds more than it can run. Does harm if execution alone takes half the latency target.
   */
  private boolean admits(PendingCall call) {
    double targets = (now - overloadDecayedAt) / (double) minLatencyTarget;
    overloadDecayedAt = now;
    overload /= 1 + targets / OVERLOAD_HALVING_TARGETS;
    if (overload < OVERLOAD_THRESHOLD) {
      admittedFraction = Math.min(1, admittedFraction + targets / RECOVERY_TARGETS);
    }
    return random.nextDouble() < Math.pow(admittedFraction, maxWorth / Math.max(1e-9, call.worth));
  }

  private void noteOverload(boolean overloaded) {
    double targets = (now - overloadNotedAt) / (double) minLatencyTarget;
    overloadNotedAt = now;
    overload += Math.max(FAST_AVERAGE_WEIGHT / 10, Math.min(FAST_AVERAGE_WEIGHT, targets))
        * ((overloaded ? 1 : 0) - overload);
    if (overload > OVERLOAD_THRESHOLD && now - lastShedAt > meanLatency) {
      lastShedAt = now;
      admittedFraction = Math.max(MIN_ADMITTED_FRACTION, admittedFraction * (1 - SHED_FRACTION));
    }
  }

  /** Drops functions unused for two keep-alives, after which none of their copies can still be warm. */
  private void forgetUnusedFunctions() {
    if (now >= nextForgetAt) {
      nextForgetAt = now + settings.keepAlive();
      functions.forgetUnusedSince(now - 2 * settings.keepAlive());
      functions.all().forEach(f -> f.copyStates.values().removeIf(this::isUninformative));
    }
  }

  private void onClientGone(PendingCall call) {
    if (call != null && !call.done) {
      // A client that leaves late indicates overload. One that leaves at once, or whose connection
      // breaks, must not cause shedding. Misses clients that give up within half a target.
      long waited = now - (call.targetAt - call.requestClass.latencyTarget());
      if (waited > LATE_FRACTION * call.requestClass.latencyTarget()) {
        noteOverload(true);
      }
      finish(call);
    }
  }

  /** Ends a call that is not served: refused if a repeat is harmless, else failed. */
  private void refuseOrFail(PendingCall call) {
    sink.accept(mayRefuse(call) ? new Refuse(call.id, 0) : new Fail(call.id));
    finish(call);
  }

  private boolean mayRefuse(PendingCall call) {
    RequestClass c = call.requestClass;
    return call.attempts.stream()
        .allMatch(
            a -> Permits.mayRefuseAfter(c.effect(), c.group(), !a.neverRan).allowed());
  }

  private void finish(PendingCall call) {
    call.done = true;
    dequeue(call);
    for (int i = 0; i < call.attempts.size(); i++) {
      cancel(call, i);
    }
    if (call.attemptsOut == 0) {
      requests.remove(call.id);
    }
  }

  private void cancel(PendingCall call, int number) {
    Attempt attempt = call.attempts.get(number);
    if (attempt.outstanding && !attempt.cancelled && settings.limits().cancelling()) {
      attempt.cancelled = true;
      sink.accept(new Cancel(call.id, number));
    }
  }

  private void onAnswer(Answer event) {
    PendingCall call = requests.get(event.id());
    if (call == null
        || event.attempt() < 0
        || event.attempt() >= call.attempts.size()
        || !call.attempts.get(event.attempt()).outstanding) {
      return;
    }
    Attempt attempt = call.attempts.get(event.attempt());
    attempt.outstanding = false;
    call.attemptsOut--;
    // Once two attempts were outstanding the platform holds the repeat windows of both, even if one
    // is later proved not to have run: otherwise a keyed call is sent again after its window. Also
    // covers groups and refusals. Does harm if the proof comes late and the call has time left.
    attempt.neverRan = event.outcome().neverRan && !attempt.overlapped;
    settleColdBudget(attempt.copy.worker, event);
    attempt.copy.worker.inFlight--;
    attempt.copy.inFlight--;
    call.function.inFlight--;
    learn(call, attempt, event);
    recount(attempt.copy.worker);
    if (call.done) {
      if (call.attemptsOut == 0) {
        requests.remove(call.id);
      }
    } else if (event.finalAnswer()) {
      finish(call);
    } else if (call.attemptsOut == 0) {
      retryOrEnd(call);
    }
    placeQueued(call.function, MAX_TRIES);
  }

  /** After a failed attempt: tries again if the class allows it, else ends the call. */
  private void retryOrEnd(PendingCall call) {
    boolean attemptsLeft = call.attempts.size() < settings.limits().maxAttempts();
    if (!attemptsLeft || call.deadline <= now || !mayResend(call)) {
      refuseOrFail(call);
    } else {
      place(call);
    }
  }

  private boolean mayResend(PendingCall call) {
    RequestClass c = call.requestClass;
    long window = c.repeatWindow() - 2 * settings.tick();
    return call.attempts.stream()
        .allMatch(a -> Permits.mayRepeatAfter(c.effect(), !a.neverRan, now - a.sentAt, window)
            .allowed());
  }

  // ---- learning from answers

  private void learn(PendingCall call, Attempt attempt, Answer event) {
    CopyState copy = attempt.copy;
    Worker w = copy.worker;
    Function f = call.function;
    applyLoadReport(w, event.report());
    boolean responded = event.outcome() != Outcome.TIMEOUT && event.outcome() != Outcome.CANCELLED;
    w.lastHeardAt = responded ? now : w.lastHeardAt;
    boolean full = event.outcome() == Outcome.FULL;
    boolean warm = event.outcome() == Outcome.OK
        && (event.copyStatus() == CopyStatus.WARM || event.copyStatus() == CopyStatus.NONE);
    // FULL with no call of the function and no known copy there means memory or queued loads, not
    // lanes: rare functions without memory must not shed calls that are served well. Does harm if
    // all workers are short of memory and refused calls return at once.
    boolean noRoom = full && event.concurrency() == 0 && attempt.unconfirmed;
    if (!attempt.markedSlow && (full && !noRoom || warm)) {
      noteOverload(full || event.latency() > LATE_FRACTION * call.requestClass.latencyTarget());
    }
    if (event.concurrency() >= 0) {
      copy.othersInFlight = Math.max(0, event.concurrency() - copy.inFlight - (full ? 0 : 1));
      copy.othersInFlightUntil =
          now + (long) (typicalLatency(f) * Math.max(1, copy.othersInFlight / f.lanes));
      double maxCalls = MAX_HOME_GROWTH * homeFill(f);
      noteConcurrency(
          f,
          Math.max(
              f.inFlight + f.queue.size(), homeSize(f) * Math.min(event.concurrency(), maxCalls)));
    }
    switch (event.outcome()) {
      case OK -> learnFromServed(call, attempt, event, warm);
      case MISS -> {
        attempt.missed = true;
        copy.copies = 0;
        copy.missingUntil = now + 2 * (long) loadTime(f);
        if (event.copyStatus() == CopyStatus.LOAD_FAILED) {
          copy.busyUntil = now + (long) loadTime(f);
        } else if (!settings.loadsOnMiss()) {
          orderCopies(copy, 1);
        }
      }
      case FULL -> copy.busyUntil = now + (long) typicalLatency(f);
      case ERROR -> {
        // From its second error on a failure is attributed to the call (such as bad input) and not
        // to workers. Does harm if two failing workers meet the same call.
        boolean secondError = call.attempts.stream().anyMatch(a -> a.hadError);
        attempt.hadError = true;
        if (event.copyStatus() == CopyStatus.LOAD_FAILED) {
          copy.copies = 0;
        } else if (!secondError) {
          noteFailure(w, FAILURE_WEIGHT, true);
        }
      }
      case RESET, CONNECT_FAILED -> {
        w.incarnation += event.outcome() == Outcome.RESET ? 1 : 0;
        noteFailure(w, 1, true);
      }
      case TIMEOUT -> noteFailure(w, FAILURE_WEIGHT, true);
      case CANCELLED, MOOT -> {}
    }
  }

  private void learnFromServed(PendingCall call, Attempt attempt, Answer event, boolean warm) {
    CopyState copy = attempt.copy;
    Worker w = copy.worker;
    Function f = call.function;
    w.failureRate *= 1 - FAILURE_WEIGHT;
    if (w.failureRate < SUSPECT_FROM) {
      w.suspectFailures = 0;
    }
    double gap = Math.max(1, now - lastServedAt) / 1e6;
    servedPerSecond += Math.min(1, gap / RATE_WINDOW_SECONDS) * (1 / gap - servedPerSecond);
    lastServedAt = now;
    boolean grew = event.copyStatus() == CopyStatus.BEGAN && isWarm(copy);
    markWarm(copy, isWarm(copy) ? copy.copies + (grew ? 1 : 0) : 1);
    if (warm
        && event.concurrency() >= f.lanes * copy.copies
        && event.latency() < LATE_MARGIN * typicalLatency(f)) {
      copy.copies = event.concurrency() / f.lanes + 1;
    }
    if (warm && event.concurrency() < f.lanes * copy.copies) {
      double ratio = event.latency() / typicalLatency(f);
      w.slowdown += AVERAGE_WEIGHT * (Math.min(10, ratio) - w.slowdown);
      double capped = Math.min(event.latency(), 4 * typicalLatency(f));
      f.typicalLatency = f.typicalLatency == 0
          ? capped
          : f.typicalLatency + AVERAGE_WEIGHT * (capped - f.typicalLatency);
      meanLatency += AVERAGE_WEIGHT * (capped - meanLatency);
    }
  }

  /**
   * Averages how many calls of a function the fleet holds at once: the reported concurrency times the
   * home's size, or this dispatcher's own calls if more. It sets the home's size, so that a hot function
   * gets enough lanes though no dispatcher sees its whole load, and shrinks when the load falls.
   */
  private void noteConcurrency(Function f, double calls) {
    f.samples++;
    f.fleetConcurrency += Math.max(AVERAGE_WEIGHT, 1.0 / f.samples) * (calls - f.fleetConcurrency);
  }

  private double homeFill(Function f) {
    return HOME_FILL_FRACTION * (settings.loadsOnMiss() ? 1 : Math.min(f.lanes, PARALLEL_CALLS));
  }

  /** Number of workers at the start of the shared order that are assumed to have the function loaded. */
  private double homeSize(Function f) {
    return Math.max(1, Math.min(fleet.size(), f.fleetConcurrency / homeFill(f)));
  }

  /**
   * Adds a failure and marks the worker suspect from SUSPECT_FROM on. Peers are told, so that not each
   * dispatcher loses calls to find out; one message alone does not make a worker suspect.
   */
  private void noteFailure(Worker w, double weight, boolean firstHand) {
    w.failureRate += weight * (1 - w.failureRate);
    recount(w);
    if (w.failureRate < SUSPECT_FROM) {
      return;
    }
    double callGap = fleet.size() / Math.max(1e-3, servedPerSecond) * 1e6;
    double wait = Math.max(minLatencyTarget, Math.min(TRIAL_GAPS * callGap, settings.keepAlive()));
    w.nextTrialAt = now + (long) wait * (1 << Math.min(w.suspectFailures, MAX_TRIAL_DOUBLINGS));
    w.suspectFailures++;
    boolean unreported = w.suspectToldAt == 0 || now - w.suspectToldAt > settings.keepAlive();
    if (firstHand && unreported && settings.limits().peers() && settings.dispatchers() > 1) {
      w.suspectToldAt = now;
      sink.accept(new TellPeers(SUSPECT_WORD + w.name()));
    }
  }

  private void onPeerMessage(String text) {
    Worker w =
        text.startsWith(SUSPECT_WORD) ? workers.get(text.substring(SUSPECT_WORD.length())) : null;
    if (w != null && w.failureRate < SUSPECT_FROM) {
      noteFailure(w, FAILURE_WEIGHT, false);
      w.suspectToldAt = w.failureRate < SUSPECT_FROM ? w.suspectToldAt : now;
    }
  }

  private void applyLoadReport(Worker w, Map<String, Double> report) {
    double reported = report.containsKey("inFlight")
        ? Math.max(0, report.get("inFlight") - w.inFlight)
        : report.getOrDefault("queued", w.othersInFlight);
    w.othersInFlight += FAST_AVERAGE_WEIGHT * (reported - w.othersInFlight);
  }

  // ---- load orders

  private void onLoaded(Loaded event) {
    Worker w = workers.get(event.worker());
    Function f = functions.get(event.function());
    if (w == null || f == null) {
      return;
    }
    CopyState copy = copyState(f, w);
    copy.orderedCopies = -1;
    switch (event.outcome()) {
      case OK -> {
        w.lastHeardAt = now;
        learnLoad(f, event.latency());
        markWarm(copy, event.copies());
      }
      case RESET, CONNECT_FAILED -> noteFailure(w, 1, true);
      default -> {
        copy.busyUntil = now + (long) loadTime(f);
        copy.missingUntil = copy.busyUntil;
        copy.copies = event.copies();
      }
    }
    placeQueued(f, MAX_TRIES);
  }

  private void learnLoad(Function f, long latency) {
    if (latency * 4 > meanLoadTime) {
      f.measuredLoadTime = f.measuredLoadTime == 0 ? latency : (f.measuredLoadTime + latency) / 2;
      meanLoadTime += AVERAGE_WEIGHT * (latency - meanLoadTime);
    }
  }

  private double loadTime(Function f) {
    double reported = f.loadTime > 0 ? f.loadTime : meanLoadTime;
    return f.measuredLoadTime > 0 ? f.measuredLoadTime : reported;
  }

  private double typicalLatency(Function f) {
    return f.typicalLatency > 0 ? f.typicalLatency : meanLatency;
  }

  /**
   * Orders a copy that a plan requests. Calls have priority: no order while a call waits, from the part of
   * the ration reserved for calls, or at a cold or suspect worker. Does harm if the plan is wrong: an
   * order may evict what a later call needs, which is charged to the planner.
   */
  private void onPlannedLoad(PlannedLoad event) {
    Worker w = workers.get(event.worker());
    if (w == null
        || !queuedFunctions.isEmpty()
        || warmth(w) < 1
        || w.failureRate >= SUSPECT_FROM
        || !rationAllows(PLANNED_RATION_FRACTION)) {
      return;
    }
    Function f = functions.use(event.function());
    f.lanes = f.lanes == 0 ? event.lanes() : f.lanes;
    f.loadTime = f.loadTime == 0 ? event.loadTime() : f.loadTime;
    f.lastUsedAt = now;
    CopyState copy = copyState(f, w);
    boolean fresh = copy.warmUntil - now > RENEW_FRACTION * settings.keepAlive();
    if (!isWarm(copy) || copy.copies < event.copies() || !fresh) {
      orderCopies(copy, event.copies());
    }
  }

  /** Checks the load ration: orders in the window, with the next one, up to a fraction of the limit. */
  private boolean rationAllows(double fraction) {
    Rules rules = settings.rules();
    int orders = loadOrderTimes.countAfter(now - rules.loadWindow());
    int calls = requestTimes.countAfter(lastExpiredRequest());
    double limit = rules.freeLoads() + rules.loadsPerCall() * calls;
    return rules.loadWindow() == 0 || orders + 1 <= fraction * limit;
  }

  /** Until when requests no longer count in the load ration; early by a tick, the platform's granularity. */
  private long lastExpiredRequest() {
    return now - settings.rules().loadWindow() + settings.tick() - 1;
  }

  /** Emits a load order; the only place that does. */
  private void orderCopies(CopyState copy, int count) {
    boolean running = copy.worker.phase == Phase.RUNNING;
    if (copy.orderedCopies >= 0 || !running || !settings.limits().orders() || !rationAllows(1)) {
      return;
    }
    if (settings.rules().loadWindow() > 0) {
      loadOrderTimes.add(now, now - settings.rules().loadWindow());
    }
    copy.orderedCopies = count;
    copy.orderedAt = now;
    sink.accept(new Load(copy.worker.name(), copy.function.name, count));
  }

  // ---- queued calls

  private void armSweep() {
    if (!sweeping && !requests.isEmpty()) {
      sweeping = true;
      sink.accept(new SetTimer(sweepInterval, "sweep"));
    }
  }

  private void enqueue(PendingCall call) {
    if (!call.queued) {
      call.queued = true;
      call.function.queue.addLast(call);
      queuedFunctions.add(call.function);
    }
  }

  private void dequeue(PendingCall call) {
    if (call.queued) {
      call.queued = false;
      call.function.queue.removeFirstOccurrence(call);
      if (call.function.queue.isEmpty()) {
        queuedFunctions.remove(call.function);
      }
    }
  }

  /** Places queued calls of a function, newest first, while there is room; returns the tries left. */
  private int placeQueued(Function f, int tries) {
    int triesLeft = tries;
    while (triesLeft > 0 && !f.queue.isEmpty()) {
      PendingCall call = f.queue.peekLast();
      triesLeft--;
      place(call);
      if (call.queued) {
        break;
      }
    }
    return triesLeft;
  }

  /**
   * Places queued calls, highest value first and then newest, while any worker has room. A call that
   * will be late counts with its late worth and is refused if that is harmless.
   */
  private void placeAllQueued() {
    List<Function> byValue = new ArrayList<>(queuedFunctions);
    byValue.sort((a, b) -> Double.compare(value(b.queue.peekLast()), value(a.queue.peekLast())));
    int tries = MAX_TRIES;
    for (Function f : byValue) {
      tries = placeQueued(f, tries);
      while (!f.queue.isEmpty() && isLate(f.queue.peekFirst()) && mayRefuse(f.queue.peekFirst())) {
        refuseOrFail(f.queue.peekFirst());
      }
    }
  }

  private boolean isLate(PendingCall call) {
    return call.targetAt - now < LATE_MARGIN * typicalLatency(call.function);
  }

  private double value(PendingCall call) {
    return call.worth * (isLate(call) ? call.requestClass.lateWorth() : 1);
  }

  // ---- choosing a worker

  /** Sends a call to the worker chosen for it, or orders the function there and queues the call. */
  private void place(PendingCall call) {
    CopyState copy = choose(call);
    boolean useOrders = !settings.loadsOnMiss() && settings.limits().orders();
    boolean unconfirmed =
        copy != null && copy.inHome && call.attempts.size() < settings.limits().maxAttempts() - 2;
    if (copy != null && (isWarm(copy) || unconfirmed || !useOrders)) {
      send(call, copy);
    } else if (copy != null && copy.orderedCopies < 0) {
      orderCopies(copy, 1);
    }
    if (call.attemptsOut == 0 && !call.done) {
      enqueue(call);
    }
  }

  /** Fetches a function's first candidates anew if the shared order has changed. */
  private void refreshCandidates(Function f) {
    if (f.orderVersion != orderVersion) {
      f.orderVersion = orderVersion;
      f.candidates = fleet.order().first(f.hash, MIN_CANDIDATES);
      f.copyStates.values().removeIf(copy -> !copy.worker.isOrdered() && copy.inFlight == 0);
    }
  }

  /** Fetches more candidates if needed; false if the shared order has no worker at this place. */
  private boolean hasCandidate(Function f, int place) {
    if (place >= f.candidates.size() && f.candidates.size() < fleet.size()) {
      int more = Math.min(f.candidates.size() * CANDIDATE_GROWTH, MAX_CANDIDATES);
      int block = (place / MAX_CANDIDATES + 1) * MAX_CANDIDATES;
      f.candidates = fleet.order().first(f.hash, place < more ? more : block);
    }
    return place < f.candidates.size();
  }

  private CopyState copyState(Function f, Worker w) {
    return f.copyStates.computeIfAbsent(w, worker -> new CopyState(f, worker));
  }

  /** True if forgetting this state would not change any decision. */
  private boolean isUninformative(CopyState copy) {
    long until = Math.max(Math.max(copy.busyUntil, copy.missingUntil), copy.othersInFlightUntil);
    return !isWarm(copy) && copy.inFlight == 0 && copy.orderedCopies < 0 && until <= now;
  }

  private CopyState choose(PendingCall call) {
    refreshCandidates(call.function);
    CopyState untried = choose(call, true);
    return untried != null || call.attempts.isEmpty() ? untried : choose(call, false);
  }

  /**
   * Chooses a worker: the cheapest warm one with a free lane unless its load exceeds the limit, else the
   * cheapest of all. Null if no worker is eligible, or if a lane should be free before a load completes.
   */
  private CopyState choose(PendingCall call, boolean untried) {
    Function f = call.function;
    boolean allowSuspects = fleet.mostSuspect();
    long home = Math.round(homeSize(f));
    // A home larger than MAX_CANDIDATES is sampled.
    int first = home <= MAX_CANDIDATES ? 0 : random.nextInt((int) home - MAX_CANDIDATES + 1);
    int rank = first;
    int bestWarm = -1;
    int best = -1;
    double bestWarmCost = 0;
    double bestCost = 0;
    int busyLanes = 0;
    int statesSeen = 0;
    for (int i = first; i < first + MAX_CANDIDATES && hasCandidate(f, i); i++) {
      boolean restUnknown = rank >= home && statesSeen >= f.copyStates.size();
      if (restUnknown && best >= 0 && bestCost <= minLoadCost(f, rank, home)) {
        break;
      }
      workersExamined++;
      Worker w = f.candidates.get(i);
      CopyState copy = f.copyStates.get(w);
      statesSeen += copy == null ? 0 : 1;
      int place = rank;
      rank += eligible(call, w, allowSuspects) ? 1 : 0;
      if (place == rank || untried && tried(call, w)) {
        continue;
      }
      boolean known = copy != null && isWarm(copy);
      boolean assumedWarm = place < home && (copy == null || copy.missingUntil <= now);
      double cost = cost(call, w, copy, assumedWarm);
      cost += place >= home
          ? RANK_COST_FRACTION * (place - home + 1) * loadTime(f)
          : copy == null || copy.orderedCopies <= 0 ? JITTER * cost * random.nextDouble() : 0;
      boolean laneFree = copy == null
          || copy.busyUntil <= now && callsInFlight(copy) < f.lanes * Math.max(1, copy.copies);
      if ((known || assumedWarm) && laneFree && (bestWarm < 0 || cost < bestWarmCost)) {
        bestWarm = i;
        bestWarmCost = cost;
      }
      if (best < 0 || cost < bestCost) {
        best = i;
        bestCost = cost;
      }
      busyLanes += known && copy.busyUntil <= now && copy.inFlight > 0 ? f.lanes * copy.copies : 0;
    }
    double maxLoad = MAX_LOAD_RATIO * fleet.meanLoad(allowSuspects) + LOAD_SLACK_CALLS;
    if (bestWarm >= 0 && load(f.candidates.get(bestWarm)) <= maxLoad) {
      return chosen(f, f.candidates.get(bestWarm), bestWarm < home);
    }
    if (best < 0) {
      return fleet.size() <= MAX_CANDIDATES ? null : fallThrough(call, untried, allowSuspects);
    }
    // Avoids loading copies for a short queue, which under overload evict each other. Does harm if
    // others keep the lanes busy; the reported concurrency then widens the home.
    boolean wait =
        bestWarm < 0 && (f.queue.size() + 1) * typicalLatency(f) < loadTime(f) * busyLanes;
    return wait ? null : chosen(f, f.candidates.get(best), best < home);
  }

  /** Lower bound of a call's cost at this place or behind it, where no copy is known. */
  private double minLoadCost(Function f, int place, long home) {
    return loadTime(f) * (1 + RANK_COST_FRACTION * (place - home + 1));
  }

  /**
   * The cheapest of the next MAX_CANDIDATES workers of the fleet, for the case that all candidates are
   * ineligible while other workers are free. A call that finds none waits; the next scan continues there.
   * Does harm if most of a large fleet is down: each call then costs the maximum.
   */
  private CopyState fallThrough(PendingCall call, boolean untried, boolean allowSuspects) {
    fallThroughs++;
    Worker best = null;
    double bestCost = 0;
    for (int i = 0; i < MAX_CANDIDATES; i++) {
      workersExamined++;
      nextFleetIndex = (nextFleetIndex + 1) % fleet.size();
      Worker w = fleet.get(nextFleetIndex);
      if (!eligible(call, w, allowSuspects) || untried && tried(call, w)) {
        continue;
      }
      double cost = cost(call, w, call.function.copyStates.get(w), false);
      if (best == null || cost < bestCost) {
        best = w;
        bestCost = cost;
      }
    }
    return best == null ? null : chosen(call.function, best, false);
  }

  private CopyState chosen(Function f, Worker w, boolean isHome) {
    CopyState copy = copyState(f, w);
    copy.inHome = isHome && copy.missingUntil <= now;
    return copy;
  }

  private boolean eligible(PendingCall call, Worker w, boolean allowSuspects) {
    return w.phase == Phase.RUNNING
        && hasColdBudget(w)
        && groupAllows(call, w)
        && (w.failureRate < SUSPECT_FROM || allowSuspects || trialDue(call, w));
  }

  private boolean trialDue(PendingCall call, Worker w) {
    return w.nextTrialAt <= now
        && w.inFlight == 0
        && call.requestClass.effect() == Effect.SAFE
        && call.attempts.isEmpty();
  }

  private boolean tried(PendingCall call, Worker w) {
    return !call.attempts.isEmpty()
        && call.attempts.stream().anyMatch(a -> !a.missed && a.copy.worker == w);
  }

  private boolean groupAllows(PendingCall call, Worker w) {
    if (call.requestClass.effect() != Effect.KEYED || call.requestClass.group() == Group.ALL) {
      return true;
    }
    boolean zone = call.requestClass.group() == Group.ZONE;
    return call.attempts.stream()
        .map(a -> a.neverRan ? w : a.copy.worker)
        .allMatch(before -> zone ? before.zone.equals(w.zone) : before.cell == w.cell);
  }

  /** True unless the worker is cold and its budget has no call left. */
  private boolean hasColdBudget(Worker w) {
    double served = servedPerSecond / Math.max(1, fleet.size());
    ColdBudget.ServiceRate pace =
        new ColdBudget.ServiceRate(served, meanLatency, settings.dispatchers());
    return w.coldBudget.hasRoom(settings.rules(), w.startedAt, w.inFlight, pace, now);
  }

  /** Updates a cold worker's budget for the time that a call was outstanding, and its latency. */
  private void settleColdBudget(Worker w, Answer event) {
    if (warmth(w) >= 1) {
      return;
    }
    hasColdBudget(w);
    boolean withoutLoad =
        event.copyStatus() == CopyStatus.WARM || event.copyStatus() == CopyStatus.NONE;
    if (event.outcome() == Outcome.OK && withoutLoad) {
      w.coldBudget.answered(event.latency());
    }
  }

  /** The calls left in a cold worker's budget, for logs; NaN for a warm or unknown worker. */
  public double coldBudget(String worker) {
    Worker w = workers.get(worker);
    return w == null || warmth(w) >= 1 ? Double.NaN : w.coldBudget.tokens();
  }

  /** Fraction of its capacity that a worker has since its start, by the ramp of the rules. */
  private double warmth(Worker w) {
    return ColdBudget.warmth(settings.rules(), w.startedAt, now);
  }

  private boolean isWarm(CopyState copy) {
    return copy.copies > 0 && copy.warmUntil > now && copy.incarnation == copy.worker.incarnation;
  }

  private void markWarm(CopyState copy, int count) {
    copy.copies = count;
    copy.incarnation = copy.worker.incarnation;
    copy.warmUntil = now + settings.keepAlive();
    copy.missingUntil = 0;
  }

  private int callsInFlight(CopyState copy) {
    return copy.inFlight + (copy.othersInFlightUntil > now ? copy.othersInFlight : 0);
  }

  /** Known calls in flight at a worker, scaled to a worker of mean weight. */
  private double load(Worker w) {
    return (w.inFlight + w.othersInFlight) * fleet.meanWeight() / w.weight;
  }

  /** Expected latency of a call sent now: execution under the current load, plus queueing or loading. */
  private double cost(PendingCall call, Worker w, CopyState copy, boolean assumedWarm) {
    Function f = call.function;
    double own = typicalLatency(f) * w.slowdown;
    double time = own * (1 + load(w) / PARALLEL_CALLS) / warmth(w);
    if (copy != null && isWarm(copy)) {
      int lanes = f.lanes * copy.copies;
      time += own * Math.max(0, callsInFlight(copy) + 1 - lanes) / lanes;
    } else if (copy != null && copy.orderedCopies > 0) {
      time += Math.max(0, loadTime(f) - (now - copy.orderedAt));
    } else {
      time += assumedWarm ? 0 : loadTime(f);
    }
    return time + (copy == null ? 0 : Math.max(0, copy.busyUntil - now));
  }

  /** Emits a send unless a rule forbids it; the only place that does. */
  private void send(PendingCall call, CopyState copy) {
    Worker w = copy.worker;
    boolean second = call.attemptsOut > 0;
    boolean allowed = call.attempts.isEmpty() || mayResend(call);
    if (call.done
        || !allowed
        || second && !settings.limits().duplicates()
        || w.phase != Phase.RUNNING
        || call.attempts.size() >= settings.limits().maxAttempts()
        || !hasColdBudget(w)) {
      return;
    }
    dequeue(call);
    call.attempts.forEach(earlier -> earlier.overlapped |= earlier.outstanding);
    Attempt attempt = new Attempt();
    attempt.copy = copy;
    attempt.sentAt = now;
    attempt.unconfirmed = !isWarm(copy);
    attempt.expectedLatency = cost(call, w, copy, copy.inHome);
    call.attempts.add(attempt);
    call.attemptsOut++;
    w.inFlight++;
    recount(w);
    copy.inFlight++;
    call.function.inFlight++;
    if (isWarm(copy)) {
      copy.warmUntil = Math.max(copy.warmUntil, now + settings.keepAlive());
    } else if (settings.loadsOnMiss()) {
      markWarm(copy, 1);
    }
    if (warmth(w) < 1) {
      w.coldBudget.spend();
    }
    sink.accept(new Send(call.id, w.name(), 0));
  }

  // ---- timers

  private void onTimer(String token) {
    if (token.equals("sweep")) {
      sweeping = false;
      sweep();
      armSweep();
      return;
    }
    endOverdue(
        token.startsWith(SetTimer.DEADLINE)
            ? requests.get(Long.parseLong(token.substring(1)))
            : null);
  }

  private void endOverdue(PendingCall call) {
    if (call != null && !call.done && !call.streaming) {
      refuseOrFail(call);
    }
  }

  private void sweep() {
    for (PendingCall call : requests.values()) {
      if (!call.done && !call.streaming && call.attemptsOut > 0) {
        checkOverdue(call);
      }
    }
    placeAllQueued();
  }

  /** Checks whether the latest attempt of a call takes longer than it should. */
  private void checkOverdue(PendingCall call) {
    Attempt last = call.attempts.get(call.attempts.size() - 1);
    if (!last.outstanding || last.cancelled) {
      return;
    }
    Function f = call.function;
    // Overloaded lanes may never answer, so outstanding calls are the only sign of them. Covers
    // slow workers too. Does harm if execution takes half the latency target.
    if (!last.markedSlow
        && !last.unconfirmed
        && now - last.sentAt > LATE_FRACTION * call.requestClass.latencyTarget()) {
      last.markedSlow = true;
      noteOverload(true);
      noteConcurrency(f, homeSize(f) * MAX_HOME_GROWTH * homeFill(f));
      last.copy.busyUntil = now + (long) typicalLatency(f);
    }
    double ratio = (now - last.sentAt) / last.expectedLatency;
    Worker w = last.copy.worker;
    if (ratio > SILENT_FACTOR && w.lastHeardAt < last.sentAt && w.failureRate < SUSPECT_FROM) {
      noteFailure(w, 1, true);
    }
    if (ratio > OVERDUE_FACTOR) {
      w.slowdown = Math.max(w.slowdown, Math.min(10, ratio));
      trySecondAttempt(call, last);
    }
  }

  /** Repeats an overdue attempt at another worker if class, limits and token budget allow it. */
  private void trySecondAttempt(PendingCall call, Attempt last) {
    boolean attemptsLeft = call.attempts.size() < settings.limits().maxAttempts();
    boolean suspect = last.copy.worker.failureRate >= SUSPECT_FROM;
    CopyState copy =
        attemptsLeft && mayResend(call) && secondAttemptTokens >= 1 && call.attemptsOut < 2
            ? choose(call)
            : null;
    boolean better =
        copy != null && copy.worker != last.copy.worker && (isWarm(copy) || copy.inHome);
    if (copy == null || !better && !suspect) {
      return;
    }
    secondAttemptTokens--;
    if (!settings.limits().duplicates()) {
      cancel(call, call.attempts.size() - 1);
    } else if (better || settings.loadsOnMiss()) {
      send(call, copy);
    }
  }
}
