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

/** Brings the troubles of a plan at their times, each on a thread of its own. */
final class Troubles {
  private static final long MILLI = 1_000;
  private static final long MOST_PAUSE = 900 * MILLI;
  private static final long MOST_LATE = 900 * MILLI;
  /** New connections still come for so long after a stop was asked for. */
  private static final long LEAST_CONNECTING = 200 * MILLI;

  private static final long MOST_CONNECTING = 400 * MILLI;
  private static final long MOST_BETWEEN_SIGNALS_MILLIS = 30;
  /** By then the shell that starts a process ignores SIGHUP. */
  private static final long FIRST_SIGNAL_MILLIS = 20;

  private static final long SIGNALS_WITHIN_MILLIS = 980;
  /** How late a crowded change log answers, and for how long it does. */
  private static final long LEAST_SLOW = 600 * MILLI;

  private static final long MOST_SLOW = 2_600 * MILLI;
  private static final long SLOW_FOR = 4_500 * MILLI;
  private static final int ALL = 1_000;
  private static final long[] OPEN_ERRORS = {24, 23, 5};

  private static final long[] ACCEPT_ERRORS = {103, 23, 24, 105};
  private static final long[] CONNECT_ERRORS = {99, 101, 111, 105};
  private static final long[] SOCKET_ERRORS = {23, 105};
  private static final long[] BROKEN_ERRORS = {110, 113};
  private static final long[] STEPS_MILLIS = {3_600_000, -3_600_000, 5_000, -5_000, 60_000, -60_000
  };

  /** A crowd that comes while there are no threads stays so long and some, in microseconds. */
  private static final long CROWD_STAYS = 1_500_000;

  private static final int SLOWER_MILLIS = 100;
  private static final long RECONNECT_NANOS = 50_000_000;

  private final SoakRun run;
  private final NewsTroubles news;
  /** Processes and runners that a trouble holds at present: another one of the same sort passes them by. */
  private final Set<Object> busy = ConcurrentHashMap.newKeySet();

  private final AtomicInteger failed = new AtomicInteger();

  Troubles(SoakRun run) {
    this.run = run;
    this.news = new NewsTroubles(run);
  }

  /** Troubles that the soak itself failed to bring. */
  int failed() {
    return failed.get();
  }

