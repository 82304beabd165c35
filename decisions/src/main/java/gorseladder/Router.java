package gorseladder;

import gorseladder.RouterApi.*;
import gorseladder.RouterState.*;
import gorseladder.permits.Permits;
import gorseladder.starts.ColdBudget;
import java.util.*;
import java.util.function.Consumer;

/**
 * The decisions of one dispatcher; its settings, events and actions stand in {@code RouterApi.java}.
 *
 * <p>It remembers which functions it sent to which worker and sends a call to a worker believed warm
 * that has a lane free. When its own load there is uneven beyond {@link #BALANCE} it takes the worker
 * where the call should be over first, by calls in flight. A dispatcher that sees a function too seldom
 * to remember it believes in an order of workers that all dispatchers share: the first few of it, the
 * function's home, are likely warm by others' doing. Everything else answers a way in which that plain
 * rule breaks; each such exception says when it acts.
 */
public final class Router {
  /** Load of the warm choice, in means over the fleet, beyond which the fewest in flight decide. */
  private static final double BALANCE = 2.0;
  /** Calls by which loads may differ by chance alone; without it small counts would always look uneven. */
  private static final double BALANCE_SLACK = 2.0;
  /** Calls that a worker of mean weight runs about as fast as one; only sets queues against loads. */
  private static final double PARALLEL = 4.0;
  /** Calls of a function at each worker of its home, as a part of what a copy runs at once. */
  private static final double HOME_FILL = 0.5;
  /** A home may look this many times too narrow at one answer; a backlog is not a lasting need. */
  private static final double HOME_STEP = 3.0;
  /** Part of the usual time by which chance spreads calls over a home, so that dispatchers do not herd. */
  private static final double JITTER = 0.2;
  /** Part of a load's time by which each further worker of the shared order is less liked. */
  private static final double RANK_COST = 0.05;
  /** Weight of the newest answer in a running mean; about the last ten count. */
  private static final double NEWEST = 0.1;
  /** Weight of the newest outcome in a worker's failures: two errors near each other pass SUSPECT. */
  private static final double FAILURE_WEIGHT = 0.25;
  /** Share of late or refused answers from which calls are turned away; a few slow workers stay below. */
  private static final double STRAINED = 0.5;
  /** Part of the calls admitted that is cut at each late or refused answer while strained. */
  private static final double SHED_STEP = 0.4;
  /** Aims in which a strain that no answer confirms is half forgotten. */
  private static final double STRAIN_AIMS = 2.0;
  /** Aims in which shedding ends once the strain is over; slower than answers tell of its effect. */
  private static final double RELIEF_AIMS = 10.0;
  /** Part of calls admitted at the least, so that relief is noticed. */
  private static final double LEAST_ADMITTED = 0.1;
  /** Share of failures from which a worker is avoided. */
  private static final double SUSPECT = 0.3;
  /** Part of the own mean gap between calls to one worker before a suspect is tried again. */
  private static final double TRIAL_GAPS = 0.5;
  /** Doublings of that wait at most, so that a healed worker is found again. */
  private static final int TRIAL_DOUBLINGS = 3;
  /** An attempt this many times over its expected time, at a worker silent since, makes it suspect. */
  private static final double SILENT = 5.0;
  /** An attempt this many times over its expected time is worth a second try elsewhere. */
  private static final double OVERDUE = 2.5;
  /** Second tries for lateness as a share of requests taken, so that a slow fleet is not made slower. */
  private static final double SECOND_SHARE = 0.1;
  /** Seconds over which the own rate of served calls is measured. */
  private static final double RATE_SECONDS = 5.0;
  /** Parts of the shortest aim between two looks at what waits or is out. */
  private static final long SWEEPS_PER_AIM = 40;
  /** Part of its aim after which an answer counts as late for the fleet's strain; the rest is the tail's. */
  private static final double LATE_PART = 0.5;
  /** Weight of the newest answer in what changes within an aim: strain and reports. */
  private static final double FAST_WEIGHT = 0.2;
  /** Usual times a call needs before its aim, below which it counts as late. */
  private static final double LATE_MARGIN = 1.5;
  /** Waiting calls tried at one look; bounds the work of a look when thousands wait. */
  private static final int MOST_TRIES = 64;
  /** Part of the load ration that plans may use; the rest is left for calls that wait. */
  private static final double AHEAD_PART = 0.5;
  /** Part of the keep-alive that must be gone before a copy that stands is ordered held anew by a plan. */
  private static final double RENEW_PART = 0.5;
  /** Workers of the shared order asked for at first; nearly all calls are decided among them. */
  private static final int FEWEST_CANDIDATES = 4;
  /** Growth of that number where more are needed. */
  private static final int CANDIDATE_GROWTH = 4;
  /** Workers looked at for a call at the most, so that its cost does not grow with the fleet. */
  private static final int MOST_CANDIDATES = 256;
  /** First word of the message that a worker is sick. */
  private static final String SICK = "sick ";

