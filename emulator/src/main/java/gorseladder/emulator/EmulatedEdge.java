package gorseladder.emulator;

import gorseladder.Router;
import gorseladder.RouterApi.Action;
import gorseladder.RouterApi.Answer;
import gorseladder.RouterApi.Cancel;
import gorseladder.RouterApi.ClientGone;
import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.Event;
import gorseladder.RouterApi.Fail;
import gorseladder.RouterApi.Load;
import gorseladder.RouterApi.Loaded;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.PeerMessage;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.PlannedLoad;
import gorseladder.RouterApi.Refuse;
import gorseladder.RouterApi.Request;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Send;
import gorseladder.RouterApi.SetTimer;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.TellPeers;
import gorseladder.RouterApi.TimerDue;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.ahead.FunctionStats;
import gorseladder.ahead.Plan;
import gorseladder.ahead.PlanExecutor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/** A dispatcher: the real router and the real plan executor, connected by an emulated network. */
final class EmulatedEdge {
  private static final long HOLD_CHECK_MICROS = 250_000;

  /** Receives the outcome of each call and the results of rule checks. */
  interface CallObserver {
    /** Called once for each call, at its final answer. */
    void callEnded(
        EmulatedFunction function,
        RequestClass requestClass,
        long arrivedAt,
        Outcome outcome,
        boolean cold);

    /** Counts an occasion on which a rule was checked. */
    void countOccasion(String rule);

    /** Counts a rule violation. */
    void countViolation(String description);
  }

  private static final class Attempt {
    private final EmulatedRunner runner;
    private final long sentAt;
    private int number = -1;
    private boolean ended;

    Attempt(EmulatedRunner runner, long sentAt) {
      this.runner = runner;
      this.sentAt = sentAt;
    }
  }

  private static final class CallState {
    private EmulatedFunction function;
    private RequestClass requestClass;
    private double workMicros;
    private long arrivedAt;
    private boolean finished;
    private boolean cold;
    private int attemptsInFlight;
    private final List<Attempt> attempts = new ArrayList<>(2);
  }

  private final Settings settings;
  private final EventScheduler scheduler;
  private final long networkMicros;
  private final Router router;
  private final PlanExecutor planExecutor;
  private final FunctionStats functionStats = new FunctionStats();
  private final Function<String, EmulatedRunner> runners;
  private final Function<String, EmulatedFunction> functions;
  private final CallObserver observer;
  private final Map<Long, CallState> calls = new HashMap<>();
  private final Map<String, Long> notRunningSince = new HashMap<>();
  private final ArrayDeque<Long> acceptedAt = new ArrayDeque<>();
  private final ArrayDeque<Long> orderedAt = new ArrayDeque<>();
  private Consumer<String> sendToPeers = text -> {};
  private long nextId;
  private boolean holdCheckScheduled;
  private boolean sendingPlannedLoad;

  EmulatedEdge(
      Settings settings,
      long seed,
      EventScheduler scheduler,
      long networkMicros,
      Function<String, EmulatedRunner> runners,
      Function<String, EmulatedFunction> functions,
      CallObserver observer) {
    this.settings = settings;
    this.scheduler = scheduler;
    this.networkMicros = networkMicros;
    this.runners = runners;
    this.functions = functions;
    this.observer = observer;
    this.router = new Router(settings, seed);
    this.planExecutor = new PlanExecutor(settings.keepAlive());
  }

  void setPeerSender(Consumer<String> sender) {
    sendToPeers = sender;
  }

  void handle(Event event) {
    if (event instanceof WorkerListUpdate w) {
      w.entries().forEach(e -> {
        if (e.phase() == Phase.RUNNING) {
          notRunningSince.remove(e.worker());
        } else {
          notRunningSince.putIfAbsent(e.worker(), scheduler.now());
        }
      });
    }
    if (event instanceof PeerMessage m) {
      planExecutor.peerMessage(m.text(), scheduler.now());
    }
    router.on(scheduler.now(), event, this::carryOut);
  }

  /** Accepts a call from a client. */
  void arrive(EmulatedFunction function, double workMicros) {
    CallState call = new CallState();
    call.function = function;
    call.requestClass = settings.classes().get(function.requestClass());
    call.workMicros = workMicros;
    call.arrivedAt = scheduler.now();
    long id = nextId++;
    calls.put(id, call);
    functionStats.callAccepted(function.name(), function.memoryMb(), function.lanes());
    acceptedAt.addLast(scheduler.now());
    handle(new Request(
        id,
        call.requestClass.name(),
        "",
        function.name(),
        call.requestClass.deadline(),
        0,
        function.memoryMb(),
        function.lanes(),
        (long) function.loadMicros(),
        false));
    scheduler.after(call.requestClass.deadline(), () -> {
      if (!call.finished) {
        observer.countViolation("rule 1: no answer within the deadline");
        finishCall(id, call, Outcome.TIMEOUT);
        handle(new ClientGone(id));
      }
    });
  }

  private void finishCall(long id, CallState call, Outcome outcome) {
    if (call.finished) {
      observer.countViolation("rule 1: a second final answer");
      return;
    }
    call.finished = true;
    observer.countOccasion("rule 1, final answers");
    observer.callEnded(call.function, call.requestClass, call.arrivedAt, outcome, call.cold);
    removeIfDone(id, call);
  }

  private void removeIfDone(long id, CallState call) {
    if (call.finished && call.attemptsInFlight == 0) {
      calls.remove(id);
    }
  }