  /** A step of a trouble. */
  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  /** Brings all of them and returns at the end of that time, when each has ended. */
  void bring(List<Event> events, long length) throws InterruptedException {
    long begun = Clock.micros();
    List<Thread> threads = new ArrayList<>();
    for (Event event : events) {
      sleepUntil(begun + event.at());
      Thread thread = new Thread(() -> bring(event), event.trouble().word());
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    sleepUntil(begun + length);
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private static void sleepUntil(long at) throws InterruptedException {
    long left = at - Clock.micros();
    if (left > 0) {
      Thread.sleep(left / MILLI);
    }
  }

  private void bring(Event event) {
    SoakDispatcher dispatcher = run.dispatcher(event.target());
    SoakRunner runner = run.runner(event.target());
    try {
      switch (event.trouble()) {
        case STOP -> holding(dispatcher, () -> stop(dispatcher, event));
        case KILL -> holding(dispatcher, () -> kill(dispatcher, event));
        case RELOAD -> holding(dispatcher, () -> news.signals(dispatcher, event, 3, 7));
        case SIGNALS -> holding(dispatcher, () -> news.signals(dispatcher, event));
        case NEWS_AMID_FAULT -> newsAmidFault(dispatcher, runner, event);
        case CROWD ->
          new Crowd(dispatcher.listen())
              .come(Crowd.Kind.values()[(int) Math.floorMod(event.draw(), 4L)], event.length());
        case CROWD_WITHOUT_THREADS -> crowdWithoutThreads(dispatcher, event);
        case LOG_SLOW -> logSlow(dispatcher, event);
        case FILES -> files(dispatcher, event);
        case PAUSE -> holding(dispatcher, () -> pause(dispatcher, event));
        case DRAIN -> holding(runner, () -> drain(runner, event));
        case RESTART -> holding(runner, () -> restart(runner, event));
        case HANG -> runner.hang(event.length());
        case LATE_CONNECT -> holding(runner, () -> lateConnect(runner, event));
        case RESET -> reset(runner, event);
        case SPOIL -> runner.spoil(event.length());
        case REFUSE -> runner.refuse(event.length());
        case LOG_SILENT -> logSilent(dispatcher, event);
        case LEAVE -> leave(dispatcher, event);
        case PIECES -> dispatcher.clients().inPieces(event.length());
        case SYSTEM_CALLS -> systemCalls(dispatcher.control(), event);
        case THREADS -> threads(dispatcher, event);
        case SHORT_IO -> shortIo(dispatcher, event);
        case CLOCK -> step(dispatcher.control(), event);
        default -> throw new IllegalStateException("no such trouble: " + event.trouble());
      }
    } catch (IOException e) {
      failed.incrementAndGet();
      System.err.println("the soak's own: " + event + ": " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void holding(Object what, Step step) throws IOException, InterruptedException {
    if (busy.add(what)) {
      try {
        step.run();
      } finally {
        busy.remove(what);
      }
    }
  }

  // ---- dispatchers

  /** A planned restart; in some a new configuration comes just before the signal, or just after it. */
  private void stop(SoakDispatcher dispatcher, Event event)
      throws IOException, InterruptedException {
    long connecting =
        LEAST_CONNECTING + Math.floorMod(event.draw() >> 8, MOST_CONNECTING - LEAST_CONNECTING);
    long series = Math.floorMod(event.draw(), 4L);
    if (series == 1) {
      news.move(dispatcher);
      Thread.sleep(Math.floorMod(event.draw() >> 3, MOST_BETWEEN_SIGNALS_MILLIS));
    }
    long askedAt = Clock.micros();
    dispatcher.signal("TERM");
    if (series == 2) {
      Thread.sleep(Math.floorMod(event.draw() >> 3, MOST_BETWEEN_SIGNALS_MILLIS));
      news.move(dispatcher);
    }
    dispatcher.endAfter(askedAt, connecting);
    startAgain(dispatcher, event);
  }

  private void kill(SoakDispatcher dispatcher, Event event)
      throws IOException, InterruptedException {
    dispatcher.kill();
    dispatcher.clients().takeOut(true);
    startAgain(dispatcher, event);
  }

  private void startAgain(SoakDispatcher dispatcher, Event event)
      throws IOException, InterruptedException {
    Control control = dispatcher.control();
    if (control != null) {
      // The Java machine cannot start without threads or files: nothing of the program runs by
      // then.
      control.set(Fault.THREAD_RATE, 0);
      control.set(Fault.OPEN_RATE, 0);
    }
    run.configure(dispatcher);
    dispatcher.start();
    if (Math.floorMod(event.draw() >> 16, 2L) == 0) {
      signalWhileStarting(dispatcher, event.draw() >> 20);
    }
    dispatcher.awaitReady();
    dispatcher.clients().takeOut(false);
  }

  /** A new configuration for a process that has just started, at a moment of its first second. */
  private void signalWhileStarting(SoakDispatcher dispatcher, long draw) {
    FaultProxy.start("signal-while-starting", () -> {
      try {
        Thread.sleep(FIRST_SIGNAL_MILLIS + Math.floorMod(draw, SIGNALS_WITHIN_MILLIS));
        if (!dispatcher.isReady()) {
          news.move(dispatcher);
        }
      } catch (IOException e) {
        System.err.println("the soak's own: a signal while starting: " + e);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
  }

  private void newsAmidFault(SoakDispatcher dispatcher, SoakRunner runner, Event event)
      throws IOException, InterruptedException {
    switch (NewsTroubles.news(event)) {
      case RELOAD ->
        holding(dispatcher, () -> news.amidFault(dispatcher, event, () -> news.reload(dispatcher)));
      case STOP ->
        holding(dispatcher, () -> news.amidFault(dispatcher, event, () -> stop(dispatcher, event)));
      case DRAIN ->
        holding(runner, () -> news.amidFault(dispatcher, event, () -> drain(runner, event)));
      default -> news.amidFault(dispatcher, event, () -> reset(runner, event));
    }
  }

  private void pause(SoakDispatcher dispatcher, Event event)
      throws IOException, InterruptedException {
    long from = Clock.micros();
    dispatcher.signal("STOP");
    Thread.sleep(Math.min(event.length(), MOST_PAUSE) / MILLI);
    dispatcher.signal("CONT");
    run.evidence().pause(dispatcher.number(), new Evidence.Span(from, Clock.micros()));
  }

  /**
   * Clients of one dispatcher leave, or of all: then some surely do while another trouble holds their dispatcher up.
   */
  private void leave(SoakDispatcher dispatcher, Event event) {
    if (event.draw() % 2 == 0) {
      dispatcher.clients().leave(event.length());
    } else {
      run.dispatchers().forEach(each -> each.clients().leave(event.length()));
    }
  }

  // ---- runners

  private void drain(SoakRunner runner, Event event) throws IOException, InterruptedException {
    run.log().drains(runner);
    Thread.sleep(event.length() / MILLI);
    run.log().gone(runner);
    Thread.sleep(Math.floorMod(event.draw(), 900));
    // Another one at the address of the one that has gone.
    runner.restart(runner.uid().split("-")[0] + "-" + event.at() / MILLI);
    run.log().started(runner);
  }

  private void restart(SoakRunner runner, Event event) throws IOException, InterruptedException {
    runner.proxy().refuse();
    runner.proxy().resetAll();
    Thread.sleep(Math.floorMod(event.draw(), 600));
    runner.restart(runner.uid());
    runner.proxy().takeAgain();
    run.log().started(runner);
  }

  private void lateConnect(SoakRunner runner, Event event)
      throws IOException, InterruptedException {
    runner.proxy().comeUpLate();
    runner.proxy().resetAll();
    Thread.sleep(Math.min(event.length(), MOST_LATE) / MILLI);
    runner.proxy().comeUp();
  }

  private void reset(SoakRunner runner, Event event) throws InterruptedException {
    for (int i = 0; i <= Math.floorMod(event.draw(), 3); i++) {
      runner.proxy().resetAll();
      Thread.sleep(Math.floorMod(event.draw() >> 8, 200));
    }
  }

  // ---- the change log

  private void logSilent(SoakDispatcher dispatcher, Event event) throws IOException {
    FaultProxy proxy = run.log().proxy(dispatcher.number());
    long now = Clock.micros();
    if (event.draw() % 2 == 0) {
      run.evidence()
          .logTrouble(dispatcher.number(), new Evidence.Span(now - MILLI, now + event.length()));
      proxy.hold(event.length());
    } else {
      run.evidence()
          .logTrouble(dispatcher.number(), new Evidence.Span(now - MILLI, now + 1_000 * MILLI));
      proxy.resetAll();
    }
  }

  /** The log answers each new connection late, or takes new connections late, for some seconds. */
  private void logSlow(SoakDispatcher dispatcher, Event event)
      throws IOException, InterruptedException {
    FaultProxy proxy = run.log().proxy(dispatcher.number());
    long now = Clock.micros();
    run.evidence()
        .slowLog(
            dispatcher.number(),
            // What was asked just before its end is answered that much after it.
            new Evidence.Span(now - MILLI, now + SLOW_FOR + event.length() + MOST_SLOW));
    proxy.delayFirstAnswer(LEAST_SLOW + Math.floorMod(event.draw(), MOST_SLOW - LEAST_SLOW));
    proxy.resetAll();
    Thread.sleep((SLOW_FOR + event.length()) / MILLI);
    proxy.delayFirstAnswer(0);
  }

  // ---- system calls and clocks

  private static long oneOf(long[] all, long draw) {
    return all[(int) Math.floorMod(draw, (long) all.length)];
  }

  private static void systemCalls(Control control, Event event) throws InterruptedException {
    if (control == null) {
      return;
    }
    long rate = 300 + Math.floorMod(event.draw(), 300);
    control.set(Fault.ACCEPT_ERRNO, oneOf(ACCEPT_ERRORS, event.draw() >> 3));
    control.set(Fault.CONNECT_ERRNO, oneOf(CONNECT_ERRORS, event.draw() >> 6));
    control.set(Fault.SOCKET_ERRNO, oneOf(SOCKET_ERRORS, event.draw() >> 9));
    control.set(Fault.ACCEPT_RATE, rate);
    control.set(Fault.CONNECT_RATE, rate);
    control.set(Fault.SOCKET_RATE, rate);
    Thread.sleep(event.length() / MILLI);
    control.set(Fault.ACCEPT_RATE, 0);
    control.set(Fault.CONNECT_RATE, 0);
    control.set(Fault.SOCKET_RATE, 0);
  }

  private static void threads(SoakDispatcher dispatcher, Event event) throws InterruptedException {
    Control control = dispatcher.control();
    if (control == null || !dispatcher.isReady()) {
      return;
    }
    control.set(Fault.THREAD_RATE, event.draw() % 2 == 0 ? ALL : ALL / 2);
    Thread.sleep(event.length() / MILLI);
    control.set(Fault.THREAD_RATE, 0);
  }

  /** Connections to runners multiply, as those are slow, and take the threads of clients that leave. */
  private void crowdWithoutThreads(SoakDispatcher dispatcher, Event event)
      throws InterruptedException {
    Control control = dispatcher.control();
    if (control == null || !dispatcher.isReady()) {
      return;
    }
    long micros = CROWD_STAYS + event.length();
    AtomicBoolean over = new AtomicBoolean();
    FaultProxy.start("reconnects", () -> {
      while (!over.get()) {
        dispatcher.clients().reconnect();
        LockSupport.parkNanos(RECONNECT_NANOS);
      }
    });
    control.set(Fault.THREAD_RATE, ALL);
    run.runners().forEach(runner -> runner.slowerBy(SLOWER_MILLIS));
    try {
      Crowd.Kind kind = event.draw() % 2 == 0 ? Crowd.Kind.SILENT : Crowd.Kind.RESTING;
      new Crowd(dispatcher.listen()).come(kind, micros);
    } finally {
      over.set(true);
      run.runners().forEach(runner -> runner.slowerBy(0));
      control.set(Fault.THREAD_RATE, 0);
    }
  }

  /** The system opens no file for a moment. */
  private static void files(SoakDispatcher dispatcher, Event event) throws InterruptedException {
    Control control = dispatcher.control();
    if (control == null || !dispatcher.isReady()) {
      return;
    }
    control.set(Fault.OPEN_ERRNO, oneOf(OPEN_ERRORS, event.draw()));
    control.set(Fault.OPEN_RATE, ALL);
    Thread.sleep(event.length() / MILLI);
    control.set(Fault.OPEN_RATE, 0);
  }

  private void shortIo(SoakDispatcher dispatcher, Event event) throws InterruptedException {
    Control control = dispatcher.control();
    if (control == null) {
      return;
    }
    long from = Clock.micros();
    boolean breaks = event.draw() % 2 == 0;
    control.set(Fault.BROKEN_ERRNO, oneOf(BROKEN_ERRORS, event.draw() >> 3));
    control.set(Fault.SHORT_RATE, 300);
    control.set(Fault.INTERRUPT_RATE, 100);
    control.set(Fault.BROKEN_RATE, breaks ? 3 : 0);
    Thread.sleep(event.length() / MILLI);
    control.set(Fault.SHORT_RATE, 0);
    control.set(Fault.INTERRUPT_RATE, 0);
    control.set(Fault.BROKEN_RATE, 0);
    if (breaks) {
      // Its system told it that clients' connections had broken: their ends are none of its own.
      run.evidence()
          .clientCut(dispatcher.number(), new Evidence.Span(from, Clock.micros() + 50 * MILLI));
    }
  }

  private static void step(Control control, Event event) throws InterruptedException {
    if (control == null) {
      return;
    }
    control.set(Fault.WALL_OFFSET_MS, oneOf(STEPS_MILLIS, event.draw()));
    if (event.draw() % 2 == 0) {
      Thread.sleep(event.length() / MILLI);
      control.set(Fault.WALL_OFFSET_MS, 0);
    }
  }
}