  private final Settings settings;
  private final Random random;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Fleet fleet = new Fleet();
  private final Set<Worker> gone = new LinkedHashSet<>();
  private int listVersion;
  private int listNumber;
  private int nextInFleet;
  private final Map<String, Function> functions = new LinkedHashMap<>();
  private final Map<Long, PendingCall> requests = new LinkedHashMap<>();
  private final Set<Function> waiting = new LinkedHashSet<>();
  private final ArrayDeque<Long> takenTimes = new ArrayDeque<>();
  private final ArrayDeque<Long> loadTimes = new ArrayDeque<>();
  private final long sweepEvery;
  private final long shortestAim;
  private Consumer<Action> out;
  private long now;
  private boolean sweeping;
  private double secondTokens = 1;
  private double meanLoadTime;
  private double meanUsual;
  private double servedRate;
  private long lastServed;
  private double strain;
  private long strainAt;
  private long notedAt;
  private long shedAt;
  private double admitted = 1;
  private final double dearest;
  private long nextForget;
  private long workersExamined;
  private long fallThroughs;

  public Router(Settings settings, long seed) {
    if (settings == null) {
      throw new IllegalArgumentException("impossible setting: settings");
    }
    this.settings = settings;
    this.random = new Random(seed);
    settings.classes().forEach(c -> classes.put(c.name(), c));
    shortestAim =
        settings.classes().stream().mapToLong(RequestClass::latencyTarget).min().orElseThrow();
    sweepEvery = Math.max(settings.tick(), shortestAim / SWEEPS_PER_AIM);
    dearest = settings.classes().stream().mapToDouble(RequestClass::worth).max().orElseThrow();
    meanUsual = shortestAim / 5.0;
    meanLoadTime = shortestAim;
  }

  /** Takes one event at the given time and hands the actions that answer it to {@code sink}. */
  public void on(long nowMicros, Event event, Consumer<Action> sink) {
    now = nowMicros;
    out = sink;
    if (event instanceof Request e) {
      onRequest(e);
    } else if (event instanceof Answer e) {
      onAnswer(e);
    } else if (event instanceof TimerDue e) {
      onTimer(e.token());
    } else if (event instanceof Loaded e) {
      onLoaded(e);
    } else if (event instanceof PlannedLoad e) {
      onHold(e);
    } else if (event instanceof WorkerListUpdate e) {
      onWorkers(e);
    } else if (event instanceof ClientGone e) {
      onClientGone(requests.get(e.id()));
    } else if (event instanceof AnswerDue e) {
      timeUp(requests.get(e.id()));
    } else if (event instanceof FirstByte e && requests.containsKey(e.id())) {
      requests.get(e.id()).streaming = true;
    } else if (event instanceof PeerMessage e) {
      onPeerMessage(e.text());
    }
  }

  /** Workers looked at so far, by calls, changes of the list and the shared order; a measure of work. */
  public long workersExamined() {
    return workersExamined + fleet.order().examined();
  }

  /** Calls so far that found nobody among their candidates and looked through a part of the whole fleet. */
  public long fallThroughs() {
    return fallThroughs;
  }

  /** Candidates and beliefs kept of all functions together; a measure of state. */
  long functionEntries() {
    return functions.values().stream()
        .mapToLong(f -> f.order.size() + f.known.size())
        .sum();
  }

  // ---- the worker list

  private void onWorkers(WorkerListUpdate event) {
    if (event.kind() == ListKind.FAILED) {
      out.accept(new SubscribeWorkerList());
      return;
    }
    if (event.kind() == ListKind.SAVED && settings.asksForList()) {
      out.accept(new SubscribeWorkerList());
    }
    listNumber++;
    event.entries().forEach(this::onWorker);
    if (event.kind() != ListKind.DELTA) {
      workers.values().forEach(this::goneUnlessListed);
    }
    gone.removeIf(w -> w.phase != Phase.GONE || w.inFlight == 0 && workers.remove(w.name(), w));
    serveWaiting();
  }

  private void onWorker(WorkerEntry entry) {
    workersExamined++;
    Worker w = workers.computeIfAbsent(entry.worker(), Worker::new);
    w.listed = listNumber;
    w.zone = entry.zone();
    w.cell = entry.cell();
    w.phase = entry.phase();
    w.weight = entry.weight() > 0 ? entry.weight() : 1;
    if (entry.startedAt() > w.born) {
      w.born = entry.startedAt();
      restarted(w);
    }
    takeInOrOut(w);
  }

  private void goneUnlessListed(Worker w) {
    workersExamined++;
    if (w.listed != listNumber) {
      w.phase = Phase.GONE;
      takeInOrOut(w);
    }
  }

  private void takeInOrOut(Worker w) {
    listVersion += fleet.update(w) ? 1 : 0;
    if (w.phase == Phase.GONE) {
      gone.add(w);
    }
    count(w);
  }

  private void count(Worker w) {
    fleet.count(w, w.failures >= SUSPECT);
  }

  /** A new birth time: whatever was loaded is gone, and so is what made the old process suspect. */
  private void restarted(Worker w) {
    w.life++;
    w.failures = 0;
    w.suspicions = 0;
    w.pace = 1;
    w.lastHeard = now;
    w.cold.restart(random.nextDouble(), now);
  }

  // ---- requests and their ends