  private void carryOut(Action action) {
    if (action instanceof Send a) {
      send(a);
    } else if (action instanceof SetTimer a) {
      scheduler.after(a.delay(), () -> handle(new TimerDue(a.token())));
    } else if (action instanceof Refuse a) {
      finishCall(a.id(), calls.get(a.id()), Outcome.FULL);
    } else if (action instanceof Fail a) {
      finishCall(a.id(), calls.get(a.id()), Outcome.ERROR);
    } else if (action instanceof Cancel a) {
      cancel(a);
    } else if (action instanceof Load a) {
      orderLoad(a);
    } else if (action instanceof TellPeers a) {
      sendToPeers.accept(a.text());
    }
  }

  private void checkDrain(String worker, String sent) {
    Long toldAt = notRunningSince.get(worker);
    if (toldAt != null) {
      observer.countOccasion("rule 3, told drains or gone");
    }
    if (toldAt != null && scheduler.now() > toldAt + settings.rules().drainGrace()) {
      observer.countViolation("rule 3: " + sent + " after the grace");
    }
  }

  private void send(Send a) {
    checkDrain(a.worker(), "a call");
    CallState call = calls.get(a.id());
    Attempt attempt = new Attempt(runners.apply(a.worker()), scheduler.now());
    int number = call.attempts.size();
    call.attempts.add(attempt);
    call.attemptsInFlight++;
    scheduler.after(networkMicros, () -> {
      if (!attempt.ended) {
        attempt.number = attempt.runner.call(
            call.function,
            call.workMicros,
            settings.loadsOnMiss(),
            result ->
                scheduler.after(networkMicros, () -> attemptEnded(a.id(), call, number, result)));
      }
    });
  }

  private void attemptEnded(long id, CallState call, int number, EmulatedRunner.Result result) {
    Attempt attempt = call.attempts.get(number);
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    call.attemptsInFlight--;
    call.cold |= result.copyStatus() == CopyStatus.BEGAN
        || result.copyStatus() == CopyStatus.WAITED
        || result.outcome() == Outcome.MISS;
    long latency = scheduler.now() - attempt.sentAt;
    if (result.outcome() == Outcome.OK) {
      functionStats.served(call.function.name(), result.copyStatus(), latency);
      String report = planExecutor.served(
          attempt.runner.name(), call.function.name(), result.copyStatus(), scheduler.now());
      if (report != null) {
        sendToPeers.accept(report);
      }
    }
    boolean isFinal = result.outcome() == Outcome.OK && !call.finished;
    if (isFinal) {
      finishCall(id, call, Outcome.OK);
    }
    handle(new Answer(
        id,
        number,
        attempt.runner.name(),
        result.outcome(),
        isFinal,
        latency,
        result.copyStatus(),
        result.concurrency(),
        Map.of("inFlight", (double) result.callsHeld())));
    removeIfDone(id, call);
  }

  private void cancel(Cancel a) {
    CallState call = calls.get(a.id());
    Attempt attempt = call.attempts.get(a.attempt());
    if (attempt.number >= 0) {
      scheduler.after(networkMicros, () -> attempt.runner.cancel(attempt.number));
    }
    scheduler.after(
        0,
        () -> attemptEnded(
            a.id(),
            call,
            a.attempt(),
            new EmulatedRunner.Result(Outcome.CANCELLED, CopyStatus.NONE, -1, 0)));
  }

  private void orderLoad(Load a) {
    checkDrain(a.worker(), "an order");
    checkRation();
    long sentAt = scheduler.now();
    if (sendingPlannedLoad) {
      planExecutor.ordered(a.worker(), a.function(), sentAt);
    }
    EmulatedRunner runner = runners.apply(a.worker());
    scheduler.after(
        networkMicros,
        () -> runner.order(
            functions.apply(a.function()),
            a.copies(),
            (outcome, copies) -> scheduler.after(networkMicros, () -> {
              long latency = scheduler.now() - sentAt;
              if (outcome == Outcome.OK) {
                functionStats.loaded(a.function(), latency);
              }
              planExecutor.loaded(a.worker(), a.function(), outcome, latency, scheduler.now());
              handle(new Loaded(a.worker(), a.function(), copies, outcome, latency));
            })));
  }

  private void checkRation() {
    long window = settings.rules().loadWindow();
    if (window == 0) {
      acceptedAt.clear();
      return;
    }
    observer.countOccasion("rule 5, orders under a ration");
    orderedAt.addLast(scheduler.now());
    while (orderedAt.peekFirst() <= scheduler.now() - window) {
      orderedAt.removeFirst();
    }
    while (!acceptedAt.isEmpty() && acceptedAt.peekFirst() <= scheduler.now() - window) {
      acceptedAt.removeFirst();
    }
    if (orderedAt.size()
        > settings.rules().freeLoads() + settings.rules().loadsPerCall() * acceptedAt.size()) {
      observer.countViolation("rule 5: an order beyond the ration");
    }
  }

  PlanExecutor.Verdict acceptPlan(Plan plan) {
    PlanExecutor.Verdict verdict = planExecutor.offer(plan, scheduler.now());
    if (!holdCheckScheduled && planExecutor.hasPendingHolds()) {
      holdCheckScheduled = true;
      scheduler.after(0, this::sendDueHolds);
    }
    return verdict;
  }

  private void sendDueHolds() {
    for (PlannedLoad hold : planExecutor.due(scheduler.now())) {
      sendingPlannedLoad = true;
      handle(hold);
      sendingPlannedLoad = false;
    }
    holdCheckScheduled = planExecutor.hasPendingHolds();
    if (holdCheckScheduled) {
      scheduler.after(HOLD_CHECK_MICROS, this::sendDueHolds);
    }
  }

  PlanExecutor planExecutor() {
    return planExecutor;
  }

  FunctionStats functionStats() {
    return functionStats;
  }
}
