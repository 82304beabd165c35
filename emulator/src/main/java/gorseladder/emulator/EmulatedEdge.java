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

/** A dispatcher: the real router and the real side of plans, with an emulated network around them. */
final class EmulatedEdge {
  private static final long LOOK = 250_000;

  /** What befell a call, told once, at its final answer. */
  interface Judge {
    void ended(
        Drawn function, RequestClass requestClass, long arrivedAt, Outcome outcome, boolean cold);

    /** Something was held against a rule. */
    void judged(String rule);

    /** An order or a send after a drain's grace, or an order beyond the ration. */
    void broken(String what);
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

  private static final class Held {
    private Drawn function;
    private RequestClass requestClass;
    private double work;
    private long arrivedAt;
    private boolean over;
    private boolean cold;
    private int out;
    private final List<Attempt> attempts = new ArrayList<>(2);
  }

  private final Settings settings;
  private final Agenda agenda;
  private final long network;
  private final Router router;
  private final PlanExecutor ahead;
  private final FunctionStats seen = new FunctionStats();
  private final Function<String, EmulatedRunner> runners;
  private final Function<String, Drawn> functions;
  private final Judge judge;
  private final Map<Long, Held> held = new HashMap<>();
  private final Map<String, Long> notRunning = new HashMap<>();
  private final ArrayDeque<Long> taken = new ArrayDeque<>();
  private final ArrayDeque<Long> ordered = new ArrayDeque<>();
  private Consumer<String> peers = text -> {};
  private long ids;
  private boolean looking;
  private boolean holding;

  EmulatedEdge(
      Settings settings,
      long seed,
      Agenda agenda,
      long network,
      Function<String, EmulatedRunner> runners,
      Function<String, Drawn> functions,
      Judge judge) {
    this.settings = settings;
    this.agenda = agenda;
    this.network = network;
    this.runners = runners;
    this.functions = functions;
    this.judge = judge;
    this.router = new Router(settings, seed);
    this.ahead = new PlanExecutor(settings.keepAlive());
  }

  void tellPeersBy(Consumer<String> how) {
    peers = how;
  }

  void tell(Event event) {
    if (event instanceof WorkerListUpdate w) {
      w.entries().forEach(e -> {
        if (e.phase() == Phase.RUNNING) {
          notRunning.remove(e.worker());
        } else {
          notRunning.putIfAbsent(e.worker(), agenda.now());
        }
      });
    }
    if (event instanceof PeerMessage m) {
      ahead.peerMessage(m.text(), agenda.now());
    }
    router.on(agenda.now(), event, this::carryOut);
  }

  /** A call arrives. */
  void arrive(Drawn f, double work) {
    Held h = new Held();
    h.function = f;
    h.requestClass = settings.classes().get(f.requestClass());
    h.work = work;
    h.arrivedAt = agenda.now();
    long id = ids++;
    held.put(id, h);
    seen.callAccepted(f.name(), f.memoryMb(), f.lanes());
    taken.addLast(agenda.now());
    tell(new Request(
        id,
        h.requestClass.name(),
        "",
        f.name(),
        h.requestClass.deadline(),
        0,
        f.memoryMb(),
        f.lanes(),
        (long) f.loadMicros(),
        false));
    agenda.after(h.requestClass.deadline(), () -> {
      if (!h.over) {
        judge.broken("rule 1: no answer within the deadline");
        over(id, h, Outcome.TIMEOUT);
        tell(new ClientGone(id));
      }
    });
  }

  private void over(long id, Held h, Outcome outcome) {
    if (h.over) {
      judge.broken("rule 1: a second final answer");
      return;
    }
    h.over = true;
    judge.judged("rule 1, final answers");
    judge.ended(h.function, h.requestClass, h.arrivedAt, outcome, h.cold);
    release(id, h);
  }

  private void release(long id, Held h) {
    if (h.over && h.out == 0) {
      held.remove(id);
    }
  }

  private void carryOut(Action action) {
    if (action instanceof Send a) {
      send(a);
    } else if (action instanceof SetTimer a) {
      agenda.after(a.delay(), () -> tell(new TimerDue(a.token())));
    } else if (action instanceof Refuse a) {
      over(a.id(), held.get(a.id()), Outcome.FULL);
    } else if (action instanceof Fail a) {
      over(a.id(), held.get(a.id()), Outcome.ERROR);
    } else if (action instanceof Cancel a) {
      cancel(a);
    } else if (action instanceof Load a) {
      load(a);
    } else if (action instanceof TellPeers a) {
      peers.accept(a.text());
    }
  }