  private void onRequest(Request event) {
    RequestClass requestClass = classes.get(event.requestClass());
    if (requestClass == null) {
      throw new IllegalArgumentException("unknown class " + event.requestClass());
    }
    forgetFunctions();
    Function f = functions.computeIfAbsent(event.function(), Function::new);
    f.lanes = Math.max(1, event.lanes());
    f.loadTime = event.loadTime();
    f.lastAsked = now;
    if (f.inFlight + f.queue.size() > f.atOnce) {
      noteNeed(f, f.inFlight + f.queue.size());
    }
    secondTokens = Math.min(secondTokens + SECOND_SHARE, 10);
    if (settings.rules().loadWindow() > 0) {
      takenTimes.addLast(now);
    }
    PendingCall call = new PendingCall();
    call.id = event.id();
    call.requestClass = requestClass;
    call.function = f;
    call.aimAt = now + requestClass.latencyTarget();
    call.deadline = now + event.timeLeft();
    call.worth = requestClass.worth() * (event.repeat() ? requestClass.lateWorth() : 1);
    requests.put(call.id, call);
    long left = Math.max(0, event.timeLeft() - settings.tick());
    out.accept(new SetTimer(left, SetTimer.DEADLINE + call.id));
    if (admits(call)) {
      place(call);
    } else {
      giveUp(call);
    }
    armSweep();
  }

  /**
   * Sheds calls while most answers come late, are refused or are left by their clients: then the fleet
   * as a whole holds more than it can run, whoever sent it. Cheap calls go first. It could harm where all
   * work alone takes half its aim; a trickle is always admitted, so that relief is seen.
   */
  private boolean admits(PendingCall call) {
    double aims = (now - strainAt) / (double) shortestAim;
    strainAt = now;
    strain /= 1 + aims / STRAIN_AIMS;
    if (strain < STRAINED) {
      admitted = Math.min(1, admitted + aims / RELIEF_AIMS);
    }
    return random.nextDouble() < Math.pow(admitted, dearest / Math.max(1e-9, call.worth));
  }

  private void noteStrain(boolean bad) {
    double gap = (now - notedAt) / (double) shortestAim;
    notedAt = now;
    strain += Math.max(FAST_WEIGHT / 10, Math.min(FAST_WEIGHT, gap)) * ((bad ? 1 : 0) - strain);
    if (strain > STRAINED && now - shedAt > meanUsual) {
      shedAt = now;
      admitted = Math.max(LEAST_ADMITTED, admitted * (1 - SHED_STEP));
    }
  }

  /** Drops functions not asked for in two keep-alives: nothing believed of them can still be true. */
  private void forgetFunctions() {
    if (now >= nextForget) {
      nextForget = now + settings.keepAlive();
      long old = now - 2 * settings.keepAlive();
      functions.values().removeIf(f -> f.lastAsked < old && f.inFlight == 0 && f.queue.isEmpty());
      functions.values().forEach(f -> f.known.values().removeIf(this::saysNothing));
    }
  }

  private void onClientGone(PendingCall call) {
    if (call != null && !call.done) {
      // A client that waited long says that the fleet is slow; one that withdraws at once says
      // nothing of it. Guards against shedding for clients that take back what they just asked;
      // it covers connections that break. It could harm where clients give up within half an
      // aim: their leaving is then no sign.
      long waited = now - (call.aimAt - call.requestClass.latencyTarget());
      if (waited > LATE_PART * call.requestClass.latencyTarget()) {
        noteStrain(true);
      }
      finish(call);
    }
  }

  /** The one final answer that is not a served one: refused where a repeat is harmless, else failed. */
  private void giveUp(PendingCall call) {
    out.accept(harmless(call) ? new Refuse(call.id, 0) : new Fail(call.id));
    finish(call);
  }

  private boolean harmless(PendingCall call) {
    RequestClass c = call.requestClass;
    return call.attempts.stream()
        .allMatch(
            a -> Permits.mayRefuseAfter(c.effect(), c.group(), !a.neverRan).allowed());
  }

  private void finish(PendingCall call) {
    call.done = true;
    unqueue(call);
    for (int i = 0; i < call.attempts.size(); i++) {
      cancel(call, i);
    }
    if (call.out == 0) {
      requests.remove(call.id);
    }
  }

  private void cancel(PendingCall call, int number) {
    Attempt attempt = call.attempts.get(number);
    if (attempt.out && !attempt.cancelled && settings.limits().cancelling()) {
      attempt.cancelled = true;
      out.accept(new Cancel(call.id, number));
    }
  }

  private void onAnswer(Answer event) {
    PendingCall call = requests.get(event.id());
    if (call == null
        || event.attempt() < 0
        || event.attempt() >= call.attempts.size()
        || !call.attempts.get(event.attempt()).out) {
      return;
    }
    Attempt attempt = call.attempts.get(event.attempt());
    attempt.out = false;
    call.out--;
    // Guards against a keyed call that is sent again past the window of an attempt that was out
    // beside
    // another: once two were out the platform holds both windows, whatever one of them proves
    // later. It
    // covers groups and refusals too; it could harm where the proof comes late and the call has
    // time left.
    attempt.neverRan = event.outcome().neverRan && !attempt.overlapped;
    noteColdAnswer(attempt.copy.worker, event);
    attempt.copy.worker.inFlight--;
    attempt.copy.inFlight--;
    call.function.inFlight--;
    learn(call, attempt, event);
    count(attempt.copy.worker);
    if (call.done) {
      if (call.out == 0) {
        requests.remove(call.id);
      }
    } else if (event.finalAnswer()) {
      finish(call);
    } else if (call.out == 0) {
      goOn(call);
    }
    serve(call.function, MOST_TRIES);
  }

