package gorseladder.soak;

import gorseladder.runtime.Clock;
import gorseladder.soak.Preload.Control;
import gorseladder.soak.Preload.Fault;
import gorseladder.soak.SoakPlan.Event;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Troubles around what a dispatcher is told: series of new configurations, and news that comes during a fault of its
 * system.
 */
final class NewsTroubles {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final int EVERY_CALL = 1_000;
  private static final int MAX_SIGNALS = 6;
  private static final int MAX_SIGNAL_GAP_MILLIS = 400;
  private static final int FAULT_LEAD_MILLIS = 20;
  private static final int MIN_FAULT_MILLIS = 200;
  private static final int FAULT_SPREAD_MILLIS = 400;
  /** Every announcement of the change log counts as delivered this long after a signal. */
  private static final long FOLLOW_TIMEOUT_MICROS = 4_000 * MICROS_PER_MILLI;
  /** The old address closes its open connections this long after the signal. */
  private static final long OLD_ADDRESS_MICROS = 1_500 * MICROS_PER_MILLI;

  /** What the operating system refuses; each fault with its rate and, where it has one, its error number. */
  enum SystemFault {
    NO_THREAD(Map.of(Fault.THREAD_RATE, EVERY_CALL)),
    NO_DESCRIPTOR(Map.of(
        Fault.OPEN_RATE,
        EVERY_CALL,
        Fault.OPEN_ERRNO,
        24,
        Fault.SOCKET_RATE,
        EVERY_CALL,
        Fault.SOCKET_ERRNO,
        24,
        Fault.ACCEPT_RATE,
        EVERY_CALL,
        Fault.ACCEPT_ERRNO,
        24)),
    FILE_TABLE_FULL(Map.of(Fault.OPEN_RATE, EVERY_CALL, Fault.OPEN_ERRNO, 23)),
    DISK_ERROR(Map.of(Fault.OPEN_RATE, EVERY_CALL, Fault.OPEN_ERRNO, 5)),
    NO_ADDRESS(Map.of(Fault.CONNECT_RATE, EVERY_CALL, Fault.CONNECT_ERRNO, 99)),
    NO_BUFFERS(Map.of(
        Fault.SOCKET_RATE,
        EVERY_CALL,
        Fault.SOCKET_ERRNO,
        105,
        Fault.CONNECT_RATE,
        EVERY_CALL,
        Fault.CONNECT_ERRNO,
        105)),
    INTERRUPTED(Map.of(Fault.INTERRUPT_RATE, 300, Fault.SHORT_RATE, 300)),
    CLOCK_STEPPED(Map.of(Fault.WALL_OFFSET_MS, 3_600_000));

    private final Map<Fault, Integer> values;

    SystemFault(Map<Fault, Integer> values) {
      this.values = new EnumMap<>(values);
    }

    private void begin(Control control) {
      // Error numbers come first, because a rate takes effect at once.
      values.forEach((fault, value) -> {
        if (fault.name().endsWith("_ERRNO")) {
          control.set(fault, value);
        }
      });
      values.forEach(control::set);
    }

    private void end(Control control) {
      values.keySet().forEach(fault -> {
        if (!fault.name().endsWith("_ERRNO")) {
          control.set(fault, 0);
        }
      });
    }
  }

  /** What the dispatcher is told during the fault. */
  enum News {
    RELOAD,
    STOP,
    DRAIN,
    CLOSED_CONNECTIONS
  }

  /** Delivers one piece of news. */
  interface Delivery {
    void run() throws IOException, InterruptedException;
  }

  private final SoakRun run;

  NewsTroubles(SoakRun run) {
    this.run = run;
  }

  private static <T> T pick(T[] all, long draw) {
    return all[(int) Math.floorMod(draw, (long) all.length)];
  }

  /** Returns the news that an event draws. */
  static News newsOf(Event event) {
    return pick(News.values(), event.randomBits() >> 12);
  }

  /**
   * Moves the change log of a dispatcher to a new address and signals the new configuration. The old address accepts no
   * new connection and announces nothing more.
   *
   * @return the proxy of the old address, to be closed later
   */
  FaultProxy moveChangeLog(SoakDispatcher dispatcher) throws IOException, InterruptedException {
    FaultProxy old = run.log().replaceProxy(dispatcher.number());
    run.writeConfig(dispatcher);
    long now = Clock.micros();
    run.evidence()
        .addLogTrouble(
            dispatcher.number(),
            new Evidence.Span(now - MICROS_PER_MILLI, now + FOLLOW_TIMEOUT_MICROS));
    dispatcher.signal("HUP");
    old.hold(FOLLOW_TIMEOUT_MICROS);
    old.refuseConnections();
    return old;
  }

  /** Sends several SIGHUPs, each with a new address; the dispatcher has to follow the last address in time. */
  void reloadRepeatedly(SoakDispatcher dispatcher, Event event, int count, int maxGapMillis)
      throws IOException, InterruptedException {
    List<FaultProxy> oldProxies = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      oldProxies.add(moveChangeLog(dispatcher));
      Thread.sleep(Math.floorMod(event.randomBits() >> 5 * i, maxGapMillis));
    }
    checkFollowed(dispatcher, oldProxies, Clock.micros());
  }

  /** Does so with a number of signals and gaps drawn from the event. */
  void reloadRepeatedly(SoakDispatcher dispatcher, Event event)
      throws IOException, InterruptedException {
    int count = 2 + (int) Math.floorMod(event.randomBits() >> 40, MAX_SIGNALS - 1L);
    reloadRepeatedly(dispatcher, event, count, MAX_SIGNAL_GAP_MILLIS);
  }

  private void checkFollowed(
      SoakDispatcher dispatcher, List<FaultProxy> oldProxies, long signalledAt)
      throws IOException, InterruptedException {
    Thread.sleep(OLD_ADDRESS_MICROS / MICROS_PER_MILLI);
    oldProxies.forEach(FaultProxy::resetAll);
    Thread.sleep((FOLLOW_TIMEOUT_MICROS - OLD_ADDRESS_MICROS) / MICROS_PER_MILLI);
    if (run.log().proxy(dispatcher.number()).acceptedCount() == 0) {
      run.addFinding(new Finding(
          SoakRule.FOLLOW,
          signalledAt,
          dispatcher.number(),
          "did not ask at the last new address within 4 s"));
    }
  }

  /** Delivers news at the moment at which the dispatcher's system fails; the fault goes on for a while after it. */
  void deliverDuringFault(SoakDispatcher dispatcher, Event event, Delivery news)
      throws IOException, InterruptedException {
    Control control = dispatcher.control();
    if (control == null || !dispatcher.isReady()) {
      return;
    }
    SystemFault fault = pick(SystemFault.values(), event.randomBits());
    fault.begin(control);
    long millis = MIN_FAULT_MILLIS + Math.floorMod(event.randomBits() >> 24, FAULT_SPREAD_MILLIS);
    FaultProxy.start("fault-ends", () -> {
      try {
        Thread.sleep(FAULT_LEAD_MILLIS + millis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      fault.end(control);
    });
    Thread.sleep(FAULT_LEAD_MILLIS);
    news.run();
  }

  /** Signals a new configuration; the dispatcher has to follow the new address in time. */
  void reload(SoakDispatcher dispatcher) throws IOException, InterruptedException {
    long signalledAt = Clock.micros();
    checkFollowed(dispatcher, List.of(moveChangeLog(dispatcher)), signalledAt);
  }
}
