package gorseladder;

import gorseladder.RouterApi.*;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * The decisions of one dispatcher; its settings, events and actions stand in {@code RouterApi.java}.
 *
 * <p>It remembers which functions it sent to which worker and sends a call to a worker believed warm
 * that has a lane free. When its own load there is uneven beyond {@link #BALANCE} it takes the worker
 * where the call should be over first, by calls in flight. Everything else answers a way in which that
 * plain rule breaks; each such exception says when it acts.
 */
public final class Router {
  /** Load of the warm choice, in means over the fleet, beyond which the fewest in flight decide. */
  private static final double BALANCE = 2.0;
  /** Calls by which loads may differ by chance alone; without it small counts would always look uneven. */
  private static final double BALANCE_SLACK = 2.0;
  /** Calls that a worker of mean weight runs about as fast as one; only sets queues against loads. */
  private static final double PARALLEL = 4.0;
  /** Cold choices this close in time count as equal, so that a hash shared by all dispatchers decides. */
  private static final double HASH_BAND = 1.3;
  /** Weight of the newest answer in a running mean; about the last ten count. */
  private static final double NEWEST = 0.1;
  /** Weight of the newest outcome in a worker's failures: two errors near each other pass SUSPECT. */
  private static final double FAILURE_WEIGHT = 0.25;
  /** Share of failures from which a worker is avoided. */
  private static final double SUSPECT = 0.3;
  /** First wait, in usual aims, before a suspect is tried with a safe call; it doubles at each failure. */
  private static final double TRIAL_AIMS = 1.0;
  /** Doublings of that wait at most, so that a healed worker is found again. */
  private static final int TRIAL_DOUBLINGS = 3;
  /** An attempt this many times over its expected time, at a worker silent since, makes it suspect. */
  private static final double SILENT = 5.0;
  /** An attempt this many times over its expected time is worth a second try elsewhere. */
  private static final double OVERDUE = 2.5;
  /** Second tries for lateness as a share of requests taken, so that a slow fleet is not made slower. */
  private static final double SECOND_SHARE = 0.1;
  /** Part of the cold budget that the average warm worker's own rate stands for; the rest is margin. */
  private static final double COLD_MARGIN = 0.4;
  /** Part of the aim that a call waits for answers to the question who holds its function. */
  private static final double ASK_AIM_SHARE = 0.05;
  /** Questions allowed for each request taken; a fleet-wide question costs one for each worker. */
  private static final double ASKS_PER_REQUEST = 0.5;
  /** Part of the load ration that spare copies leave for calls that wait. */
  private static final double RATION_KEPT = 0.5;
  /** Parts of the shortest aim between two looks at what waits; fine enough to lose little of it. */
  private static final long SWEEPS_PER_AIM = 40;

  /** Smoothed answer time, in aims, above which a worker gets fewer calls: half leaves room for the tail. */
  private static final double CROWDED = 0.5;
  /** Weight of the newest answer in that smoothed time; quick, for a queue grows within an aim. */
  private static final double CROWD_WEIGHT = 0.2;
  /** What is left of a worker's limit after a cut. */
  private static final double CUT = 0.8;
  /** First limit of calls in flight at a worker, in calls that it runs at once. */
  private static final double FIRST_LIMIT = 3.0;
  /** Usual times a call needs before its aim, below which it counts as late. */
  private static final double LATE_MARGIN = 1.5;
  /** Part of a load's time up to which a call waits for a warm lane instead. */
  private static final double WAIT_PART = 1.0;
  /** Waiting calls tried at one look; bounds the work of a look when thousands wait. */
  private static final int MOST_TRIES = 64;
  /** Seconds of its quota that a tenant may save up for a burst. */
  private static final double QUOTA_SECONDS = 2.0;

  private final Settings settings;
  private final Random random;
  private final Map<String, RequestClass> classes = new LinkedHashMap<>();
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<String, Function> functions = new LinkedHashMap<>();
  private final Map<Long, Held> requests = new LinkedHashMap<>();
  private final Map<String, double[]> quotas = new LinkedHashMap<>();
  private final ArrayDeque<Long> takenTimes = new ArrayDeque<>();
  private final ArrayDeque<Long> loadTimes = new ArrayDeque<>();
  private final long sweepEvery;
  private final long shortestAim;
  private Consumer<Action> out;
  private long now;
  private boolean sweeping;
  private double askTokens;
  private double secondTokens = 1;
  private double meanLoadTime;
  private double meanUsual;
  private double meanWeight = 1;
  private double takenRate;
  private long lastTaken;

  /** What is known of one worker. */
  private static final class Worker {
    final String id;
    String zone;
    int cell;
    Phase phase;
    double weight = 1;
    long born;
    int inFlight;
    double others;
    double pace = 1;
    double failures;
    int strikes;
    long trialAt;
    long lastHeard;
    long fullUntil;
    double limit = FIRST_LIMIT * PARALLEL;
    double crowded;
    long cutAt;
    final ArrayDeque<Long> coldSends = new ArrayDeque<>();

    Worker(String id) {
      this.id = id;
    }
  }

  /** What is believed of one function at one worker. */
  private static final class Copy {
    final Worker worker;
    int copies;
    long until;
    int inFlight;
    int crowd;
    long crowdUntil;
    long busyUntil;
    int ordered = -1;
    long orderedAt;

    Copy(Worker worker) {
      this.worker = worker;
    }

    boolean warm(long now) {
      return copies > 0 && until > now;
    }
  }

  /** What is known of one function. */
  private static final class Function {
    final String name;
    int lanes = 1;
    long loadTime;
    double usual;
    double seenLoad;
    long calls;
    long askedAt = Long.MIN_VALUE / 2;
    long askUntil;
    int asksOut;
    int waiting;
    final Map<Worker, Copy> copies = new LinkedHashMap<>();

    Function(String name) {
      this.name = name;
    }

    Copy at(Worker worker) {
      return copies.computeIfAbsent(worker, Copy::new);
    }
  }

  /** One attempt of a request. */
  private static final class Attempt {
    Worker worker;
    long sentAt;
    double expected;
    boolean out = true;
    boolean cancelled;
    boolean neverRan;
  }

  /** A request taken and not yet forgotten; done once it has its final answer. */
  private static final class Held {
    long id;
    RequestClass requestClass;
    Function function;
    long aimAt;
    long deadline;
    boolean repeat;
    double worth;
    boolean done;
    boolean streaming;
    final List<Attempt> attempts = new ArrayList<>(2);

    boolean anyOut() {
      return attempts.stream().anyMatch(a -> a.out);
    }

    boolean mayHaveRun() {
      return attempts.stream().anyMatch(a -> !a.neverRan);
    }
  }

  public Router(Settings settings, long seed) {
    if (settings == null) {
      throw new IllegalArgumentException("impossible setting: settings");
    }
    this.settings = settings;
    this.random = new Random(seed);
    settings.classes().forEach(c -> classes.put(c.name(), c));
    for (Tenant t : settings.tenants()) {
      double own = t.quotaPerSecond() / settings.dispatchers();
      quotas.put(t.name(), new double[] {own, own * QUOTA_SECONDS, 0});
    }
    shortestAim = settings.classes().stream().mapToLong(RequestClass::aim).min().orElseThrow();
    sweepEvery = Math.max(settings.tick(), shortestAim / SWEEPS_PER_AIM);
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
    } else if (event instanceof Workers e) {
      onWorkers(e);
    } else if (event instanceof ClientGone e) {
      onClientGone(e.id());
    } else if (event instanceof FirstByte e) {
      onFirstByte(e);
    } else if (event instanceof Probed e && workers.containsKey(e.worker())) {
      noteReport(workers.get(e.worker()), e.report());
    }
  }

  // ---- the worker list

  private void onWorkers(Workers event) {
    if (event.kind() == ListKind.FAILED) {
      out.accept(new WatchList());
      return;
    }
    if (event.kind() == ListKind.SAVED && settings.asksForList()) {
      out.accept(new WatchList());
    }
    if (event.kind() != ListKind.DELTA) {
      workers.values().forEach(w -> w.phase = Phase.GONE);
    }
    for (WorkerEntry entry : event.entries()) {
      Worker w = workers.computeIfAbsent(entry.worker(), Worker::new);
      w.zone = entry.zone();
      w.cell = entry.cell();
      w.phase = entry.phase();
      w.weight = entry.weight() > 0 ? entry.weight() : 1;
      if (entry.born() > w.born) {
        w.born = entry.born();
        restarted(w);
      }
    }
    meanWeight = workers.values().stream().filter(w -> w.phase == Phase.RUNNING)
        .mapToDouble(w -> w.weight).average().orElse(1);
    if (!sweeping) {
      sweeping = true;
      out.accept(new SetTimer(sweepEvery, "sweep"));
    }
    placeWaiting(null);
  }

  /** A new birth time: whatever was loaded is gone, and so is what made the old process suspect. */
  private void restarted(Worker w) {
    functions.values().forEach(f -> forget(f.copies.get(w)));
    w.failures = 0;
    w.strikes = 0;
    w.pace = 1;
    w.crowded = 0;
    w.limit = FIRST_LIMIT * PARALLEL;
    w.lastHeard = now;
  }

  private static void forget(Copy copy) {
    if (copy != null) {
      copy.copies = 0;
      copy.crowd = 0;
    }
  }

  // ---- requests and their ends

  private void onRequest(Request event) {
    RequestClass requestClass = classes.get(event.requestClass());
    if (requestClass == null) {
      throw new IllegalArgumentException("unknown class " + event.requestClass());
    }
    Function f = functions.computeIfAbsent(event.function(), Function::new);
    f.lanes = Math.max(1, event.lanes());
    f.loadTime = event.loadTime();
    f.calls++;
    noteTaken();
    Held held = new Held();
    held.id = event.id();
    held.requestClass = requestClass;
    held.function = f;
    held.aimAt = now + requestClass.aim();
    held.deadline = now + event.timeLeft();
    held.repeat = event.repeat();
    held.worth = requestClass.worth() * (inShare(event.tenant()) ? 1 : settings.overShareWorth());
    requests.put(held.id, held);
    long left = Math.max(0, event.timeLeft() - settings.tick());
    out.accept(new SetTimer(left, "d" + held.id));
    place(held);
    f.waiting += held.anyOut() ? 0 : 1;
  }

  /** Spends a tenant's quota, taken as even over the dispatchers; what comes beyond it is worth little. */
  private boolean inShare(String tenant) {
    double[] quota = quotas.get(tenant);
    if (quota == null) {
      return true;
    }
    quota[1] = Math.min(quota[0] * QUOTA_SECONDS, quota[1] + quota[0] * (now - quota[2]) / 1e6);
    quota[2] = now;
    boolean within = quota[1] >= 1;
    quota[1] -= within ? 1 : 0;
    return within;
  }

  private void noteTaken() {
    takenTimes.addLast(now);
    askTokens = Math.min(askTokens + ASKS_PER_REQUEST, 20.0 * workers.size());
    secondTokens = Math.min(secondTokens + SECOND_SHARE, 10);
    double gap = Math.max(1, now - lastTaken);
    double weight = Math.min(1, gap / 2_000_000.0);
    takenRate += weight * (1e6 / gap - takenRate);
    lastTaken = now;
  }

  private void onClientGone(long id) {
    Held held = requests.get(id);
    if (held != null && !held.done) {
      finish(held);
    }
  }

  private void onFirstByte(FirstByte event) {
    Held held = requests.get(event.id());
    if (held != null) {
      held.streaming = true;
    }
  }

  /** The one final answer that is not a served one: refused where a repeat is harmless, else failed. */
  private void giveUp(Held held) {
    out.accept(harmless(held) ? new Refuse(held.id, 0) : new Fail(held.id));
    finish(held);
  }

  private boolean harmless(Held held) {
    RequestClass c = held.requestClass;
    return c.effect() == Effect.SAFE || !held.mayHaveRun()
        || c.effect() == Effect.KEYED && c.group() == Group.ALL;
  }

  private void finish(Held held) {
    held.done = true;
    for (int i = 0; i < held.attempts.size(); i++) {
      cancel(held, i);
    }
    if (!held.anyOut()) {
      requests.remove(held.id);
    }
  }

  private void cancel(Held held, int number) {
    Attempt attempt = held.attempts.get(number);
    if (attempt.out && !attempt.cancelled && settings.limits().cancelling()) {
      attempt.cancelled = true;
      out.accept(new Cancel(held.id, number));
    }
  }

  private void onAnswer(Answer event) {
    Held held = requests.get(event.id());
    if (held == null || event.attempt() >= held.attempts.size() || !held.attempts.get(event.attempt()).out) {
      return;
    }
    Attempt attempt = held.attempts.get(event.attempt());
    attempt.out = false;
    attempt.neverRan = event.outcome().neverRan;
    attempt.worker.inFlight--;
    Copy copy = held.function.at(attempt.worker);
    copy.inFlight--;
    learn(held, attempt, copy, event);
    if (held.done) {
      if (!held.anyOut()) {
        requests.remove(held.id);
      }
    } else if (event.settled()) {
      finish(held);
    } else if (!held.anyOut()) {
      goOn(held);
    }
    placeWaiting(held.function);
  }

  /** After a failed attempt: try again where the class allows it, else answer now. */
  private void goOn(Held held) {
    boolean attemptsLeft = held.attempts.size() < settings.limits().maxAttempts();
    if (!attemptsLeft || held.deadline <= now || !mayResend(held)) {
      giveUp(held);
    } else {
      place(held);
    }
  }

  private boolean mayResend(Held held) {
    RequestClass c = held.requestClass;
    return c.effect() == Effect.SAFE || held.attempts.stream().allMatch(a -> a.neverRan
        || c.effect() == Effect.KEYED && now - a.sentAt < c.repeatWindow() - 2 * settings.tick());
  }

  // ---- what an answer teaches

  private void learn(Held held, Attempt attempt, Copy copy, Answer event) {
    Worker w = attempt.worker;
    Function f = held.function;
    noteReport(w, event.report());
    boolean heard = event.outcome() != Outcome.TIMEOUT && event.outcome() != Outcome.CANCELLED;
    w.lastHeard = heard ? now : w.lastHeard;
    switch (event.outcome()) {
      case OK -> learnServed(held, w, copy, event);
      case MISS -> {
        forget(copy);
        if (event.note() == Note.LOAD_FAILED) {
          copy.busyUntil = now + (long) loadTime(f);
        }
      }
      case FULL -> {
        copy.busyUntil = now + (long) usual(f);
        // A lane was free, so the worker itself is full; else only room for one more copy was lacking.
        if (copy.warm(now) && event.crowd() < f.lanes * copy.copies) {
          w.fullUntil = now + (long) usual(f) / 2;
          cut(w);
        }
      }
      case ERROR -> {
        if (event.note() == Note.LOAD_FAILED) {
          forget(copy);
        } else {
          failed(w, FAILURE_WEIGHT);
        }
      }
      case RESET, CONNECT_FAILED -> {
        failed(w, 1);
        functions.values().forEach(other -> forget(other.copies.get(w)));
      }
      case TIMEOUT -> failed(w, FAILURE_WEIGHT);
      case CANCELLED, MOOT -> { }
    }
  }

  private void learnServed(Held held, Worker w, Copy copy, Answer event) {
    Function f = held.function;
    w.failures *= 1 - FAILURE_WEIGHT;
    if (w.failures < SUSPECT) {
      w.strikes = 0;
    }
    boolean grew = event.note() == Note.BEGAN && copy.warm(now);
    copy.copies = copy.warm(now) ? copy.copies + (grew ? 1 : 0) : 1;
    copy.until = now + settings.keepAlive();
    if (event.crowd() >= 0) {
      copy.crowd = Math.max(0, event.crowd() - copy.inFlight - 1);
      copy.crowdUntil = now + (long) usual(f);
    }
    boolean laneFree = event.crowd() < f.lanes * copy.copies;
    if ((event.note() == Note.WARM || event.note() == Note.NONE) && laneFree) {
      learnLimit(w, (double) event.latency() / held.requestClass.aim());
      double ratio = event.latency() / usual(f);
      w.pace += NEWEST * (Math.min(10, ratio) - w.pace);
      double capped = Math.min(event.latency(), 4 * usual(f));
      f.usual = f.usual == 0 ? capped : f.usual + NEWEST * (capped - f.usual);
      meanUsual += NEWEST * (capped - meanUsual);
    }
  }

  /**
   * The limit of own calls in flight at a worker: cut while answers take too much of the aim, raised
   * while they do not and it is used up. Guards against any standing queue: overload, a slow worker, a
   * neighbour, unseen traffic of others. It could harm a class whose work alone comes near its aim.
   */
  private void learnLimit(Worker w, double aims) {
    w.crowded += CROWD_WEIGHT * (aims - w.crowded);
    if (w.crowded > CROWDED) {
      cut(w);
    } else if (w.inFlight + 1 >= CUT * w.limit) {
      w.limit += 1 / w.limit;
    }
  }

  private void cut(Worker w) {
    if (now - w.cutAt > meanUsual) {
      w.cutAt = now;
      w.limit = Math.max(1, CUT * Math.min(w.limit, w.inFlight + 1));
    }
  }

  private boolean takes(Worker w) {
    return w.phase == Phase.RUNNING && w.inFlight < w.limit && w.fullUntil <= now;
  }

  private void failed(Worker w, double weight) {
    w.failures += weight * (1 - w.failures);
    if (w.failures >= SUSPECT) {
      double wait = TRIAL_AIMS * shortestAim * (1 << Math.min(w.strikes, TRIAL_DOUBLINGS));
      w.trialAt = now + (long) wait;
      w.strikes++;
    }
  }

  private void noteReport(Worker w, Map<String, Double> report) {
    double seen = report.containsKey("inFlight") ? Math.max(0, report.get("inFlight") - w.inFlight)
        : report.getOrDefault("queued", w.others);
    w.others += CROWD_WEIGHT * (seen - w.others);
  }

  // ---- load orders

  private void onLoaded(Loaded event) {
    Worker w = workers.get(event.worker());
    Function f = functions.get(event.function());
    if (w == null || f == null) {
      return;
    }
    Copy copy = f.at(w);
    boolean asked = copy.ordered == 0;
    copy.ordered = -1;
    if (asked && f.asksOut > 0) {
      f.asksOut--;
    }
    switch (event.outcome()) {
      case OK -> {
        w.lastHeard = now;
        if (!asked) {
          learnLoad(f, event.latency());
        }
        copy.copies = event.copies();
        copy.until = now + settings.keepAlive() / (asked ? 2 : 1);
      }
      case RESET, CONNECT_FAILED -> failed(w, 1);
      default -> {
        copy.busyUntil = now + (long) loadTime(f);
        copy.copies = event.copies();
      }
    }
    boolean told = !asked || f.asksOut == 0 || copy.copies > 0;
    for (int i = 0; told && i < f.lanes && f.waiting > 0; i++) {
      placeWaiting(f);
    }
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

  /** The load ration: orders in the window, this one included, may not pass what the rule allows. */
  private boolean mayLoad(double partKept) {
    Rules rules = settings.rules();
    if (rules.loadWindow() == 0) {
      return true;
    }
    while (!loadTimes.isEmpty() && loadTimes.peekFirst() <= now - rules.loadWindow()) {
      loadTimes.removeFirst();
    }
    while (!takenTimes.isEmpty() && takenTimes.peekFirst() < now - rules.loadWindow() + settings.tick()) {
      takenTimes.removeFirst();
    }
    double most = rules.loadsFree() + rules.loadShare() * takenTimes.size();
    return loadTimes.size() + 1 <= most * (1 - partKept);
  }

  /** The one place that emits a load order; a count of 0 only asks and is not rationed. */
  private boolean order(Function f, Worker w, int count, double partKept) {
    Copy copy = f.at(w);
    boolean running = w.phase == Phase.RUNNING;
    if (copy.ordered >= 0 || !running || !settings.limits().orders() || count > 0 && !mayLoad(partKept)) {
      return false;
    }
    if (count > 0 && settings.rules().loadWindow() > 0) {
      loadTimes.addLast(now);
    }
    copy.ordered = count;
    copy.orderedAt = now;
    out.accept(new Load(w.id, f.name, count));
    return true;
  }

  /**
   * Asks the fleet who holds a function that nobody is known to hold: after a start, or once beliefs
   * aged out. Acts within a budget of questions, so that one-off functions cannot drive it.
   */
  private boolean ask(Function f) {
    if (f.asksOut > 0 && now < f.askUntil) {
      return true;
    }
    boolean recent = now - f.askedAt < settings.keepAlive() / 2;
    if (recent || !settings.limits().orders() || askTokens < workers.size()) {
      return false;
    }
    f.askedAt = now;
    f.askUntil = now + (long) (ASK_AIM_SHARE * shortestAim);
    f.asksOut = 0;
    for (Worker w : workers.values()) {
      if (w.failures < SUSPECT && order(f, w, 0, 0)) {
        f.asksOut++;
        askTokens--;
      }
    }
    return f.asksOut > 0;
  }

  // ---- the pick

  /**
   * Places what waits, dearest first and then newest, while any worker has room. What can no longer be
   * in time counts its late worth. Under overload this sheds what is worth least: a call that found no
   * room is refused, where that is harmless, just before its aim.
   */
  private void placeWaiting(Function freed) {
    boolean leaveToSweep = freed != null && requests.size() > 10 * MOST_TRIES;
    List<Held> waiting = new ArrayList<>(leaveToSweep ? List.of() : requests.values());
    waiting.removeIf(h -> h.done || h.anyOut());
    Comparator<Held> order =
        Comparator.<Held>comparingDouble(h -> -value(h)).thenComparingLong(h -> -h.aimAt);
    if (freed == null) {
      waiting.sort(order);
      functions.values().forEach(f -> f.waiting = 0);
    } else if (!waiting.isEmpty()) {
      Comparator<Held> sameFirst = Comparator.comparing(h -> h.function != freed);
      waiting = List.of(Collections.min(waiting, sameFirst.thenComparing(order)));
      waiting.get(0).function.waiting--;
    }
    int tries = 0;
    for (Held held : waiting) {
      if (tries < MOST_TRIES && workers.values().stream().anyMatch(this::takes)) {
        tries++;
        place(held);
      } else if (late(held) && harmless(held)) {
        giveUp(held);
      }
      held.function.waiting += held.done || held.anyOut() ? 0 : 1;
    }
  }

  private boolean late(Held held) {
    return held.repeat || held.aimAt - now < LATE_MARGIN * usual(held.function);
  }

  private double value(Held held) {
    return held.worth * (late(held) ? held.requestClass.lateWorth() : 1);
  }

  /** Sends a request to the worker chosen for it, or has the function loaded there and waits. */
  private void place(Held held) {
    Function f = held.function;
    boolean known = f.copies.values().stream().anyMatch(c -> c.warm(now) || c.ordered > 0);
    if (!known && ask(f)) {
      return;
    }
    Worker w = choose(held);
    if (w == null) {
      return;
    }
    Copy copy = f.at(w);
    if (copy.warm(now) && copy.busyUntil <= now || settings.loadsOnMiss() || !settings.limits().orders()) {
      send(held, w);
    } else {
      order(f, w, 1, 0);
    }
  }

  /**
   * The one place where a worker is chosen: the least loaded of the believed-warm with a lane free,
   * unless its load passes the balance threshold; then the one where the call should be over first.
   */
  private Worker choose(Held held) {
    List<Worker> eligible = eligible(held);
    Function f = held.function;
    double mean = eligible.stream().mapToDouble(this::load).average().orElse(0);
    Worker warm = least(eligible.stream().filter(w -> room(f, w)).toList(), f);
    if (warm != null && load(warm) <= BALANCE * mean + BALANCE_SLACK) {
      return warm;
    }
    if (warm == null && waitsShorter(f, eligible)) {
      return null;
    }
    Worker soonest = least(eligible, f);
    if (soonest == null || f.at(soonest).warm(now)) {
      if (soonest != null && !settings.loadsOnMiss() && f.calls > 2) {
        order(f, soonest, f.at(soonest).copies + 1, RATION_KEPT);
      }
      return soonest;
    }
    double band = finish(f, soonest) * HASH_BAND;
    Worker best = soonest;
    for (Worker w : eligible) {
      boolean preferred = f.at(w).ordered > 0 || f.at(best).ordered <= 0 && rank(f, w) > rank(f, best);
      if (finish(f, w) <= band && preferred && !f.at(w).warm(now)) {
        best = w;
      }
    }
    return best;
  }

  /**
   * With every warm lane taken, a call stays here while a lane should be free before a load would be done.
   * Guards against copies loaded for a moment's queue, which under overload push each other out. It could
   * harm where others keep the lanes taken: the answers' crowd counts then end the wait.
   */
  private boolean waitsShorter(Function f, List<Worker> eligible) {
    int lanes = 0;
    for (Worker w : eligible) {
      Copy copy = f.at(w);
      lanes += copy.warm(now) && copy.busyUntil <= now && copy.inFlight > 0 ? f.lanes * copy.copies : 0;
    }
    return lanes > 0 && (Math.max(0, f.waiting) + 1) * usual(f) / lanes < WAIT_PART * loadTime(f);
  }

  /** Workers that may be chosen. When half of them look suspect the signal is distrusted, not the fleet. */
  private List<Worker> eligible(Held held) {
    List<Worker> running = workers.values().stream().filter(w -> w.phase == Phase.RUNNING).toList();
    boolean distrust = running.stream().filter(w -> w.failures >= SUSPECT).count() * 2 > running.size();
    List<Worker> pool = running.stream().filter(w -> takes(w) && coldRoom(w) && groupAllows(held, w)
        && (distrust || w.failures < SUSPECT || trialDue(held, w))).toList();
    List<Worker> fresh = pool.stream()
        .filter(w -> held.attempts.stream().noneMatch(a -> a.worker == w)).toList();
    return fresh.isEmpty() ? pool : fresh;
  }

  private boolean trialDue(Held held, Worker w) {
    return w.trialAt <= now && w.inFlight == 0 && held.requestClass.effect() == Effect.SAFE
        && held.attempts.isEmpty();
  }

  private boolean groupAllows(Held held, Worker w) {
    if (held.requestClass.effect() != Effect.KEYED || held.requestClass.group() == Group.ALL) {
      return true;
    }
    return held.attempts.stream().filter(a -> !a.neverRan).allMatch(
        a -> held.requestClass.group() == Group.ZONE
            ? a.worker.zone.equals(w.zone) : a.worker.cell == w.cell);
  }

  /** The cold budget: own sends to a young worker stay below its part of what warm ones take. */
  private boolean coldRoom(Worker w) {
    Rules rules = settings.rules();
    if (warmth(w) >= 1) {
      return true;
    }
    while (!w.coldSends.isEmpty() && w.coldSends.peekFirst() <= now - rules.overloadFor()) {
      w.coldSends.removeFirst();
    }
    double perWorker = takenRate / Math.max(1, workers.size()) * rules.overloadFor() / 1e6;
    double budget = COLD_MARGIN * rules.overloadMultiple() * warmth(w) * perWorker;
    return w.coldSends.size() < Math.max(1, budget);
  }

  /** The part of its capacity that a worker has at least, by its birth and the told ramp. */
  private double warmth(Worker w) {
    double from = settings.rules().coldFrom();
    double age = Math.max(0, now - w.born) / Math.max(1.0, settings.rules().coldFor());
    return w.born == 0 || age >= 1 ? 1 : from + (1 - from) * age;
  }

  private boolean room(Function f, Worker w) {
    Copy copy = f.copies.get(w);
    if (copy == null || !copy.warm(now) || copy.busyUntil > now || w.fullUntil > now) {
      return false;
    }
    return busy(copy) < f.lanes * copy.copies;
  }

  private int busy(Copy copy) {
    return copy.inFlight + (copy.crowdUntil > now ? copy.crowd : 0);
  }

  /** Calls in flight there as far as known, for a worker of mean weight. */
  private double load(Worker w) {
    return (w.inFlight + w.others) * meanWeight / w.weight;
  }

  private Worker least(List<Worker> from, Function f) {
    Worker best = null;
    double least = 0;
    int ties = 0;
    for (Worker w : from) {
      double time = finish(f, w);
      if (best == null || time < least) {
        best = w;
        least = time;
        ties = 1;
      } else if (time == least && random.nextInt(++ties) == 0) {
        best = w;
      }
    }
    return best;
  }

  /** When a call of the function sent now should be over: in-flight calls in time, plus queue or load. */
  private double finish(Function f, Worker w) {
    Copy copy = f.at(w);
    double run = usual(f) * w.pace * (1 + load(w) / PARALLEL) / warmth(w);
    if (copy.warm(now)) {
      int lanes = f.lanes * copy.copies;
      run += usual(f) * w.pace * Math.max(0, busy(copy) + 1 - lanes) / lanes;
    } else if (copy.ordered > 0) {
      run += Math.max(0, loadTime(f) - (now - copy.orderedAt));
    } else {
      run += loadTime(f);
    }
    return run + Math.max(0, Math.max(copy.busyUntil, w.fullUntil) - now);
  }

  /** The same order of workers for a function at every dispatcher, so that they load in the same place. */
  private static int rank(Function f, Worker w) {
    int h = f.name.hashCode() * 31 + w.id.hashCode();
    h = (h ^ (h >>> 16)) * 0x7feb352d;
    h = (h ^ (h >>> 15)) * 0x846ca68b;
    return h ^ (h >>> 16);
  }

  /** The one place that emits a send; a request that may not be sent again never passes here. */
  private void send(Held held, Worker w) {
    boolean second = held.anyOut();
    boolean allowed = held.attempts.isEmpty() || mayResend(held);
    if (held.done || !allowed || second && !settings.limits().duplicates() || w.phase != Phase.RUNNING
        || held.attempts.size() >= settings.limits().maxAttempts() || !coldRoom(w)) {
      return;
    }
    Copy copy = held.function.at(w);
    Attempt attempt = new Attempt();
    attempt.worker = w;
    attempt.sentAt = now;
    attempt.expected = finish(held.function, w);
    held.attempts.add(attempt);
    w.inFlight++;
    copy.inFlight++;
    if (settings.loadsOnMiss() && !copy.warm(now)) {
      copy.copies = 1;
    }
    copy.until = Math.max(copy.until, now + settings.keepAlive());
    if (warmth(w) < 1) {
      w.coldSends.addLast(now);
    }
    out.accept(new Send(held.id, w.id, 0));
  }

  // ---- timers

  private void onTimer(String token) {
    if (token.equals("sweep")) {
      out.accept(new SetTimer(sweepEvery, "sweep"));
      sweep();
      return;
    }
    Held held = requests.get(Long.parseLong(token.substring(1)));
    if (held != null && !held.done && !held.streaming) {
      giveUp(held);
    }
  }

  private void sweep() {
    for (Held held : List.copyOf(requests.values())) {
      if (!held.done && !held.streaming && held.anyOut()) {
        watch(held);
      }
    }
    placeWaiting(null);
  }

  /** Looks at the attempts of a request that take longer than they should. */
  private void watch(Held held) {
    Attempt last = held.attempts.get(held.attempts.size() - 1);
    if (!last.out || last.cancelled) {
      return;
    }
    double age = (now - last.sentAt) / last.expected;
    if (age > SILENT && last.worker.lastHeard < last.sentAt && last.worker.failures < SUSPECT) {
      failed(last.worker, 1);
    }
    if (age > OVERDUE) {
      second(held, last);
    }
  }

  /** A second try elsewhere for an overdue attempt, where class, site and budget allow it. */
  private void second(Held held, Attempt last) {
    boolean left = held.attempts.size() < settings.limits().maxAttempts();
    boolean suspect = last.worker.failures >= SUSPECT;
    Worker w = left && mayResend(held) && (secondTokens >= 1 || suspect) ? choose(held) : null;
    boolean better = w != null && w != last.worker && room(held.function, w);
    if (w == null || !better && !suspect) {
      return;
    }
    secondTokens = Math.max(0, secondTokens - 1);
    if (!settings.limits().duplicates()) {
      cancel(held, held.attempts.size() - 1);
    } else if (better || settings.loadsOnMiss()) {
      send(held, w);
    }
  }
}
