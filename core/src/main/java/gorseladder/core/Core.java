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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The single thread that owns the router. Other threads post messages; the core passes them to the router as events and
 * executes the actions that the router returns. It makes no decisions about workers itself.
 */
public final class Core<C extends Call> implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Core.class);
  private static final long MAX_IDLE_NANOS = 1_000_000_000L;
  /** Interval of checks for due loads of the plan. */
  private static final long PLAN_CHECK_MICROS = 250_000;
  /** Time after which {@link Outbound} flushes its batch while the core is never idle. */
  private static final long MAX_BATCH_MICROS = 5_000;

  private static final int MAX_WAITING_PEER_MESSAGES = 1_024;

  /** Executes the actions that leave this process; must not block. Results come back through methods of the core. */
  public interface Outbound<C extends Call> {
    /** Starts an attempt; leads to exactly one {@link Core#attemptEnded}. */
    void send(C call, int attempt, String worker, long timeout);

    /** Cancels an attempt; its {@link Core#attemptEnded} still follows. */
    void cancel(C call, int attempt);

    /** Sends a load order; leads to exactly one {@link Core#loadEnded}. */
    void load(String worker, String function, int copies);

    /** Sends a message to every other edge. */
    void tellPeers(String text);

    /** Subscribes to the worker list. */
    void subscribeWorkerList();

    /** The core is about to wait: a gathered batch may be sent. */
    default void beforeIdle() {}

    /** The core stays busy, but a gathered batch must be sent now. */
    default void flush() {}
  }

  /** The end of an attempt, as reported by the connection to the runner. */
  public record AttemptEnd<C extends Call>(
      C call,
      int attempt,
      Outcome outcome,
      byte[] body,
      CopyStatus copyStatus,
      int concurrency,
      Map<String, Double> report) {}

  private sealed interface Message<C extends Call> {}

  private record Offered<C extends Call>(C call, long offeredAt) implements Message<C> {
    /** Whether a call with this much time left may queue behind this one. */
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
      Consumer<PlannerReport> to, Map<String, FunctionStats.Snapshot> unreported)
      implements Message<C> {}

  /** A call that has no final answer yet, or has attempts in progress. */
  private static final class ActiveCall<C extends Call> {
    private final C call;
    private int attemptsInProgress;
    /** Timer of the call's deadline; null before the router has set it. */
    private TimerWheel.Node<String> deadline;

    private ActiveCall(C call) {
      this.call = call;
    }
  }

  /**
   * A report for the planner.
   *
   * @param functionStats calls of each function since the last report
   * @param loads closed records of planned loads
   * @param workers running workers
   * @param epoch epoch of the current plan
   * @param version version of the current plan
   */
  public record PlannerReport(
      Map<String, FunctionStats.Snapshot> functionStats,
      List<LoadAheadAccounting.Entry> loads,
      List<WorkerEntry> workers,
      long epoch,
      long version) {}

  private final Settings settings;
  private final Router router;
  private final Outbound<C> outbound;
  /** Null if the router alone decides when refused clients should retry. */
  private final RetryAdvice advice;

  private final Mailbox<Message<C>> mailbox;
  private final TimerWheel<String> timers;
  private final Map<Long, ActiveCall<C>> calls = new HashMap<>();
  private final Thread thread;
  /** Null if no planner is configured; the core then ignores plans and keeps no function statistics. */
  private final PlanExecutor planExecutor;

  private final FunctionStats functionStats = new FunctionStats();
  private Map<String, WorkerEntry> workers = new LinkedHashMap<>();
  private boolean applyingHold;
  private boolean refusingAll;
  private long planCheckAt = Long.MAX_VALUE;
  private final AtomicLong maxWaitMicros = new AtomicLong();
  private final AtomicInteger waitingPeerMessages = new AtomicInteger();
  private volatile boolean stopped;
  private long now;
  /** Steps of the main loop, allocated once instead of for each message. */
  private final Runnable runTimers = this::runTimers;

  private final Runnable handle = this::handle;
  private final Runnable beforeIdle;
  private final Runnable flush;
  private final Consumer<String> timerDue = token -> process(new TimerDue(token));
  private final Consumer<Action> execute = this::execute;
  /** The message that {@link #handle()} processes next. */
  private Message<C> current;

  /** The call that the router is being told about; null during other events. */
  private ActiveCall<C> newCall;

  private long flushedAt;
  private long workerListUpdateCount;

  /**
   * Starts the core's thread.
   *
   * @param maxQueuedCalls calls that may wait for the core; further ones are not accepted
   * @param plans true if a planner may order loads ahead of demand
   * @param advice decides when refused clients should retry; null to use the router's own advice
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
    this.planExecutor = plans ? new PlanExecutor(settings.keepAlive()) : null;
    this.advice = advice;
    this.mailbox = new Mailbox<>(maxQueuedCalls);
    this.timers = new TimerWheel<>(Math.max(100, settings.tick() / 2), Clock.micros());
    this.thread = Threads.start("core", stackBytes, this::run);
  }

  /** Limits the functions that the router remembers; before the first call. */
  public void limitFunctions(int maxFunctions) {
    router.limitFunctions(maxFunctions);
  }

  /** Queues a call; returns false, without queueing it, if too many calls wait or have waited for too long. */
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
   * Finishes a call with the result of a successful attempt on the calling thread, so that its client does not wait for
   * the core's queue as well. The core is told afterwards by {@link #attemptEnded}. Must not be used with retry advice,
   * which has to count every answer.
   */
  public void answerServed(AttemptEnd<C> end) {
    long at = Clock.micros();
    if (end.outcome() == Outcome.OK && isInTime(end.call(), at)) {
      end.call().finish(new FinalAnswer(Reason.SERVED, end.body(), 0), at);
    }
  }

  /** A result after the deadline is not served: the client may have left, and must get one consistent answer. */
  private boolean isInTime(C call, long at) {
    return at <= call.facts().deadlineAt() + settings.tick();
  }

  /** Reports the end of an attempt; called exactly once for each attempt. */
  public void attemptEnded(AttemptEnd<C> end) {
    mailbox.put(new Ended<>(end));
  }

  /** Reports the end of a load order. */
  public void loadEnded(Loaded loaded) {
    mailbox.put(new RouterEvent<>(loaded));
  }

  /** Reports that the client of a call left, or that the call was answered without the router. */
  public void clientGone(C call) {
    mailbox.put(new ClientLeft<>(call));
  }

  /**
   * Answers all waiting calls, and all later ones, at once, since the process is about to exit. No attempt and no load
   * of a plan begins afterwards.
   */
  public void refuseAll() {
    mailbox.put(new RefuseAll<>());
  }

  /** Reports an update of the worker list. */
  public void workerListChanged(WorkerListUpdate update) {
    mailbox.put(new RouterEvent<>(update));
  }

  /** Reports a message from another edge; dropped if many wait already, as the network may drop it. */
  public void peerMessage(int sender, String text) {
    if (waitingPeerMessages.incrementAndGet() > MAX_WAITING_PEER_MESSAGES) {
      waitingPeerMessages.decrementAndGet();
      return;
    }
    mailbox.put(new RouterEvent<>(new PeerMessage(sender, text)));
  }

  /** Passes on a plan whose times are on this process's clock; only if the core was created with plans. */
  public void takePlan(Plan plan) {
    mailbox.put(new Planned<>(plan));
  }

  /**
   * Collects a report for the planner on the core's thread.
   *
   * @param unreported statistics of an earlier report that did not reach the planner; they are added again
   * @param to receives the report on the core's thread
   */
  public void collectReport(
      Map<String, FunctionStats.Snapshot> unreported, Consumer<PlannerReport> to) {
    mailbox.put(new Collect<>(to, unreported));
  }

  private void run() {
    try {
      while (!stopped) {
        now = Clock.micros();
        Threads.guarded("core", runTimers);
        flushIfDue();
        long next = Math.min(timers.nextDue(), planCheckAt);
        long wait = Math.min((next - now) * 1000, MAX_IDLE_NANOS);
        Message<C> message = mailbox.take(0);
        if (message == null) {
          Threads.guarded("core", beforeIdle);
          message = mailbox.take(next == Long.MAX_VALUE ? MAX_IDLE_NANOS : Math.max(0, wait));
          flushedAt = Clock.micros();
        }
        if (message != null) {
          now = Clock.micros();
          current = message;
          Threads.guarded("core", handle);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Flushes gathered answers and attempts at a bounded interval. Otherwise they would wait until this thread is idle,
   * which took more than a second on an overloaded processor. The cost is a wake-up for every few messages under such a
   * load.
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
    Message<C> message = current;
    current = null;
    if (message instanceof Offered<C> m) {
      accept(m.call());
    } else if (message instanceof Ended<C> m) {
      ended(m.end());
    } else if (message instanceof ClientLeft<C> m) {
      process(new ClientGone(m.call().id()));
      release(m.call());
    } else if (message instanceof RouterEvent<C> m) {
      if (m.event() instanceof PeerMessage) {
        waitingPeerMessages.decrementAndGet();
      }
      forwardToPlans(m.event());
      workerListUpdateCount += m.event() instanceof WorkerListUpdate ? 1 : 0;
      process(m.event());
    } else if (message instanceof RefuseAll<C>) {
      refusingAll = true;
      planCheckAt = Long.MAX_VALUE;
      calls.values().stream()
          .map(active -> active.call)
          .filter(call -> !call.isFinished())
          .map(Call::id)
          .toList()
          .forEach(id -> process(new AnswerDue(id)));
    } else if (message instanceof Planned<C> m) {
      PlanExecutor.Verdict verdict = planExecutor.offer(m.plan(), now);
      planCheckAt = planExecutor.hasPendingHolds() && !refusingAll ? now : Long.MAX_VALUE;
      if (verdict != PlanExecutor.Verdict.TAKEN && verdict != PlanExecutor.Verdict.OLDER) {
        LOG.warn("plan {}/{} is passed over: {}", m.plan().epoch(), m.plan().version(), verdict);
      }
    } else if (message instanceof Collect<C> m) {
      collect(m);
    }
  }

  private void collect(Collect<C> m) {
    functionStats.restoreCalls(m.unreported());
    planExecutor.account().closeExpired(now);
    m.to()
        .accept(new PlannerReport(
            functionStats.takeSnapshots(),
            planExecutor.account().takeClosed(),
            List.copyOf(workers.values()),
            planExecutor.plan().epoch(),
            planExecutor.plan().version()));
  }

  /** Passes the events that concern plans and their accounting to the plan executor. */
  private void forwardToPlans(Event event) {
    if (planExecutor == null) {
      return;
    }
    if (event instanceof Loaded e) {
      if (e.outcome() == Outcome.OK) {
        functionStats.loaded(e.function(), e.latency());
      }
      planExecutor.loaded(e.worker(), e.function(), e.outcome(), e.latency(), now);
    } else if (event instanceof PeerMessage e) {
      planExecutor.peerMessage(e.text(), now);
    } else if (event instanceof WorkerListUpdate e && e.kind() != ListKind.FAILED) {
      workers = new LinkedHashMap<>();
      e.entries().stream()
          .filter(w -> w.phase() == Phase.RUNNING)
          .forEach(w -> workers.put(w.worker(), w));
    }
  }

  /** Proposes to the router the planned loads that are due. */
  private void checkPlan() {
    if (now < planCheckAt) {
      return;
    }
    for (PlannedLoad hold : planExecutor.due(now)) {
      applyingHold = true;
      process(hold);
      applyingHold = false;
    }
    planCheckAt = planExecutor.hasPendingHolds() ? now + PLAN_CHECK_MICROS : Long.MAX_VALUE;
  }

  /** An error of the router must not end the thread: it is logged and the other calls continue. */
  private void process(Event event) {
    try {
      router.on(now, event, execute);
    } catch (RuntimeException | Error e) {
      LOG.error("the router failed at {}", event.getClass().getSimpleName(), e);
    }
  }

  /** Number of worker list updates passed to the router; only on the core's thread, while it executes an action. */
  public long workerListUpdateCount() {
    return workerListUpdateCount;
  }

  /** The longest time that a call waited for the core since the previous invocation, in microseconds. Thread safe. */
  public long takeMaxWaitMicros() {
    return maxWaitMicros.getAndSet(0);
  }

  private void accept(C call) {
    call.considered(now);
    maxWaitMicros.accumulateAndGet(now - call.facts().takenAt(), Math::max);
    if (call.isFinished()) {
      // The client left before the core processed the call; no attempt would be allowed.
      call.onReleased();
      return;
    }
    if (refusingAll) {
      call.finish(FinalAnswer.withoutRetryAdvice(Reason.STOPPING), now);
      call.onReleased();
      return;
    }
    Call.Facts f = call.facts();
    newCall = new ActiveCall<>(call);
    calls.put(call.id(), newCall);
    if (planExecutor != null) {
      functionStats.callAccepted(f.function(), f.memoryMb(), f.lanes());
    }
    process(new Request(
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
    newCall = null;
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
      recordServed(call, attempt, end.copyStatus());
    }
    ActiveCall<C> active = calls.get(call.id());
    if (active != null) {
      active.attemptsInProgress--;
    }
    process(new Answer(
        call.id(),
        end.attempt(),
        attempt.worker(),
        outcome,
        call.isFinished(),
        now - attempt.decidedAt(),
        end.copyStatus(),
        end.concurrency(),
        end.report()));
    release(call);
  }

  private void recordServed(C call, Call.Attempt attempt, CopyStatus copyStatus) {
    if (planExecutor != null) {
      functionStats.served(call.facts().function(), copyStatus, now - attempt.decidedAt());
      String found =
          planExecutor.served(attempt.worker(), call.facts().function(), copyStatus, now);
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
   * Removes a call that is finished and has no attempt in progress. By then the router has ended the call, or does so
   * when it is told that the client left, so the deadline timer is no longer needed.
   */
  private void release(C call) {
    if (!call.isFinished()) {
      return;
    }
    ActiveCall<C> active = calls.get(call.id());
    if (active != null && active.attemptsInProgress == 0) {
      calls.remove(call.id());
      if (active.deadline != null) {
        timers.cancel(active.deadline);
      }
      call.onReleased();
    }
  }

  private void execute(Action action) {
    if (action instanceof Send a) {
      ActiveCall<C> active = calls.get(a.id());
      C call = active.call;
      int number = call.addAttempt(a.worker(), now, workerListUpdateCount);
      active.attemptsInProgress++;
      logStartingWorker(call, a.worker());
      outbound.send(call, number, a.worker(), a.timeout());
    } else if (action instanceof SetTimer a) {
      TimerWheel.Node<String> timer = timers.schedule(now + a.delay(), a.token());
      if (newCall != null && a.isDeadline()) {
        newCall.deadline = timer;
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
        planExecutor.ordered(a.worker(), a.function(), now);
      }
      outbound.load(a.worker(), a.function(), a.copies());
    } else if (action instanceof TellPeers a) {
      outbound.tellPeers(a.text());
    } else if (action instanceof SubscribeWorkerList) {
      outbound.subscribeWorkerList();
    } else if (action instanceof Log a) {
      LOG.info("{}", a.text());
    }
  }

  /** Logs, at debug level, the cold budget that a starting worker has left after this call. */
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

  /** Stops the thread; calls that are still waiting are answered by the time limits of the fronts. */
  @Override
  public void close() {
    stopped = true;
    thread.interrupt();
  }
}
