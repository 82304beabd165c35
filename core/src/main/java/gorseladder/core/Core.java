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
import gorseladder.ahead.FunctionStats;
import gorseladder.ahead.LoadAheadAccounting;
import gorseladder.ahead.Plan;
import gorseladder.ahead.PlanExecutor;
import gorseladder.answers.FinalReasons;
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
  private static final long PLAN_CHECK_MICROS = 250_000;
  /** So long at the most, in microseconds, {@link Outbound} gathers while there is always more to be done. */
  private static final long MAX_BATCH_MICROS = 5_000;

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
    default void beforeIdle() {}

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

  private record Offered<C extends Call>(C call, long offeredAt) implements Message<C> {
    /** Whether a call with so much time left may wait behind this one. */
    private boolean mayBeFollowed(long timeLeft, long now) {
      return Permits.mayQueue(now - offeredAt, timeLeft).allowed();
    }
  }

  private record Ended<C extends Call>(AttemptEnd<C> end) implements Message<C> {}

  private record RouterEvent<C extends Call>(Event event) implements Message<C> {}

  private record ClientLeft<C extends Call>(C call) implements Message<C> {}

  private record RefuseAll<C extends Call>() implements Message<C> {}

  private record Planned<C extends Call>(Plan plan) implements Message<C> {}

  private record Collect<C extends Call>(
      Consumer<PlannerReport> to, Map<String, FunctionStats.Snapshot> giveBack)
      implements Message<C> {}

  /** A call that is not forgotten yet. */
  private static final class ActiveCall<C extends Call> {
    private final C call;
    private int attemptsOut;
    /** Null before the router has asked for it. */
    private TimerWheel.Node<String> deadline;

    private ActiveCall(C call) {
      this.call = call;
    }
  }

  /**
   * What a planner is told: what was seen of functions, closed records of loads ahead, the workers, the plan in hand.
   */
  public record PlannerReport(
      Map<String, FunctionStats.Snapshot> seen,
      List<LoadAheadAccounting.Entry> loads,
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
  private final Map<Long, ActiveCall<C>> calls = new HashMap<>();
  private final Thread thread;
  /** Null where no planner is set: then nothing here differs from an edge without loads ahead. */
  private final PlanExecutor ahead;

  private final FunctionStats seen = new FunctionStats();
  private Map<String, WorkerEntry> workers = new LinkedHashMap<>();
  private boolean applyingHold;
  private boolean refusingAll;
  private long planCheckAt = Long.MAX_VALUE;
  private final AtomicLong maxWaitMicros = new AtomicLong();
  private volatile boolean stopped;
  private long now;
  /** The steps of the thread, made once and not for each message. */
  private final Runnable runTimers = this::runTimers;

  private final Runnable handle = this::handle;
  private final Runnable beforeIdle;
  private final Runnable flush;
  private final Consumer<String> timerDue = token -> tell(new TimerDue(token));
  private final Consumer<Action> carryOut = this::carryOut;
  /** The message that {@link #handle()} takes. */
  private Message<C> handled;

  /** The call that the router is told at present; null where it is told something else. */
  private ActiveCall<C> arriving;

  private long flushedAt;
  private long workerListUpdateCount;

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
      int maxQueuedCalls,
      boolean plans,
      RetryAdvice advice,
      int stackBytes) {
    this.settings = settings;
    this.router = new Router(settings, seed);
    this.outbound = outbound;
    this.beforeIdle = outbound::beforeIdle;
    this.flush = outbound::flush;
    this.ahead = plans ? new PlanExecutor(settings.keepAlive()) : null;
    this.advice = advice;
    this.mailbox = new Mailbox<>(maxQueuedCalls);
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
        new Offered<>(call, now),
        oldest -> !(oldest instanceof Offered<C> first) || first.mayBeFollowed(timeLeft, now));
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
    mailbox.put(new RouterEvent<>(loaded));
  }

  /** The client of a call left, or the call was answered without the router. */
  public void clientGone(C call) {
    mailbox.put(new ClientLeft<>(call));
  }

  /** Has every call that is held, and every one that comes after, answered at once: the process is about to end. */
  public void refuseAll() {
    mailbox.put(new RefuseAll<>());
  }

  /** The worker list has news. */
  public void workerListChanged(WorkerListUpdate update) {
    mailbox.put(new RouterEvent<>(update));
  }

  /** Another edge sent a message. */
  public void peerMessage(int sender, String text) {
    mailbox.put(new RouterEvent<>(new PeerMessage(sender, text)));
  }

  /** A plan came; its times are this process's clock. Only where plans are expected. */
  public void takePlan(Plan plan) {
    mailbox.put(new Planned<>(plan));
  }

  /**
   * Has what a planner is told collected and handed over, on the core's thread; {@code giveBack} could not be told
   * before.
   */
  public void collectReport(
      Map<String, FunctionStats.Snapshot> giveBack, Consumer<PlannerReport> to) {
    mailbox.put(new Collect<>(to, giveBack));
  }

  private void run() {
    try {
      while (!stopped) {
        now = Clock.micros();
        Threads.guarded("core", runTimers);
        flushIfDue();
        long next = Math.min(timers.nextDue(), planCheckAt);
        long wait = Math.min((next - now) * 1000, IDLE_NANOS);
        Message<C> message = mailbox.take(0);
        if (message == null) {
          Threads.guarded("core", beforeIdle);
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
    if (now - flushedAt > MAX_BATCH_MICROS) {
      flushedAt = now;
      Threads.guarded("core", flush);
    }
  }

  private void runTimers() {
    timers.advance(now, timerDue);
    checkPlan();
  }

  private void handle() {
    Message<C> message = handled;
    handled = null;
    if (message instanceof Offered<C> m) {
      arrived(m.call());
    } else if (message instanceof Ended<C> m) {
      ended(m.end());
    } else if (message instanceof ClientLeft<C> m) {
      tell(new ClientGone(m.call().id()));
      release(m.call());
    } else if (message instanceof RouterEvent<C> m) {
      forwardToPlans(m.event());
      workerListUpdateCount += m.event() instanceof WorkerListUpdate ? 1 : 0;
      tell(m.event());
    } else if (message instanceof RefuseAll<C>) {
      refusingAll = true;
      calls.values().stream()
          .map(active -> active.call)
          .filter(call -> !call.isFinished())
          .map(Call::id)
          .toList()
          .forEach(id -> tell(new AnswerDue(id)));
    } else if (message instanceof Planned<C> m) {
      PlanExecutor.Verdict verdict = ahead.offer(m.plan(), now);
      planCheckAt = ahead.hasPendingHolds() ? now : Long.MAX_VALUE;
      if (verdict != PlanExecutor.Verdict.TAKEN && verdict != PlanExecutor.Verdict.OLDER) {
        LOG.warn("plan {}/{} is passed over: {}", m.plan().epoch(), m.plan().version(), verdict);
      }
    } else if (message instanceof Collect<C> m) {
      collect(m);
    }
  }

  private void collect(Collect<C> m) {
    seen.restoreCalls(m.giveBack());
    ahead.account().closeExpired(now);
    m.to()
        .accept(new PlannerReport(
            seen.takeSnapshots(),
            ahead.account().takeClosed(),
            List.copyOf(workers.values()),
            ahead.plan().epoch(),
            ahead.plan().version()));
  }

  /** What plans and their account need to hear beside the router. */
  private void forwardToPlans(Event event) {
    if (ahead == null) {
      return;
    }
    if (event instanceof Loaded e) {
      if (e.outcome() == Outcome.OK) {
        seen.loaded(e.function(), e.latency());
      }
      ahead.loaded(e.worker(), e.function(), e.outcome(), e.latency(), now);
    } else if (event instanceof PeerMessage e) {
      ahead.peerMessage(e.text(), now);
    } else if (event instanceof WorkerListUpdate e && e.kind() != ListKind.FAILED) {
      workers = new LinkedHashMap<>();
      e.entries().stream()
          .filter(w -> w.phase() == Phase.RUNNING)
          .forEach(w -> workers.put(w.worker(), w));
    }
  }

  /** Proposes to the router what a plan wants held now. */
  private void checkPlan() {
    if (now < planCheckAt) {
      return;
    }
    for (PlannedLoad hold : ahead.due(now)) {
      applyingHold = true;
      tell(hold);
      applyingHold = false;
    }
    planCheckAt = ahead.hasPendingHolds() ? now + PLAN_CHECK_MICROS : Long.MAX_VALUE;
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
  public long workerListUpdateCount() {
    return workerListUpdateCount;
  }

  /** The longest wait of a call for the core since this was last asked, in microseconds; any thread. */
  public long takeMaxWaitMicros() {
    return maxWaitMicros.getAndSet(0);
  }

  private void arrived(C call) {
    call.considered(now);
    maxWaitMicros.accumulateAndGet(now - call.facts().takenAt(), Math::max);
    if (call.isFinished()) {
      // Its client left before it was looked at: nothing is owed, and no attempt would be let
      // out.
      return;
    }
    if (refusingAll) {
      call.finish(FinalAnswer.withoutRetryAdvice(Reason.STOPPING), now);
      return;
    }
    Call.Facts f = call.facts();
    arriving = new ActiveCall<>(call);
    calls.put(call.id(), arriving);
    if (ahead != null) {
      seen.callAccepted(f.function(), f.memoryMb(), f.lanes());
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
    if (served && !call.isFinished()) {
      if (isInTime(call, now)) {
        finish(call, Reason.SERVED, end.body(), 0);
      } else {
        outcome = Outcome.TIMEOUT;
      }
    }
    if (served) {
      call.onServedResult(end.body());
      noteServed(call, attempt, end.note());
    }
    ActiveCall<C> active = calls.get(call.id());
    if (active != null) {
      active.attemptsOut--;
    }
    tell(new Answer(
        call.id(),
        end.attempt(),
        attempt.worker(),
        outcome,
        call.isFinished(),
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
      advice.record(refused);
      wait = refused ? advice.seconds() * 1_000_000L : 0;
    }
    call.finish(new FinalAnswer(reason, body, wait), now);
  }

  /**
   * Forgets a call that is over and has no attempt out. The router has ended it by then, or does so at the news that
   * its client left, so that its deadline would change nothing.
   */
  private void release(C call) {
    if (!call.isFinished()) {
      return;
    }
    ActiveCall<C> active = calls.get(call.id());
    if (active != null && active.attemptsOut == 0) {
      calls.remove(call.id());
      if (active.deadline != null) {
        timers.cancel(active.deadline);
      }
    }
  }

  private void carryOut(Action action) {
    if (action instanceof Send a) {
      ActiveCall<C> active = calls.get(a.id());
      C call = active.call;
      int number = call.addAttempt(a.worker(), now, workerListUpdateCount);
      active.attemptsOut++;
      logStartingWorker(call, a.worker());
      outbound.send(call, number, a.worker(), a.timeout());
    } else if (action instanceof SetTimer a) {
      TimerWheel.Node<String> timer = timers.schedule(now + a.delay(), a.token());
      if (arriving != null && a.isDeadline()) {
        arriving.deadline = timer;
      }
    } else if (action instanceof Refuse a) {
      C call = calls.get(a.id()).call;
      finish(call, FinalReasons.ofRefusal(call.outcomes()), null, a.retryAfter());
      release(call);
    } else if (action instanceof Fail a) {
      C call = calls.get(a.id()).call;
      finish(call, FinalReasons.ofFailure(call.outcomes()), null, 0);
      release(call);
    } else if (action instanceof Cancel a) {
      outbound.cancel(calls.get(a.id()).call, a.attempt());
    } else if (action instanceof Load a) {
      if (applyingHold) {
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
  private void logStartingWorker(C call, String worker) {
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