  /** After a failed attempt: try again where the class allows it, else answer now. */
  private void goOn(PendingCall call) {
    boolean attemptsLeft = call.attempts.size() < settings.limits().maxAttempts();
    if (!attemptsLeft || call.deadline <= now || !mayResend(call)) {
      giveUp(call);
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

  // ---- what an answer teaches

  private void learn(PendingCall call, Attempt attempt, Answer event) {
    Copy copy = attempt.copy;
    Worker w = copy.worker;
    Function f = call.function;
    noteReport(w, event.report());
    boolean heard = event.outcome() != Outcome.TIMEOUT && event.outcome() != Outcome.CANCELLED;
    w.lastHeard = heard ? now : w.lastHeard;
    boolean full = event.outcome() == Outcome.FULL;
    boolean warm = event.outcome() == Outcome.OK
        && (event.copyStatus() == CopyStatus.WARM || event.copyStatus() == CopyStatus.NONE);
    // Guards against shedding what is served well since rare functions find no room: full, with
    // no call of the function there and no copy believed to stand, speaks of memory and not of
    // lanes. It covers loads in line too; it could harm where all are short of memory and calls
    // turned away come back at once.
    boolean noRoom = full && event.concurrency() == 0 && attempt.blind;
    if (!attempt.slow && (full && !noRoom || warm)) {
      noteStrain(full || event.latency() > LATE_PART * call.requestClass.latencyTarget());
    }
    if (event.concurrency() >= 0) {
      copy.crowd = Math.max(0, event.concurrency() - copy.inFlight - (full ? 0 : 1));
      copy.crowdUntil = now + (long) (usual(f) * Math.max(1, copy.crowd / f.lanes));
      double most = HOME_STEP * fill(f);
      noteNeed(
          f, Math.max(f.inFlight + f.queue.size(), home(f) * Math.min(event.concurrency(), most)));
    }
    switch (event.outcome()) {
      case OK -> learnServed(call, attempt, event, warm);
      case MISS -> {
        attempt.missed = true;
        copy.copies = 0;
        copy.missingUntil = now + 2 * (long) loadTime(f);
        if (event.copyStatus() == CopyStatus.LOAD_FAILED) {
          copy.busyUntil = now + (long) loadTime(f);
        } else if (!settings.loadsOnMiss()) {
          order(copy, 1);
        }
      }
      case FULL -> copy.busyUntil = now + (long) usual(f);
      case ERROR -> {
        // Guards against a call that fails wherever it goes: from its second error on it speaks
        // of itself. It covers bad input of any kind; it could harm where two sick workers meet
        // one call after the other.
        boolean again = call.attempts.stream().anyMatch(a -> a.erred);
        attempt.erred = true;
        if (event.copyStatus() == CopyStatus.LOAD_FAILED) {
          copy.copies = 0;
        } else if (!again) {
          failed(w, FAILURE_WEIGHT, true);
        }
      }
      case RESET, CONNECT_FAILED -> {
        w.life += event.outcome() == Outcome.RESET ? 1 : 0;
        failed(w, 1, true);
      }
      case TIMEOUT -> failed(w, FAILURE_WEIGHT, true);
      case CANCELLED, MOOT -> {}
    }
  }

  private void learnServed(PendingCall call, Attempt attempt, Answer event, boolean warm) {
    Copy copy = attempt.copy;
    Worker w = copy.worker;
    Function f = call.function;
    w.failures *= 1 - FAILURE_WEIGHT;
    if (w.failures < SUSPECT) {
      w.suspicions = 0;
    }
    double gap = Math.max(1, now - lastServed) / 1e6;
    servedRate += Math.min(1, gap / RATE_SECONDS) * (1 / gap - servedRate);
    lastServed = now;
    boolean grew = event.copyStatus() == CopyStatus.BEGAN && warm(copy);
    stands(copy, warm(copy) ? copy.copies + (grew ? 1 : 0) : 1);
    if (warm
        && event.concurrency() >= f.lanes * copy.copies
        && event.latency() < LATE_MARGIN * usual(f)) {
      copy.copies = event.concurrency() / f.lanes + 1;
    }
    if (warm && event.concurrency() < f.lanes * copy.copies) {
      double ratio = event.latency() / usual(f);
      w.pace += NEWEST * (Math.min(10, ratio) - w.pace);
      double capped = Math.min(event.latency(), 4 * usual(f));
      f.usual = f.usual == 0 ? capped : f.usual + NEWEST * (capped - f.usual);
      meanUsual += NEWEST * (capped - meanUsual);
    }
  }

  /**
   * How many calls of a function the fleet holds at once: the crowd met, over all of its home, or more
   * where this dispatcher alone has more. It sets how far calls walk down the shared order, so that a hot
   * function finds lanes though nobody sees its whole load, and draws back when the crowds thin.
   */
  private void noteNeed(Function f, double calls) {
    f.seen++;
    f.atOnce += Math.max(NEWEST, 1.0 / f.seen) * (calls - f.atOnce);
  }

  private double fill(Function f) {
    return HOME_FILL * (settings.loadsOnMiss() ? 1 : Math.min(f.lanes, PARALLEL));
  }

  /** How many workers of the shared order, from the first, are taken to hold the function. */
  private double home(Function f) {
    return Math.max(1, Math.min(fleet.size(), f.atOnce / fill(f)));
  }

  /**
   * Suspicion. Where messages are allowed others are told at once, since with many dispatchers each would
   * pay for its own discovery; a single message is not enough to shun a worker.
   */
  private void failed(Worker w, double weight, boolean own) {
    w.failures += weight * (1 - w.failures);
    count(w);
    if (w.failures < SUSPECT) {
      return;
    }
    double gap = fleet.size() / Math.max(1e-3, servedRate) * 1e6;
    double wait = Math.max(shortestAim, Math.min(TRIAL_GAPS * gap, settings.keepAlive()));
    w.trialAt = now + (long) wait * (1 << Math.min(w.suspicions, TRIAL_DOUBLINGS));
    w.suspicions++;
    boolean news = w.toldSick == 0 || now - w.toldSick > settings.keepAlive();
    if (own && news && settings.limits().peers() && settings.dispatchers() > 1) {
      w.toldSick = now;
      out.accept(new TellPeers(SICK + w.name()));
    }
  }

  private void onPeerMessage(String text) {
    Worker w = text.startsWith(SICK) ? workers.get(text.substring(SICK.length())) : null;
    if (w != null && w.failures < SUSPECT) {
      failed(w, FAILURE_WEIGHT, false);
      w.toldSick = w.failures < SUSPECT ? w.toldSick : now;
    }
  }

  private void noteReport(Worker w, Map<String, Double> report) {
    double seen = report.containsKey("inFlight")
        ? Math.max(0, report.get("inFlight") - w.inFlight)
        : report.getOrDefault("queued", w.others);
    w.others += FAST_WEIGHT * (seen - w.others);
  }

  // ---- load orders

  private void onLoaded(Loaded event) {
    Worker w = workers.get(event.worker());
    Function f = functions.get(event.function());
    if (w == null || f == null) {
      return;
    }
    Copy copy = copyAt(f, w);
    copy.ordered = -1;
    switch (event.outcome()) {
      case OK -> {
        w.lastHeard = now;
        learnLoad(f, event.latency());
        stands(copy, event.copies());
      }
      case RESET, CONNECT_FAILED -> failed(w, 1, true);
      default -> {
        copy.busyUntil = now + (long) loadTime(f);
        copy.missingUntil = copy.busyUntil;
        copy.copies = event.copies();
      }
    }
    serve(f, MOST_TRIES);
  }

  private void learnLoad(Function f, long latency) {
    if (latency * 4 > meanLoadTime) {
      f.seenLoad = f.seenLoad == 0 ? latency : (f.seenLoad + latency) / 2;
      meanLoadTime += NEWEST * (latency - meanLoadTime);
    }
  }

  private double loadTime(Function f) {
    double told = f.loadTime > 0 ? f.loadTime : meanLoadTime;
    return f.seenLoad > 0 ? f.seenLoad : told;
  }

  private double usual(Function f) {
    return f.usual > 0 ? f.usual : meanUsual;
  }

  /**
   * A copy that a plan wants ahead of need. It yields to calls: nothing is ordered while one waits, from
   * the part of the ration kept for them, or at a worker that is cold or suspect. It could harm where a
   * plan is wrong: each order may push out what a later call needs; the plan's maker pays for that.
   */
  private void onHold(PlannedLoad event) {
    Worker w = workers.get(event.worker());
    if (w == null
        || !waiting.isEmpty()
        || warmth(w) < 1
        || w.failures >= SUSPECT
        || !mayLoad(AHEAD_PART)) {
      return;
    }
    Function f = functions.computeIfAbsent(event.function(), Function::new);
    f.lanes = f.lanes == 0 ? event.lanes() : f.lanes;
    f.loadTime = f.loadTime == 0 ? event.loadTime() : f.loadTime;
    f.lastAsked = now;
    Copy copy = copyAt(f, w);
    boolean fresh = copy.until - now > RENEW_PART * settings.keepAlive();
    if (!warm(copy) || copy.copies < event.copies() || !fresh) {
      order(copy, event.copies());
    }
  }

  /** The load ration: orders in the window, this one included, may not pass this part of what is allowed. */
  private boolean mayLoad(double part) {
    Rules rules = settings.rules();
    while (!loadTimes.isEmpty() && loadTimes.peekFirst() <= now - rules.loadWindow()) {
      loadTimes.removeFirst();
    }
    while (!takenTimes.isEmpty()
        && takenTimes.peekFirst() < now - rules.loadWindow() + settings.tick()) {
      takenTimes.removeFirst();
    }
    double most = rules.freeLoads() + rules.loadsPerCall() * takenTimes.size();
    return rules.loadWindow() == 0 || loadTimes.size() + 1 <= part * most;
  }

  /** The one place that emits a load order. */
  private void order(Copy copy, int count) {
    boolean running = copy.worker.phase == Phase.RUNNING;
    if (copy.ordered >= 0 || !running || !settings.limits().orders() || !mayLoad(1)) {
      return;
    }
    if (settings.rules().loadWindow() > 0) {
      loadTimes.addLast(now);
    }
    copy.ordered = count;
    copy.orderedAt = now;
    out.accept(new Load(copy.worker.name(), copy.function.name, count));
  }

  // ---- what waits

  private void armSweep() {
    if (!sweeping && !requests.isEmpty()) {
      sweeping = true;
      out.accept(new SetTimer(sweepEvery, "sweep"));
    }
  }

  private void enqueue(PendingCall call) {
    if (!call.queued) {
      call.queued = true;
      call.function.queue.addLast(call);
      waiting.add(call.function);
    }
  }

  private void unqueue(PendingCall call) {
    if (call.queued) {
      call.queued = false;
      call.function.queue.removeFirstOccurrence(call);
      if (call.function.queue.isEmpty()) {
        waiting.remove(call.function);
      }
    }
  }

  /** Places what waits for one function, newest first, while there is room; returns the tries left. */
  private int serve(Function f, int tries) {
    int left = tries;
    while (left > 0 && !f.queue.isEmpty()) {
      PendingCall call = f.queue.peekLast();
      left--;
      place(call);
      if (call.queued) {
        break;
      }
    }
    return left;
  }

  /**
   * Places what waits, dearest first and then newest, while any worker has room. What can no longer be
   * in time counts its late worth. Under overload this sheds what is worth least: a call that found no
   * room is refused, where that is harmless, just before its aim.
   */
  private void serveWaiting() {
    List<Function> order = new ArrayList<>(waiting);
    order.sort((a, b) -> Double.compare(value(b.queue.peekLast()), value(a.queue.peekLast())));
    int tries = MOST_TRIES;
    for (Function f : order) {
      tries = serve(f, tries);
      while (!f.queue.isEmpty() && late(f.queue.peekFirst()) && harmless(f.queue.peekFirst())) {
        giveUp(f.queue.peekFirst());
      }
    }
  }

  private boolean late(PendingCall call) {
    return call.aimAt - now < LATE_MARGIN * usual(call.function);
  }

  private double value(PendingCall call) {
    return call.worth * (late(call) ? call.requestClass.lateWorth() : 1);
  }

  // ---- the pick

  /** Sends a request to the worker chosen for it, or has the function loaded there and waits. */
  private void place(PendingCall call) {
    Copy copy = choose(call);
    boolean orders = !settings.loadsOnMiss() && settings.limits().orders();
    boolean blind =
        copy != null && copy.home && call.attempts.size() < settings.limits().maxAttempts() - 2;
    if (copy != null && (warm(copy) || blind || !orders)) {
      send(call, copy);
    } else if (copy != null && copy.ordered < 0) {
      order(copy, 1);
    }
    if (call.out == 0 && !call.done) {
      enqueue(call);
    }
  }

  /** Begins the order of a function's workers anew where the list has changed. */
  private void arrange(Function f) {
    if (f.version != listVersion) {
      f.version = listVersion;
      f.order = fleet.order().first(f.hash, FEWEST_CANDIDATES);
      f.known.values().removeIf(copy -> !copy.worker.isOrdered() && copy.inFlight == 0);
    }
  }

  /** Asks for more of a function's order where it is needed; false where it does not reach so far. */
  private boolean reaches(Function f, int place) {
    if (place >= f.order.size() && f.order.size() < fleet.size()) {
      int more = Math.min(f.order.size() * CANDIDATE_GROWTH, MOST_CANDIDATES);
      int block = (place / MOST_CANDIDATES + 1) * MOST_CANDIDATES;
      f.order = fleet.order().first(f.hash, place < more ? more : block);
    }
    return place < f.order.size();
  }

  private Copy copyAt(Function f, Worker w) {
    return f.known.computeIfAbsent(w, worker -> new Copy(f, worker));
  }

  /** True where it makes no difference to a call whether this is remembered. */
  private boolean saysNothing(Copy copy) {
    long until = Math.max(Math.max(copy.busyUntil, copy.missingUntil), copy.crowdUntil);
    return !warm(copy) && copy.inFlight == 0 && copy.ordered < 0 && until <= now;
  }

  private Copy choose(PendingCall call) {
    arrange(call.function);
    Copy untried = choose(call, true);
    return untried != null || call.attempts.isEmpty() ? untried : choose(call, false);
  }

  /**
   * The one place where a worker is chosen: the least loaded of the believed-warm with a lane free,
   * unless its load passes the balance threshold; then the one where the call should be over first. Null
   * where none may take it, or where a lane should be free here before a load is done.
   */
  private Copy choose(PendingCall call, boolean untried) {
    Function f = call.function;
    boolean distrust = fleet.mostSuspect();
    long home = Math.round(home(f));
    // A home wider than may be looked at is sampled.
    int from = home <= MOST_CANDIDATES ? 0 : random.nextInt((int) home - MOST_CANDIDATES + 1);
    int rank = from;
    int warm = -1;
    int soonest = -1;
    double warmCost = 0;
    double soonestCost = 0;
    int lanesOut = 0;
    int knownSeen = 0;
    for (int i = from; i < from + MOST_CANDIDATES && reaches(f, i); i++) {
      boolean othersUnknown = rank >= home && knownSeen >= f.known.size();
      if (othersUnknown && soonest >= 0 && soonestCost <= leastCost(f, rank, home)) {
        break;
      }
      workersExamined++;
      Worker w = f.order.get(i);
      Copy copy = f.known.get(w);
      knownSeen += copy == null ? 0 : 1;
      int place = rank;
      rank += eligible(call, w, distrust) ? 1 : 0;
      if (place == rank || untried && tried(call, w)) {
        continue;
      }
      boolean known = copy != null && warm(copy);
      boolean shared = place < home && (copy == null || copy.missingUntil <= now);
      double cost = cost(call, w, copy, shared);
      cost += place >= home
          ? RANK_COST * (place - home + 1) * loadTime(f)
          : copy == null || copy.ordered <= 0 ? JITTER * cost * random.nextDouble() : 0;
      boolean free =
          copy == null || copy.busyUntil <= now && busy(copy) < f.lanes * Math.max(1, copy.copies);
      if ((known || shared) && free && (warm < 0 || cost < warmCost)) {
        warm = i;
        warmCost = cost;
      }
      if (soonest < 0 || cost < soonestCost) {
        soonest = i;
        soonestCost = cost;
      }
      lanesOut += known && copy.busyUntil <= now && copy.inFlight > 0 ? f.lanes * copy.copies : 0;
    }
    double balanced = BALANCE * fleet.meanLoad(distrust) + BALANCE_SLACK;
    if (warm >= 0 && load(f.order.get(warm)) <= balanced) {
      return chosen(f, f.order.get(warm), warm < home);
    }
    if (soonest < 0) {
      return fleet.size() <= MOST_CANDIDATES ? null : fallThrough(call, untried, distrust);
    }
    // Guards against copies loaded for a moment's queue, which under overload push each other
    // out. It could harm where others keep the lanes taken: the answers' crowd counts then
    // widen the home.
    boolean wait = warm < 0 && (f.queue.size() + 1) * usual(f) < loadTime(f) * lanesOut;
    return wait ? null : chosen(f, f.order.get(soonest), soonest < home);
  }

  /** What a call costs at the least at a worker of this place or behind, where no copy is known. */
  private double leastCost(Function f, int place, long home) {
    return loadTime(f) * (1 + RANK_COST * (place - home + 1));
  }

  /**
   * The best of the next few of the whole fleet. Guards against candidates that are all drained, suspect,
   * cold, tried or of another zone while others are free; a call that still finds nobody waits and goes on
   * from there. It could harm where most of a large fleet is out: each call then costs as much as it may.
   */
  private Copy fallThrough(PendingCall call, boolean untried, boolean distrust) {
    fallThroughs++;
    Worker best = null;
    double bestCost = 0;
    for (int i = 0; i < MOST_CANDIDATES; i++) {
      workersExamined++;
      nextInFleet = (nextInFleet + 1) % fleet.size();
      Worker w = fleet.get(nextInFleet);
      if (!eligible(call, w, distrust) || untried && tried(call, w)) {
        continue;
      }
      double cost = cost(call, w, call.function.known.get(w), false);
      if (best == null || cost < bestCost) {
        best = w;
        bestCost = cost;
      }
    }
    return best == null ? null : chosen(call.function, best, false);
  }

  private Copy chosen(Function f, Worker w, boolean isHome) {
    Copy copy = copyAt(f, w);
    copy.home = isHome && copy.missingUntil <= now;
    return copy;
  }

  private boolean eligible(PendingCall call, Worker w, boolean distrust) {
    return w.phase == Phase.RUNNING
        && coldRoom(w)
        && groupAllows(call, w)
        && (w.failures < SUSPECT || distrust || trialDue(call, w));
  }

  private boolean trialDue(PendingCall call, Worker w) {
    return w.trialAt <= now
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

  /** Whether the budget of a worker that is starting has a call left. */
  private boolean coldRoom(Worker w) {
    double served = servedRate / Math.max(1, fleet.size());
    ColdBudget.ServiceRate pace =
        new ColdBudget.ServiceRate(served, meanUsual, settings.dispatchers());
    return w.cold.hasRoom(settings.rules(), w.born, w.inFlight, pace, now);
  }

  /** Settles the cold budget for the time in which a call was out, and learns what it took without a load. */
  private void noteColdAnswer(Worker w, Answer event) {
    if (warmth(w) >= 1) {
      return;
    }
    coldRoom(w);
    boolean withoutLoad =
        event.copyStatus() == CopyStatus.WARM || event.copyStatus() == CopyStatus.NONE;
    if (event.outcome() == Outcome.OK && withoutLoad) {
      w.cold.answered(event.latency());
    }
  }

  /** What is saved up for a starting worker, in calls, for logs; NaN for one that is warm or unknown. */
  public double coldBudget(String worker) {
    Worker w = workers.get(worker);
    return w == null || warmth(w) >= 1 ? Double.NaN : w.cold.tokens();
  }

  /** The part of its capacity that a worker has at least, by its birth and the told ramp. */
  private double warmth(Worker w) {
    return ColdBudget.warmth(settings.rules(), w.born, now);
  }

  private boolean warm(Copy copy) {
    return copy.copies > 0 && copy.until > now && copy.life == copy.worker.life;
  }

  private void stands(Copy copy, int count) {
    copy.copies = count;
    copy.life = copy.worker.life;
    copy.until = now + settings.keepAlive();
    copy.missingUntil = 0;
  }

  private int busy(Copy copy) {
    return copy.inFlight + (copy.crowdUntil > now ? copy.crowd : 0);
  }

  /** Calls in flight there as far as known, for a worker of mean weight. */
  private double load(Worker w) {
    return (w.inFlight + w.others) * fleet.meanWeight() / w.weight;
  }

  /** How long a call sent now should take: calls in flight in time, plus queue or load. */
  private double cost(PendingCall call, Worker w, Copy copy, boolean shared) {
    Function f = call.function;
    double own = usual(f) * w.pace;
    double time = own * (1 + load(w) / PARALLEL) / warmth(w);
    if (copy != null && warm(copy)) {
      int lanes = f.lanes * copy.copies;
      time += own * Math.max(0, busy(copy) + 1 - lanes) / lanes;
    } else if (copy != null && copy.ordered > 0) {
      time += Math.max(0, loadTime(f) - (now - copy.orderedAt));
    } else {
      time += shared ? 0 : loadTime(f);
    }
    return time + (copy == null ? 0 : Math.max(0, copy.busyUntil - now));
  }

  /** The one place that emits a send; a request that may not be sent again never passes here. */
  private void send(PendingCall call, Copy copy) {
    Worker w = copy.worker;
    boolean second = call.out > 0;
    boolean allowed = call.attempts.isEmpty() || mayResend(call);
    if (call.done
        || !allowed
        || second && !settings.limits().duplicates()
        || w.phase != Phase.RUNNING
        || call.attempts.size() >= settings.limits().maxAttempts()
        || !coldRoom(w)) {
      return;
    }
    unqueue(call);
    call.attempts.forEach(earlier -> earlier.overlapped |= earlier.out);
    Attempt attempt = new Attempt();
    attempt.copy = copy;
    attempt.sentAt = now;
    attempt.blind = !warm(copy);
    attempt.expected = cost(call, w, copy, copy.home);
    call.attempts.add(attempt);
    call.out++;
    w.inFlight++;
    count(w);
    copy.inFlight++;
    call.function.inFlight++;
    if (warm(copy)) {
      copy.until = Math.max(copy.until, now + settings.keepAlive());
    } else if (settings.loadsOnMiss()) {
      stands(copy, 1);
    }
    if (warmth(w) < 1) {
      w.cold.spend();
    }
    out.accept(new Send(call.id, w.name(), 0));
  }

  // ---- timers

  private void onTimer(String token) {
    if (token.equals("sweep")) {
      sweeping = false;
      sweep();
      armSweep();
      return;
    }
    timeUp(
        token.startsWith(SetTimer.DEADLINE)
            ? requests.get(Long.parseLong(token.substring(1)))
            : null);
  }

  private void timeUp(PendingCall call) {
    if (call != null && !call.done && !call.streaming) {
      giveUp(call);
    }
  }

  private void sweep() {
    for (PendingCall call : requests.values()) {
      if (!call.done && !call.streaming && call.out > 0) {
        watch(call);
      }
    }
    serveWaiting();
  }

  /** Looks at the attempts of a request that take longer than they should. */
  private void watch(PendingCall call) {
    Attempt last = call.attempts.get(call.attempts.size() - 1);
    if (!last.out || last.cancelled) {
      return;
    }
    Function f = call.function;
    // Guards against lanes that hold more than they can run and so never answer: calls still
    // out there are the only sign. It covers slow workers too; it could harm where all work
    // takes half its aim.
    if (!last.slow
        && !last.blind
        && now - last.sentAt > LATE_PART * call.requestClass.latencyTarget()) {
      last.slow = true;
      noteStrain(true);
      noteNeed(f, home(f) * HOME_STEP * fill(f));
      last.copy.busyUntil = now + (long) usual(f);
    }
    double age = (now - last.sentAt) / last.expected;
    Worker w = last.copy.worker;
    if (age > SILENT && w.lastHeard < last.sentAt && w.failures < SUSPECT) {
      failed(w, 1, true);
    }
    if (age > OVERDUE) {
      w.pace = Math.max(w.pace, Math.min(10, age));
      second(call, last);
    }
  }

  /** A second try elsewhere for an overdue attempt, where class, site and budget allow it. */
  private void second(PendingCall call, Attempt last) {
    boolean left = call.attempts.size() < settings.limits().maxAttempts();
    boolean suspect = last.copy.worker.failures >= SUSPECT;
    Copy copy = left && mayResend(call) && secondTokens >= 1 && call.out < 2 ? choose(call) : null;
    boolean better = copy != null && copy.worker != last.copy.worker && (warm(copy) || copy.home);
    if (copy == null || !better && !suspect) {
      return;
    }
    secondTokens--;
    if (!settings.limits().duplicates()) {
      cancel(call, call.attempts.size() - 1);
    } else if (better || settings.loadsOnMiss()) {
      send(call, copy);
    }
  }
}
