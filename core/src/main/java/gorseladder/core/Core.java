package gorseladder.core;

import gorseladder.Router;
import gorseladder.RouterApi.Action;
import gorseladder.RouterApi.Answer;
import gorseladder.RouterApi.AnswerDue;
import gorseladder.RouterApi.Cancel;
import gorseladder.RouterApi.ClientGone;
import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.Event;
import gorseladder.RouterApi.Fail;
import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Load;
import gorseladder.RouterApi.Loaded;
import gorseladder.RouterApi.Log;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.PeerMessage;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.PlannedLoad;
import gorseladder.RouterApi.Refuse;
import gorseladder.RouterApi.Request;
import gorseladder.RouterApi.Send;
import gorseladder.RouterApi.SetTimer;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.SubscribeWorkerList;
import gorseladder.RouterApi.TellPeers;
import gorseladder.RouterApi.TimerDue;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.ahead.Account;
import gorseladder.ahead.Ahead;
import gorseladder.ahead.Plan;
import gorseladder.ahead.Seen;
import gorseladder.answers.Endings;
import gorseladder.answers.Reason;
import gorseladder.answers.RetryAdvice;
import gorseladder.permits.Permits;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Mailbox;
import gorseladder.runtime.Threads;
import gorseladder.structures.TimerWheel;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One thread that owns the router. Others post what happened; it tells the router, and carries out what the router
 * decides. It translates and decides nothing about workers.
 */
