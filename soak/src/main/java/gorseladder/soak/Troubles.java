package gorseladder.soak;

import gorseladder.runtime.Clock;
import gorseladder.soak.Preload.Control;
import gorseladder.soak.Preload.Fault;
import gorseladder.soak.SoakPlan.Event;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** Causes the troubles of a plan at their times, each on its own thread. */
final class Troubles {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MAX_PAUSE_MICROS = 900 * MICROS_PER_MILLI;
  private static final long MAX_CONNECT_DELAY_MICROS = 900 * MICROS_PER_MILLI;
  /** Clients still open connections for this long after a stop was requested. */
  private static final long MIN_CONNECTING_MICROS = 200 * MICROS_PER_MILLI;

  private static final long MAX_CONNECTING_MICROS = 400 * MICROS_PER_MILLI;
  private static final long MAX_SIGNAL_GAP_MILLIS = 30;
  /** After this time the shell that starts a process ignores SIGHUP. */
  private static final long MIN_SIGNAL_DELAY_MILLIS = 20;

  private static final long SIGNAL_DELAY_SPREAD_MILLIS = 980;
  /** How late a slow change log answers, and for how long at least. */
  private static final long MIN_LOG_DELAY_MICROS = 600 * MICROS_PER_MILLI;

  private static final long MAX_LOG_DELAY_MICROS = 2_600 * MICROS_PER_MILLI;
  private static final long MIN_SLOW_LOG_MICROS = 4_500 * MICROS_PER_MILLI;
  private static final int EVERY_CALL = 1_000;
  private static final long[] OPEN_ERRNOS = {24, 23, 5};

  private static final long[] ACCEPT_ERRNOS = {103, 23, 24, 105};
  private static final long[] CONNECT_ERRNOS = {99, 101, 111, 105};
  private static final long[] SOCKET_ERRNOS = {23, 105};
  private static final long[] BROKEN_ERRNOS = {110, 113};
  private static final long[] CLOCK_STEPS_MILLIS = {
    3_600_000, -3_600_000, 5_000, -5_000, 60_000, -60_000
  };

  /** The shortest stay of a crowd that comes while no thread can be started. */
  private static final long MIN_CROWD_MICROS = 1_500_000;

  private static final int EXTRA_WORK_MILLIS = 100;
  private static final long RECONNECT_INTERVAL_NANOS = 50_000_000;

  private final SoakRun run;
  private final NewsTroubles news;
  /** Dispatchers and runners that a trouble uses exclusively at present: another such trouble skips them. */
  private final Set<Object> busy = ConcurrentHashMap.newKeySet();

  private final AtomicInteger failed = new AtomicInteger();

  Troubles(SoakRun run) {
    this.run = run;
    this.news = new NewsTroubles(run);
  }

  /** The number of troubles that the soak itself failed to cause. */
  int failed() {
    return failed.get();
  }