  private void drainKept(String worker, String what) {
    Long told = notRunning.get(worker);
    if (told != null) {
      judge.judged("rule 3, told drains or gone");
    }
    if (told != null && agenda.now() > told + settings.rules().drainGrace()) {
      judge.broken("rule 3: " + what + " after the grace");
    }
  }

  private void send(Send a) {
    drainKept(a.worker(), "a call");
    Held h = held.get(a.id());
    Attempt attempt = new Attempt(runners.apply(a.worker()), agenda.now());
    int number = h.attempts.size();
    h.attempts.add(attempt);
    h.out++;
    agenda.after(network, () -> {
      if (!attempt.ended) {
        attempt.number = attempt.runner.call(
            h.function,
            h.work,
            settings.loadsOnMiss(),
            result -> agenda.after(network, () -> answered(a.id(), h, number, result)));
      }
    });
  }

  private void answered(long id, Held h, int number, EmulatedRunner.Result r) {
    Attempt attempt = h.attempts.get(number);
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    h.out--;
    h.cold |= r.note() == CopyStatus.BEGAN
        || r.note() == CopyStatus.WAITED
        || r.outcome() == Outcome.MISS;
    long latency = agenda.now() - attempt.sentAt;
    if (r.outcome() == Outcome.OK) {
      seen.served(h.function.name(), r.note(), latency);
      String found = ahead.served(attempt.runner.name(), h.function.name(), r.note(), agenda.now());
      if (found != null) {
        peers.accept(found);
      }
    }
    boolean settles = r.outcome() == Outcome.OK && !h.over;
    if (settles) {
      over(id, h, Outcome.OK);
    }
    tell(new Answer(
        id,
        number,
        attempt.runner.name(),
        r.outcome(),
        settles,
        latency,
        r.note(),
        r.crowd(),
        Map.of("inFlight", (double) r.held())));
    release(id, h);
  }

  private void cancel(Cancel a) {
    Held h = held.get(a.id());
    Attempt attempt = h.attempts.get(a.attempt());
    if (attempt.number >= 0) {
      agenda.after(network, () -> attempt.runner.cancel(attempt.number));
    }
    agenda.after(
        0,
        () -> answered(
            a.id(),
            h,
            a.attempt(),
            new EmulatedRunner.Result(Outcome.CANCELLED, CopyStatus.NONE, -1, 0)));
  }

  private void load(Load a) {
    drainKept(a.worker(), "an order");
    inRation();
    long began = agenda.now();
    if (holding) {
      ahead.ordered(a.worker(), a.function(), began);
    }
    EmulatedRunner runner = runners.apply(a.worker());
    agenda.after(
        network,
        () -> runner.order(
            functions.apply(a.function()),
            a.copies(),
            (outcome, copies) -> agenda.after(network, () -> {
              long latency = agenda.now() - began;
              if (outcome == Outcome.OK) {
                seen.loaded(a.function(), latency);
              }
              ahead.loaded(a.worker(), a.function(), outcome, latency, agenda.now());
              tell(new Loaded(a.worker(), a.function(), copies, outcome, latency));
            })));
  }

  private void inRation() {
    long window = settings.rules().loadWindow();
    if (window == 0) {
      taken.clear();
      return;
    }
    judge.judged("rule 5, orders under a ration");
    ordered.addLast(agenda.now());
    while (ordered.peekFirst() <= agenda.now() - window) {
      ordered.removeFirst();
    }
    while (!taken.isEmpty() && taken.peekFirst() <= agenda.now() - window) {
      taken.removeFirst();
    }
    if (ordered.size()
        > settings.rules().freeLoads() + settings.rules().loadsPerCall() * taken.size()) {
      judge.broken("rule 5: an order beyond the ration");
    }
  }

  /** A plan arrives. */
  PlanExecutor.Verdict plan(Plan plan) {
    PlanExecutor.Verdict verdict = ahead.offer(plan, agenda.now());
    if (!looking && ahead.hasPendingHolds()) {
      looking = true;
      agenda.after(0, this::look);
    }
    return verdict;
  }

  private void look() {
    for (PlannedLoad hold : ahead.due(agenda.now())) {
      holding = true;
      tell(hold);
      holding = false;
    }
    looking = ahead.hasPendingHolds();
    if (looking) {
      agenda.after(LOOK, this::look);
    }
  }

  PlanExecutor ahead() {
    return ahead;
  }

  FunctionStats seen() {
    return seen;
  }
}