public final class Core<C extends Call> implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Core.class);
  private static final long IDLE_NANOS = 1_000_000_000L;
  /** Between two looks at a plan. */
  private static final long LOOK = 250_000;
  /** So long at the most, in microseconds, {@link Outbound} gathers while there is always more to be done. */
  private static final long MOST_GATHERING = 5_000;

  /** Carries out what leaves this process; must not block. Its reports come back by the core's methods. */
  public interface Outbound<C extends Call> {
    /** Starts an attempt; ends in exactly one {@link Core#attemptEnded}. */
    void send(C call, int attempt, String worker, long timeout);

    /** Stops an attempt; its end still comes. */
    void cancel(C call, int attempt);

    /** Orders copies; ends in exactly one {@link Core#loadEnded}. */
    void load(String worker, String function, int copies);

    /** Sends text to every other edge. */
    void tellPeers(String text);

    /** Asks for the worker list. */
    void watchList();

    /** Nothing more is to be done at present: what was gathered may go. */
    default void pausing() {}

    /** More is to be done, but what was gathered must go now. */
    default void flush() {}
  }

  /** How an attempt ended, as the runner side saw it. */
  public record AttemptEnd<C extends Call>(
      C call,
      int attempt,
      Outcome outcome,
      byte[] body,
      CopyStatus note,
      int crowd,
      Map<String, Double> report) {}

  private sealed interface Message<C extends Call> {}

  private record Arrived<C extends Call>(C call, long offeredAt) implements Message<C> {
    /** Whether a call with so much time left may wait behind this one. */
    private boolean mayBeFollowed(long timeLeft, long now) {
      return Permits.mayQueue(now - offeredAt, timeLeft).allowed();
    }
  }

  private record Ended<C extends Call>(AttemptEnd<C> end) implements Message<C> {}

  private record News<C extends Call>(Event event) implements Message<C> {}

  private record Left<C extends Call>(C call) implements Message<C> {}

  private record GiveUp<C extends Call>() implements Message<C> {}

  private record Planned<C extends Call>(Plan plan) implements Message<C> {}

  private record Collect<C extends Call>(Consumer<Collected> to, Map<String, Seen.Of> giveBack)
      implements Message<C> {}

  /** A call that is not forgotten yet. */
  private static final class Held<C extends Call> {
    private final C call;
    private int attemptsOut;
    /** Null before the router has asked for it. */
    private TimerWheel.Node<String> deadline;

    private Held(C call) {
      this.call = call;
    }
  }

  /**
   * What a planner is told: what was seen of functions, closed records of loads ahead, the workers, the plan in hand.
   */
  public record Collected(
      Map<String, Seen.Of> seen,
      List<Account.Entry> loads,
      List<WorkerEntry> workers,
      long epoch,
      long version) {}

  private final Settings settings;
  private final Router router;
  private final Outbound<C> outbound;
  /** Null where the router alone says when to come back. */
  private final RetryAdvice advice;

  private final Mailbox<Message<C>> mailbox;
  private final TimerWheel<String> timers;
  private final Map<Long, Held<C>> calls = new HashMap<>();
  private final Thread thread;
  /** Null where no planner is set: then nothing here differs from an edge without loads ahead. */
  private final Ahead ahead;

  private final Seen seen = new Seen();
  private Map<String, WorkerEntry> workers = new LinkedHashMap<>();
  private boolean holding;
  private boolean givingUp;
  private long lookAt = Long.MAX_VALUE;
  private final AtomicLong longestWait = new AtomicLong();
  private volatile boolean stopped;
  private long now;
  /** The steps of the thread, made once and not for each message. */
  private final Runnable runTimers = this::runTimers;

  private final Runnable handle = this::handle;
  private final Runnable pausing;
  private final Runnable flush;
  private final Consumer<String> timerDue = token -> tell(new TimerDue(token));
  private final Consumer<Action> carryOut = this::carryOut;
  /** The message that {@link #handle()} takes. */
  private Message<C> handled;

  /** The call that the router is told at present; null where it is told something else. */
  private Held<C> arriving;

  private long flushedAt;
  private long newsKnown;

  /**
   * Starts the core.
   *
   * @param mostOffers calls that may wait to be looked at; further ones are not taken
   * @param plans true where a planner may ask for copies ahead of need
   * @param advice says when refused clients should come back; null where the router's own word stands
   */
  public Core(
      Settings settings,
      long seed,
      Outbound<C> outbound,
      int mostOffers,
      boolean plans,
      RetryAdvice advice,
      int stackBytes) {
    this.settings = settings;
    this.router = new Router(settings, seed);
    this.outbound = outbound;
    this.pausing = outbound::pausing;
    this.flush = outbound::flush;
    this.ahead = plans ? new Ahead(settings.keepAlive()) : null;
    this.advice = advice;
    this.mailbox = new Mailbox<>(mostOffers);
    this.timers = new TimerWheel<>(Math.max(100, settings.tick() / 2), Clock.micros());
    this.thread = Threads.start("core", stackBytes, this::run);
  }

  /** Offers a call; false where too many wait already or for too long, and then it is not taken. */
  public boolean offer(C call) {
    long now = Clock.micros();
    long timeLeft = call.facts().deadlineAt() - now;
    if (!Permits.mayQueue(0, timeLeft).allowed()) {
      return false;
    }
    return mailbox.offer(
        new Arrived<>(call, now),
        oldest -> !(oldest instanceof Arrived<C> first) || first.mayBeFollowed(timeLeft, now));
  }

  /**
   * Gives a call the answer of an attempt that served it, on the calling thread: whoever waits for it does not wait for
   * the core as well, which hears of it by {@link #attemptEnded} after that. Not where advice to clients counts
   * answers.
   */
  public void answerServed(AttemptEnd<C> end) {
    long at = Clock.micros();
    if (end.outcome() == Outcome.OK && isInTime(end.call(), at)) {
      end.call().finish(new FinalAnswer(Reason.SERVED, end.body(), 0), at);
    }
  }

  /**
   * An answer that comes after its time is not served: the client may have gone, and what it is told must be one thing.
   */
  private boolean isInTime(C call, long at) {
    return at <= call.facts().deadlineAt() + settings.tick();
  }

  /** An attempt ended; exactly once for each. */
  public void attemptEnded(AttemptEnd<C> end) {
    mailbox.put(new Ended<>(end));
  }

  /** A load order ended. */
  public void loadEnded(Loaded loaded) {
    mailbox.put(new News<>(loaded));
  }

  /** The client of a call left, or the call was answered without the router. */
  public void clientGone(C call) {
    mailbox.put(new Left<>(call));
  }

  /** Has every call that is held, and every one that comes after, answered at once: the process is about to end. */
  public void giveUpAll() {
    mailbox.put(new GiveUp<>());
  }

  /** The worker list has news. */
  public void listNews(WorkerListUpdate news) {
    mailbox.put(new News<>(news));
  }

  /** Another edge sent a message. */
  public void peerMessage(int sender, String text) {
    mailbox.put(new News<>(new PeerMessage(sender, text)));
  }

  /** A plan came; its times are this process's clock. Only where plans are expected. */
  public void planned(Plan plan) {
    mailbox.put(new Planned<>(plan));
  }

  /**
   * Has what a planner is told collected and handed over, on the core's thread; {@code giveBack} could not be told
   * before.
   */
  public void collect(Map<String, Seen.Of> giveBack, Consumer<Collected> to) {
    mailbox.put(new Collect<>(to, giveBack));
  }

  private void run() {
    try {
      while (!stopped) {
        now = Clock.micros();
        Threads.guarded("core", runTimers);
        flushIfDue();
        long next = Math.min(timers.nextDue(), lookAt);
        long wait = Math.min((next - now) * 1000, IDLE_NANOS);
        Message<C> message = mailbox.take(0);
        if (message == null) {
          Threads.guarded("core", pausing);
          message = mailbox.take(next == Long.MAX_VALUE ? IDLE_NANOS : Math.max(0, wait));
          flushedAt = Clock.micros();
        }
        if (message != null) {
          now = Clock.micros();
          handled = message;
          Threads.guarded("core", handle);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Guards against answers and attempts that are gathered for as long as this thread is never idle: with too little
   * processor that was more than a second. It could harm by a wake-up for each few messages under such a load.
   */
  private void flushIfDue() {
    if (now - flushedAt > MOST_GATHERING) {
      flushedAt = now;
      Threads.guarded("core", flush);
    }
  }

  private void runTimers() {
    timers.advance(now, timerDue);
    look();
  }

  private void handle() {
    Message<C> message = handled;
    handled = null;
    if (message instanceof Arrived<C> m) {
      arrived(m.call());
    } else if (message instanceof Ended<C> m) {
      ended(m.end());
    } else if (message instanceof Left<C> m) {
      tell(new ClientGone(m.call().id()));
      release(m.call());
    } else if (message instanceof News<C> m) {
      noteNews(m.event());
      newsKnown += m.event() instanceof WorkerListUpdate ? 1 : 0;
      tell(m.event());
    } else if (message instanceof GiveUp<C>) {
      givingUp = true;
      calls.values().stream()
          .map(held -> held.call)
          .filter(call -> !call.over())
          .map(Call::id)
          .toList()
          .forEach(id -> tell(new AnswerDue(id)));
    } else if (message instanceof Planned<C> m) {
      Ahead.Verdict verdict = ahead.take(m.plan(), now);
      lookAt = ahead.busy() ? now : Long.MAX_VALUE;
      if (verdict != Ahead.Verdict.TAKEN && verdict != Ahead.Verdict.OLDER) {
        LOG.warn("plan {}/{} is passed over: {}", m.plan().epoch(), m.plan().version(), verdict);
      }
    } else if (message instanceof Collect<C> m) {
      collect(m);
    }
  }

  private void collect(Collect<C> m) {
    seen.giveBack(m.giveBack());
    ahead.account().closeOver(now);
    m.to()
        .accept(new Collected(
            seen.take(),
            ahead.account().take(),
            List.copyOf(workers.values()),
            ahead.plan().epoch(),
            ahead.plan().version()));
  }

  /** What plans and their account need to hear beside the router. */
  private void noteNews(Event event) {
    if (ahead == null) {
      return;
    }
    if (event instanceof Loaded e) {
      if (e.outcome() == Outcome.OK) {
        seen.loaded(e.function(), e.latency());
      }
      ahead.loaded(e.worker(), e.function(), e.outcome(), e.latency(), now);
    } else if (event instanceof PeerMessage e) {
      ahead.heard(e.text(), now);
    } else if (event instanceof WorkerListUpdate e && e.kind() != ListKind.FAILED) {
      workers = new LinkedHashMap<>();
      e.entries().stream()
          .filter(w -> w.phase() == Phase.RUNNING)
          .forEach(w -> workers.put(w.worker(), w));
    }
  }

  /** Proposes to the router what a plan wants held now. */
  private void look() {
    if (now < lookAt) {
      return;
    }
    for (PlannedLoad hold : ahead.due(now)) {
      holding = true;
      tell(hold);
      holding = false;
    }
    lookAt = ahead.busy() ? now + LOOK : Long.MAX_VALUE;
  }

  /** An error of the router must not end the thread: the other calls go on, and the log says where it was. */
  private void tell(Event event) {
    try {
      router.on(now, event, carryOut);
    } catch (RuntimeException | Error e) {
      LOG.error("the router failed at {}", event.getClass().getSimpleName(), e);
    }
  }

  /**
   * How many news of the worker list the router was told; on the core's thread, while it carries out what was decided.
   */
  public long newsKnown() {
    return newsKnown;
  }

  /** The longest wait of a call for the core since this was last asked, in microseconds; any thread. */
  public long longestWait() {
    return longestWait.getAndSet(0);
  }

  private void arrived(C call) {
    call.considered(now);
    longestWait.accumulateAndGet(now - call.facts().takenAt(), Math::max);
    if (call.over()) {
      // Its client left before it was looked at: nothing is owed, and no attempt would be let
      // out.
      return;
    }
    if (givingUp) {
      call.finish(FinalAnswer.silent(Reason.STOPPING), now);
      return;
    }
    Call.Facts f = call.facts();
    arriving = new Held<>(call);
    calls.put(call.id(), arriving);
    if (ahead != null) {
      seen.taken(f.function(), f.memoryMb(), f.lanes());
    }
    tell(new Request(
        call.id(),
        f.requestClass().name(),
        f.tenant(),
        f.function(),
        Math.max(0, f.deadlineAt() - now),
        0,
        f.memoryMb(),
        f.lanes(),
        f.loadTime(),
        f.repeat()));
    arriving = null;
  }

  private void ended(AttemptEnd<C> end) {
    C call = end.call();
    call.ended(end.attempt(), end.outcome(), now);
    Call.Attempt attempt = call.attempt(end.attempt());
    boolean served = end.outcome() == Outcome.OK;
    Outcome outcome = end.outcome();
    if (served && !call.over()) {
      if (isInTime(call, now)) {
        finish(call, Reason.SERVED, end.body(), 0);
      } else {
        outcome = Outcome.TIMEOUT;
      }
    }
    if (served) {
      call.servedLate(end.body());
      noteServed(call, attempt, end.note());
    }
    Held<C> held = calls.get(call.id());
    if (held != null) {
      held.attemptsOut--;
    }
    tell(new Answer(
        call.id(),
        end.attempt(),
        attempt.worker(),
        outcome,
        call.over(),
        now - attempt.decidedAt(),
        end.note(),
        end.crowd(),
        end.report()));
    release(call);
  }

  private void noteServed(C call, Call.Attempt attempt, CopyStatus note) {
    if (ahead != null) {
      seen.served(call.facts().function(), note, now - attempt.decidedAt());
      String found = ahead.served(attempt.worker(), call.facts().function(), note, now);
      if (found != null) {
        outbound.tellPeers(found);
      }
    }
  }

  private void finish(C call, Reason reason, byte[] body, long retryAfter) {
    boolean refused = reason.kind == Reason.Kind.REFUSED;
    long wait = retryAfter;
    if (advice != null) {
      advice.noted(refused);
      wait = refused ? advice.seconds() * 1_000_000L : 0;
    }
    call.finish(new FinalAnswer(reason, body, wait), now);
  }

  /**
   * Forgets a call that is over and has no attempt out. The router has ended it by then, or does so at the news that
   * its client left, so that its deadline would change nothing.
   */
  private void release(C call) {
    if (!call.over()) {
      return;
    }
    Held<C> held = calls.get(call.id());
    if (held != null && held.attemptsOut == 0) {
      calls.remove(call.id());
      if (held.deadline != null) {
        timers.cancel(held.deadline);
      }
    }
  }

  private void carryOut(Action action) {
    if (action instanceof Send a) {
      Held<C> held = calls.get(a.id());
      C call = held.call;
      int number = call.begin(a.worker(), now, newsKnown);
      held.attemptsOut++;
      noteStart(call, a.worker());
      outbound.send(call, number, a.worker(), a.timeout());
    } else if (action instanceof SetTimer a) {
      TimerWheel.Node<String> timer = timers.schedule(now + a.delay(), a.token());
      if (arriving != null && a.isDeadline()) {
        arriving.deadline = timer;
      }
    } else if (action instanceof Refuse a) {
      C call = calls.get(a.id()).call;
      finish(call, Endings.refused(call.outcomes()), null, a.retryAfter());
      release(call);
    } else if (action instanceof Fail a) {
      C call = calls.get(a.id()).call;
      finish(call, Endings.failed(call.outcomes()), null, 0);
      release(call);
    } else if (action instanceof Cancel a) {
      outbound.cancel(calls.get(a.id()).call, a.attempt());
    } else if (action instanceof Load a) {
      if (holding) {
        ahead.ordered(a.worker(), a.function(), now);
      }
      outbound.load(a.worker(), a.function(), a.copies());
    } else if (action instanceof TellPeers a) {
      outbound.tellPeers(a.text());
    } else if (action instanceof SubscribeWorkerList) {
      outbound.watchList();
    } else if (action instanceof Log a) {
      LOG.info("{}", a.text());
    }
  }

  /** A line for a call that goes to a worker which is starting, with what its budget leaves after it. */
  private void noteStart(C call, String worker) {
    double left = LOG.isDebugEnabled() ? router.coldBudget(worker) : Double.NaN;
    if (!Double.isNaN(left)) {
      LOG.debug(
          "request={} worker={} which is starting, budget left {}",
          call.facts().message(),
          worker,
          left);
    }
  }

  /** Ends the thread; what it held is answered by the fronts' own time limits. */
  @Override
  public void close() {
    stopped = true;
    thread.interrupt();
  }
}
