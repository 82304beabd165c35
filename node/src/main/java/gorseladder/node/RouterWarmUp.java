package gorseladder.node;

import gorseladder.Router;
import gorseladder.RouterApi.Action;
import gorseladder.RouterApi.Answer;
import gorseladder.RouterApi.AnswerDue;
import gorseladder.RouterApi.ClientGone;
import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Load;
import gorseladder.RouterApi.Loaded;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.Request;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Send;
import gorseladder.RouterApi.SetTimer;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.TimerDue;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;

/**
 * Exercises a separate router with its own clock and all workers of the list: answers with every outcome, timers of
 * waiting calls, clients that leave and calls past their deadline. Not thread safe.
 */
final class RouterWarmUp {
  private static final int FUNCTIONS = 8;
  private static final int LANES = 2;
  /** Interval between two calls on the clock of the warm-up. */
  private static final long CALL_INTERVAL_MICROS = 100_000;

  private static final long LATENCY_MICROS = 20_000;
  private static final Outcome[] OUTCOMES = Outcome.values();
  private static final CopyStatus[] COPY_STATUSES = CopyStatus.values();

  private final Router router;
  private final Settings settings;
  private final ArrayDeque<Send> sends = new ArrayDeque<>();
  private final ArrayDeque<Load> loads = new ArrayDeque<>();
  private final ArrayDeque<SetTimer> timers = new ArrayDeque<>();
  private long now;

  RouterWarmUp(Settings settings, List<WorkerEntry> workers) {
    this.settings = settings;
    router = new Router(settings, 1);
    router.on(now, new WorkerListUpdate(ListKind.SAVED, workers), this::collect);
  }

  private void collect(Action action) {
    if (action instanceof Send send) {
      sends.addLast(send);
    } else if (action instanceof Load load) {
      loads.addLast(load);
    } else if (action instanceof SetTimer timer) {
      timers.addLast(timer);
    }
  }

  /** Simulates the call with this number, from 1, to its end. */
  void playCall(int number) {
    now += CALL_INTERVAL_MICROS;
    List<RequestClass> classes = settings.classes();
    RequestClass requestClass = classes.get(number % classes.size());
    router.on(
        now,
        new Request(
            number,
            requestClass.name(),
            "",
            "f" + number % FUNCTIONS,
            requestClass.deadline(),
            0,
            1,
            LANES,
            CALL_INTERVAL_MICROS,
            false),
        this::collect);
    now += LATENCY_MICROS;
    runTimers();
    endLoads();
    answerAll(number);
    router.on(now, number % 2 == 0 ? new ClientGone(number) : new AnswerDue(number), this::collect);
    sends.clear();
  }

  /** Runs the timers that are set now; a timer that sets itself again waits for the next call. */
  private void runTimers() {
    for (int left = timers.size(); left > 0; left--) {
      router.on(now, new TimerDue(timers.removeFirst().token()), this::collect);
    }
  }

  private void endLoads() {
    while (!loads.isEmpty()) {
      Load load = loads.removeFirst();
      router.on(
          now,
          new Loaded(load.worker(), load.function(), load.copies(), Outcome.OK, LATENCY_MICROS),
          this::collect);
    }
  }

  /** Ends each attempt, every second one successfully; a repeated attempt gets the next outcome. */
  private void answerAll(int number) {
    for (int attempt = 0; !sends.isEmpty(); attempt++) {
      Send send = sends.removeFirst();
      int variant = number + attempt;
      boolean succeeds = variant % 2 == 0;
      Outcome outcome = succeeds ? Outcome.OK : OUTCOMES[variant / 2 % OUTCOMES.length];
      router.on(
          now,
          new Answer(
              send.id(),
              attempt,
              send.worker(),
              outcome,
              succeeds,
              LATENCY_MICROS,
              COPY_STATUSES[variant % COPY_STATUSES.length],
              variant % LANES,
              Map.of()),
          this::collect);
    }
  }
}