  /** A step of a trouble. */
  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  /** Starts all troubles at their times; returns once the duration is over and each trouble has ended. */
  void run(List<Event> events, long duration) throws InterruptedException {
    long startedAt = Clock.micros();
    List<Thread> threads = new ArrayList<>();
    for (Event event : events) {
      sleepUntil(startedAt + event.at());
      Thread thread = new Thread(() -> start(event), event.trouble().label());
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    sleepUntil(startedAt + duration);
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private static void sleepUntil(long at) throws InterruptedException {
    long left = at - Clock.micros();
    if (left > 0) {
      Thread.sleep(left / MICROS_PER_MILLI);
    }
  }

  private void start(Event event) {
    SoakDispatcher dispatcher = run.dispatcher(event.target());
    SoakRunner runner = run.runner(event.target());
    try {
      switch (event.trouble()) {
        case STOP -> exclusively(dispatcher, () -> stopProcess(dispatcher, event));
        case KILL -> exclusively(dispatcher, () -> killProcess(dispatcher, event));
        case RELOAD ->
          exclusively(dispatcher, () -> news.reloadRepeatedly(dispatcher, event, 3, 7));
        case SIGNALS -> exclusively(dispatcher, () -> news.reloadRepeatedly(dispatcher, event));
        case NEWS_AMID_FAULT -> deliverNewsDuringFault(dispatcher, runner, event);
        case CROWD ->
          new Crowd(dispatcher.listen())
              .run(
                  Crowd.Kind.values()[(int) Math.floorMod(event.randomBits(), 4L)],
                  event.duration());
        case CROWD_WITHOUT_THREADS -> crowdWithoutThreads(dispatcher, event);
        case LOG_SLOW -> slowLog(dispatcher, event);
        case FILES -> failFileOpens(dispatcher, event);
        case PAUSE -> exclusively(dispatcher, () -> pauseProcess(dispatcher, event));
        case DRAIN -> exclusively(runner, () -> drainRunner(runner, event));
        case RESTART -> exclusively(runner, () -> restartRunner(runner, event));
        case HANG -> runner.hang(event.duration());
        case LATE_CONNECT -> exclusively(runner, () -> delayConnects(runner, event));
        case RESET -> resetConnections(runner, event);
        case SPOIL -> runner.corruptAnswers(event.duration());
        case REFUSE -> runner.refuseRequests(event.duration());
        case LOG_SILENT -> silenceLog(dispatcher, event);
        case LEAVE -> leaveEarly(dispatcher, event);
        case PIECES -> dispatcher.clients().sendInPieces(event.duration());
        case SYSTEM_CALLS -> failSocketCalls(dispatcher.control(), event);
        case THREADS -> failThreadStarts(dispatcher, event);
        case SHORT_IO -> disturbIo(dispatcher, event);
        case CLOCK -> stepClock(dispatcher.control(), event);
        default -> throw new IllegalStateException("no such trouble: " + event.trouble());
      }
    } catch (IOException e) {
      failed.incrementAndGet();
      System.err.println("the soak's own: " + event + ": " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void exclusively(Object target, Step step) throws IOException, InterruptedException {
    if (busy.add(target)) {
      try {
        step.run();
      } finally {
        busy.remove(target);
      }
    }
  }

  // ---- dispatchers

  /** Restarts a dispatcher as planned; a new configuration may come just before the signal, or just after it. */
  private void stopProcess(SoakDispatcher dispatcher, Event event)
      throws IOException, InterruptedException {
    long connectingMicros = MIN_CONNECTING_MICROS
        + Math.floorMod(event.randomBits() >> 8, MAX_CONNECTING_MICROS - MIN_CONNECTING_MICROS);
    long variant = Math.floorMod(event.randomBits(), 4L);
    if (variant == 1) {
      news.moveChangeLog(dispatcher);
      Thread.sleep(Math.floorMod(event.randomBits() >> 3, MAX_SIGNAL_GAP_MILLIS));
    }
    long signalledAt = Clock.micros();
    dispatcher.signal("TERM");
    if (variant == 2) {
      Thread.sleep(Math.floorMod(event.randomBits() >> 3, MAX_SIGNAL_GAP_MILLIS));
      news.moveChangeLog(dispatcher);
    }
    dispatcher.finishStop(signalledAt, connectingMicros);
    startProcess(dispatcher, event);
  }

  private void killProcess(SoakDispatcher dispatcher, Event event)
      throws IOException, InterruptedException {
    dispatcher.kill();
    dispatcher.clients().setOutOfService(true);
    startProcess(dispatcher, event);
  }

  private void startProcess(SoakDispatcher dispatcher, Event event)
      throws IOException, InterruptedException {
    Control control = dispatcher.control();
    if (control != null) {
      // The JVM cannot start without threads or files, and no code of the program runs by then.
      control.set(Fault.THREAD_RATE, 0);
      control.set(Fault.OPEN_RATE, 0);
    }
    run.writeConfig(dispatcher);
    dispatcher.start();
    if (Math.floorMod(event.randomBits() >> 16, 2L) == 0) {
      signalWhileStarting(dispatcher, event.randomBits() >> 20);
    }
    dispatcher.awaitReady();
    dispatcher.clients().setOutOfService(false);
  }

  /** Signals a new configuration to a process within its first second. */
  private void signalWhileStarting(SoakDispatcher dispatcher, long draw) {
    FaultProxy.start("signal-while-starting", () -> {
      try {
        Thread.sleep(MIN_SIGNAL_DELAY_MILLIS + Math.floorMod(draw, SIGNAL_DELAY_SPREAD_MILLIS));
        if (!dispatcher.isReady()) {
          news.moveChangeLog(dispatcher);
        }
      } catch (IOException e) {
        System.err.println("the soak's own: a signal while starting: " + e);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
  }

  private void deliverNewsDuringFault(SoakDispatcher dispatcher, SoakRunner runner, Event event)
      throws IOException, InterruptedException {
    switch (NewsTroubles.newsOf(event)) {
      case RELOAD ->
        exclusively(
            dispatcher,
            () -> news.deliverDuringFault(dispatcher, event, () -> news.reload(dispatcher)));
      case STOP ->
        exclusively(
            dispatcher,
            () -> news.deliverDuringFault(dispatcher, event, () -> stopProcess(dispatcher, event)));
      case DRAIN ->
        exclusively(
            runner,
            () -> news.deliverDuringFault(dispatcher, event, () -> drainRunner(runner, event)));
      default -> news.deliverDuringFault(dispatcher, event, () -> resetConnections(runner, event));
    }
  }

  private void pauseProcess(SoakDispatcher dispatcher, Event event)
      throws IOException, InterruptedException {
    long from = Clock.micros();
    dispatcher.signal("STOP");
    Thread.sleep(Math.min(event.duration(), MAX_PAUSE_MICROS) / MICROS_PER_MILLI);
    dispatcher.signal("CONT");
    run.evidence().addPause(dispatcher.number(), new Evidence.Span(from, Clock.micros()));
  }

  /**
   * Clients of one dispatcher leave, or of all of them: then some leave while another trouble delays their dispatcher.
   */
  private void leaveEarly(SoakDispatcher dispatcher, Event event) {
    if (event.randomBits() % 2 == 0) {
      dispatcher.clients().leaveEarly(event.duration());
    } else {
      run.dispatchers().forEach(each -> each.clients().leaveEarly(event.duration()));
    }
  }

  // ---- runners

  private void drainRunner(SoakRunner runner, Event event)
      throws IOException, InterruptedException {
    run.log().announceDrain(runner);
    Thread.sleep(event.duration() / MICROS_PER_MILLI);
    run.log().announceGone(runner);
    Thread.sleep(Math.floorMod(event.randomBits(), 900));
    // Another runner starts at the address of the one that has gone.
    runner.restart(runner.uid().split("-")[0] + "-" + event.at() / MICROS_PER_MILLI);
    run.log().announceStart(runner);
  }

  private void restartRunner(SoakRunner runner, Event event)
      throws IOException, InterruptedException {
    runner.proxy().refuseConnections();
    runner.proxy().resetAll();
    Thread.sleep(Math.floorMod(event.randomBits(), 600));
    runner.restart(runner.uid());
    runner.proxy().acceptAgain();
    run.log().announceStart(runner);
  }

  private void delayConnects(SoakRunner runner, Event event)
      throws IOException, InterruptedException {
    runner.proxy().blockConnections();
    runner.proxy().resetAll();
    Thread.sleep(Math.min(event.duration(), MAX_CONNECT_DELAY_MICROS) / MICROS_PER_MILLI);
    runner.proxy().unblockConnections();
  }

  private void resetConnections(SoakRunner runner, Event event) throws InterruptedException {
    for (int i = 0; i <= Math.floorMod(event.randomBits(), 3); i++) {
      runner.proxy().resetAll();
      Thread.sleep(Math.floorMod(event.randomBits() >> 8, 200));
    }
  }

  // ---- the change log

  private void silenceLog(SoakDispatcher dispatcher, Event event) throws IOException {
    FaultProxy proxy = run.log().proxy(dispatcher.number());
    long now = Clock.micros();
    if (event.randomBits() % 2 == 0) {
      run.evidence()
          .addLogTrouble(
              dispatcher.number(),
              new Evidence.Span(now - MICROS_PER_MILLI, now + event.duration()));
      proxy.hold(event.duration());
    } else {
      run.evidence()
          .addLogTrouble(
              dispatcher.number(),
              new Evidence.Span(now - MICROS_PER_MILLI, now + 1_000 * MICROS_PER_MILLI));
      proxy.resetAll();
    }
  }

  /** Makes the log answer each new connection late for some seconds. */
  private void slowLog(SoakDispatcher dispatcher, Event event)
      throws IOException, InterruptedException {
    FaultProxy proxy = run.log().proxy(dispatcher.number());
    long now = Clock.micros();
    run.evidence()
        .addSlowLog(
            dispatcher.number(),
            // A connection opened just before the end is answered up to that much after it.
            new Evidence.Span(
                now - MICROS_PER_MILLI,
                now + MIN_SLOW_LOG_MICROS + event.duration() + MAX_LOG_DELAY_MICROS));
    proxy.delayFirstAnswer(MIN_LOG_DELAY_MICROS
        + Math.floorMod(event.randomBits(), MAX_LOG_DELAY_MICROS - MIN_LOG_DELAY_MICROS));
    proxy.resetAll();
    Thread.sleep((MIN_SLOW_LOG_MICROS + event.duration()) / MICROS_PER_MILLI);
    proxy.delayFirstAnswer(0);
  }

  // ---- system calls and clocks

  private static long oneOf(long[] all, long draw) {
    return all[(int) Math.floorMod(draw, (long) all.length)];
  }

  private static void failSocketCalls(Control control, Event event) throws InterruptedException {
    if (control == null) {
      return;
    }
    long rate = 300 + Math.floorMod(event.randomBits(), 300);
    control.set(Fault.ACCEPT_ERRNO, oneOf(ACCEPT_ERRNOS, event.randomBits() >> 3));
    control.set(Fault.CONNECT_ERRNO, oneOf(CONNECT_ERRNOS, event.randomBits() >> 6));
    control.set(Fault.SOCKET_ERRNO, oneOf(SOCKET_ERRNOS, event.randomBits() >> 9));
    control.set(Fault.ACCEPT_RATE, rate);
    control.set(Fault.CONNECT_RATE, rate);
    control.set(Fault.SOCKET_RATE, rate);
    Thread.sleep(event.duration() / MICROS_PER_MILLI);
    control.set(Fault.ACCEPT_RATE, 0);
    control.set(Fault.CONNECT_RATE, 0);
    control.set(Fault.SOCKET_RATE, 0);
  }

  private static void failThreadStarts(SoakDispatcher dispatcher, Event event)
      throws InterruptedException {
    Control control = dispatcher.control();
    if (control == null || !dispatcher.isReady()) {
      return;
    }
    control.set(Fault.THREAD_RATE, event.randomBits() % 2 == 0 ? EVERY_CALL : EVERY_CALL / 2);
    Thread.sleep(event.duration() / MICROS_PER_MILLI);
    control.set(Fault.THREAD_RATE, 0);
  }

  /**
   * Lets connections to runners multiply, because the runners are slow, so that they take the threads of clients that
   * leave.
   */
  private void crowdWithoutThreads(SoakDispatcher dispatcher, Event event)
      throws InterruptedException {
    Control control = dispatcher.control();
    if (control == null || !dispatcher.isReady()) {
      return;
    }
    long micros = MIN_CROWD_MICROS + event.duration();
    AtomicBoolean ended = new AtomicBoolean();
    FaultProxy.start("reconnects", () -> {
      while (!ended.get()) {
        dispatcher.clients().closeIdleConnections();
        LockSupport.parkNanos(RECONNECT_INTERVAL_NANOS);
      }
    });
    control.set(Fault.THREAD_RATE, EVERY_CALL);
    run.runners().forEach(runner -> runner.setExtraWorkMillis(EXTRA_WORK_MILLIS));
    try {
      Crowd.Kind kind = event.randomBits() % 2 == 0 ? Crowd.Kind.SILENT : Crowd.Kind.RESTING;
      new Crowd(dispatcher.listen()).run(kind, micros);
    } finally {
      ended.set(true);
      run.runners().forEach(runner -> runner.setExtraWorkMillis(0));
      control.set(Fault.THREAD_RATE, 0);
    }
  }

  /** Makes every attempt to open a file fail for a moment. */
  private static void failFileOpens(SoakDispatcher dispatcher, Event event)
      throws InterruptedException {
    Control control = dispatcher.control();
    if (control == null || !dispatcher.isReady()) {
      return;
    }
    control.set(Fault.OPEN_ERRNO, oneOf(OPEN_ERRNOS, event.randomBits()));
    control.set(Fault.OPEN_RATE, EVERY_CALL);
    Thread.sleep(event.duration() / MICROS_PER_MILLI);
    control.set(Fault.OPEN_RATE, 0);
  }

  private void disturbIo(SoakDispatcher dispatcher, Event event) throws InterruptedException {
    Control control = dispatcher.control();
    if (control == null) {
      return;
    }
    long from = Clock.micros();
    boolean breaksConnections = event.randomBits() % 2 == 0;
    control.set(Fault.BROKEN_ERRNO, oneOf(BROKEN_ERRNOS, event.randomBits() >> 3));
    control.set(Fault.SHORT_RATE, 300);
    control.set(Fault.INTERRUPT_RATE, 100);
    control.set(Fault.BROKEN_RATE, breaksConnections ? 3 : 0);
    Thread.sleep(event.duration() / MICROS_PER_MILLI);
    control.set(Fault.SHORT_RATE, 0);
    control.set(Fault.INTERRUPT_RATE, 0);
    control.set(Fault.BROKEN_RATE, 0);
    if (breaksConnections) {
      // The injected errors told the dispatcher that client connections had broken: the dispatcher
      // is not to blame for their end.
      run.evidence()
          .addClientCut(
              dispatcher.number(), new Evidence.Span(from, Clock.micros() + 50 * MICROS_PER_MILLI));
    }
  }

  private static void stepClock(Control control, Event event) throws InterruptedException {
    if (control == null) {
      return;
    }
    control.set(Fault.WALL_OFFSET_MS, oneOf(CLOCK_STEPS_MILLIS, event.randomBits()));
    if (event.randomBits() % 2 == 0) {
      Thread.sleep(event.duration() / MICROS_PER_MILLI);
      control.set(Fault.WALL_OFFSET_MS, 0);
    }
  }
}
