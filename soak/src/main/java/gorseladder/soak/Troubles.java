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

/** Brings the troubles of a plan at their times, each on a thread of its own. */
final class Troubles {
  private static final long MILLI = 1_000;
  private static final long MOST_PAUSE = 900 * MILLI;
  private static final long MOST_LATE = 900 * MILLI;
  private static final long FOLLOWS_WITHIN_MILLIS = 4_000;
  private static final long OLD_LOG_MILLIS = 1_500;
  /** New requests still come for so long after a stop was asked for. */
  private static final long STILL_ASKED = 500 * MILLI;

  private static final long[] ACCEPT_ERRORS = {103, 23, 24, 105};
  private static final long[] CONNECT_ERRORS = {99, 101, 111, 105};
  private static final long[] SOCKET_ERRORS = {23, 105};
  private static final long[] BROKEN_ERRORS = {110, 113};
  private static final long[] STEPS_MILLIS = {3_600_000, -3_600_000, 5_000, -5_000, 60_000, -60_000
  };

  private final SoakRun run;
  /** Processes and runners that a trouble holds at present: another one of the same sort passes them by. */
  private final Set<Object> busy = ConcurrentHashMap.newKeySet();

  Troubles(SoakRun run) {
    this.run = run;
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
        case STOP -> holding(dispatcher, () -> stop(dispatcher));
        case KILL -> holding(dispatcher, () -> kill(dispatcher));
        case RELOAD -> holding(dispatcher, () -> reload(dispatcher, event));
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

  private void stop(SoakDispatcher dispatcher) throws IOException, InterruptedException {
    dispatcher.stop(STILL_ASKED);
    startAgain(dispatcher);
  }

  private void kill(SoakDispatcher dispatcher) throws IOException, InterruptedException {
    dispatcher.kill();
    dispatcher.clients().takeOut(true);
    startAgain(dispatcher);
  }

  private void startAgain(SoakDispatcher dispatcher) throws IOException, InterruptedException {
    run.configure(dispatcher);
    dispatcher.start();
    dispatcher.awaitReady();
    dispatcher.clients().takeOut(false);
  }

  private void reload(SoakDispatcher dispatcher, Event event)
      throws IOException, InterruptedException {
    List<FaultProxy> old = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      old.add(run.log().replace(dispatcher.number()));
      run.configure(dispatcher);
      dispatcher.signal("HUP");
      Thread.sleep(Math.floorMod(event.draw() >> i, 7));
    }
    long asked = Clock.micros();
    for (FaultProxy proxy : old) {
      proxy.refuse();
    }
    Thread.sleep(OLD_LOG_MILLIS);
    old.forEach(FaultProxy::resetAll);
    Thread.sleep(FOLLOWS_WITHIN_MILLIS - OLD_LOG_MILLIS);
    if (run.log().proxy(dispatcher.number()).accepted() == 0) {
      run.found(new Finding(
          SoakRule.FOLLOW,
          asked,
          dispatcher.number(),
          "did not ask at the last of three new addresses within 4 s"));
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

  /** Clients of one dispatcher leave, or of all: then some surely do while another trouble holds their dispatcher up. */
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
      run.evidence().logTrouble(new Evidence.Span(now - MILLI, now + event.length()));
      proxy.hold(event.length());
    } else {
      run.evidence().logTrouble(new Evidence.Span(now - MILLI, now + 1_000 * MILLI));
      proxy.resetAll();
    }
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

  private void threads(SoakDispatcher dispatcher, Event event) throws InterruptedException {
    Control control = dispatcher.control();
    if (control == null) {
      return;
    }
    long from = Clock.micros();
    control.set(Fault.THREAD_RATE, 500);
    Thread.sleep(event.length() / MILLI);
    control.set(Fault.THREAD_RATE, 0);
    // A connection that is accepted and finds no thread is closed by its dispatcher: nobody could
    // read it.
    run.evidence()
        .clientCut(dispatcher.number(), new Evidence.Span(from, Clock.micros() + 50 * MILLI));
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
