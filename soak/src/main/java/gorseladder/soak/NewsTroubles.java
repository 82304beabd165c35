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

/** Troubles about what a dispatcher is told: new configurations in series, and any news amid a fault of its system. */
final class NewsTroubles {
  private static final long MILLI = 1_000;
  private static final int ALL = 1_000;
  private static final int MOST_SIGNALS = 6;
  private static final int LONGEST_GAP_MILLIS = 400;
  private static final int FAULT_BEFORE_MILLIS = 20;
  private static final int LEAST_FAULT_MILLIS = 200;
  private static final int MORE_FAULT_MILLIS = 400;
  /** What the change log has to tell counts as told so long after a signal. */
  private static final long FOLLOWS_WITHIN = 4_000 * MILLI;
  /** The old address closes what is open so long after the signal. */
  private static final long OLD_LOG = 1_500 * MILLI;

  /** What a system refuses all at once; each fault with its rate and, where it has one, its error. */
  enum SystemFault {
    NO_THREAD(Map.of(Fault.THREAD_RATE, ALL)),
    NO_DESCRIPTOR(Map.of(
        Fault.OPEN_RATE,
        ALL,
        Fault.OPEN_ERRNO,
        24,
        Fault.SOCKET_RATE,
        ALL,
        Fault.SOCKET_ERRNO,
        24,
        Fault.ACCEPT_RATE,
        ALL,
        Fault.ACCEPT_ERRNO,
        24)),
    FILE_TABLE_FULL(Map.of(Fault.OPEN_RATE, ALL, Fault.OPEN_ERRNO, 23)),
    DISK_ERROR(Map.of(Fault.OPEN_RATE, ALL, Fault.OPEN_ERRNO, 5)),
    NO_ADDRESS(Map.of(Fault.CONNECT_RATE, ALL, Fault.CONNECT_ERRNO, 99)),
    NO_BUFFERS(Map.of(
        Fault.SOCKET_RATE,
        ALL,
        Fault.SOCKET_ERRNO,
        105,
        Fault.CONNECT_RATE,
        ALL,
        Fault.CONNECT_ERRNO,
        105)),
    INTERRUPTED(Map.of(Fault.INTERRUPT_RATE, 300, Fault.SHORT_RATE, 300)),
    CLOCK_STEPPED(Map.of(Fault.WALL_OFFSET_MS, 3_600_000));

    private final Map<Fault, Integer> values;

    SystemFault(Map<Fault, Integer> values) {
      this.values = new EnumMap<>(values);
    }

    private void begin(Control control) {
      // Errors first: a rate takes hold at once.
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

  /** What is told at such a moment. */
  enum News {
    RELOAD,
    STOP,
    DRAIN,
    CLOSED_CONNECTIONS
  }

  /** Brings one piece of news. */
  interface Bringing {
    void run() throws IOException, InterruptedException;
  }

  private final SoakRun run;

  NewsTroubles(SoakRun run) {
    this.run = run;
  }

  private static <T> T pick(T[] all, long draw) {
    return all[(int) Math.floorMod(draw, (long) all.length)];
  }

  /** The news of an event. */
  static News news(Event event) {
    return pick(News.values(), event.draw() >> 12);
  }

  /**
   * Moves the change log of a dispatcher to a new address and signals that. The old address takes no new connection and
   * tells nothing more.
   *
   * @return the old address, to be closed later
   */
  FaultProxy move(SoakDispatcher dispatcher) throws IOException, InterruptedException {
    FaultProxy old = run.log().replace(dispatcher.number());
    run.configure(dispatcher);
    long now = Clock.micros();
    run.evidence()
        .logTrouble(dispatcher.number(), new Evidence.Span(now - MILLI, now + FOLLOWS_WITHIN));
    dispatcher.signal("HUP");
    old.hold(FOLLOWS_WITHIN);
    old.refuse();
    return old;
  }

  /** SIGHUP upon SIGHUP; the last address must be followed in time. */
  void signals(SoakDispatcher dispatcher, Event event, int count, int longestGapMillis)
      throws IOException, InterruptedException {
    List<FaultProxy> old = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      old.add(move(dispatcher));
      Thread.sleep(Math.floorMod(event.draw() >> 5 * i, longestGapMillis));
    }
    awaitFollowed(dispatcher, old, Clock.micros());
  }

  /** The same with a number and gaps drawn from the event. */
  void signals(SoakDispatcher dispatcher, Event event) throws IOException, InterruptedException {
    int count = 2 + (int) Math.floorMod(event.draw() >> 40, MOST_SIGNALS - 1L);
    signals(dispatcher, event, count, LONGEST_GAP_MILLIS);
  }

  private void awaitFollowed(SoakDispatcher dispatcher, List<FaultProxy> old, long asked)
      throws IOException, InterruptedException {
    Thread.sleep(OLD_LOG / MILLI);
    old.forEach(FaultProxy::resetAll);
    Thread.sleep((FOLLOWS_WITHIN - OLD_LOG) / MILLI);
    if (run.log().proxy(dispatcher.number()).accepted() == 0) {
      run.found(new Finding(
          SoakRule.FOLLOW,
          asked,
          dispatcher.number(),
          "did not ask at the last new address within 4 s"));
    }
  }

  /** Brings news at the moment at which the dispatcher's system fails, and for a while after it. */
  void amidFault(SoakDispatcher dispatcher, Event event, Bringing news)
      throws IOException, InterruptedException {
    Control control = dispatcher.control();
    if (control == null || !dispatcher.isReady()) {
      return;
    }
    SystemFault fault = pick(SystemFault.values(), event.draw());
    fault.begin(control);
    long millis = LEAST_FAULT_MILLIS + Math.floorMod(event.draw() >> 24, MORE_FAULT_MILLIS);
    FaultProxy.start("fault-ends", () -> {
      try {
        Thread.sleep(FAULT_BEFORE_MILLIS + millis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      fault.end(control);
    });
    Thread.sleep(FAULT_BEFORE_MILLIS);
    news.run();
  }

  /** A new configuration and its signal; the address must be followed in time. */
  void reload(SoakDispatcher dispatcher) throws IOException, InterruptedException {
    long asked = Clock.micros();
    awaitFollowed(dispatcher, List.of(move(dispatcher)), asked);
  }
}
