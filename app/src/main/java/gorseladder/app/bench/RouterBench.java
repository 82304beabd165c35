package gorseladder.app.bench;

import gorseladder.Router;
import gorseladder.RouterApi.Action;
import gorseladder.RouterApi.Answer;
import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.Limits;
import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.Request;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Rules;
import gorseladder.RouterApi.Send;
import gorseladder.RouterApi.SetTimer;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.TimerDue;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.structures.TimerWheel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import picocli.CommandLine.Command;

/** {@code bench router}: time that the router's decisions take for a call, by the size of the fleet. */
@Command(
    name = "router",
    mixinStandardHelpOptions = true,
    description =
        "Microseconds of the router for each call at 12, 80 and 240 runners, all events of the call included.")
final class RouterBench implements Runnable {
  private static final int CALLS = 200_000;
  private static final long CALL_GAP_MICROS = 500;

  private record PendingAnswer(long dueMicros, long id, String worker) {}

  @Override
  public void run() {
    for (int runners : new int[] {12, 80, 240}) {
      measure(runners, CALLS / 4);
      System.out.printf(
          Locale.ROOT, "%3d runners: %.2f us a call%n", runners, measure(runners, CALLS));
    }
  }

  private static double measure(int runners, int calls) {
    RequestClass requestClass =
        new RequestClass("c", Effect.SAFE, Group.ALL, 0, 1_000_000, 3_000_000, 1, 0.2, false);
    Router router = new Router(
        new Settings(
            0,
            3,
            "z",
            2_000,
            8_000_000,
            true,
            false,
            0,
            1,
            new Limits(4, false, true, false, true, true, true, 1_000_000, 10_000_000),
            new Rules(500_000, 0.2, 15_000_000, 2.5, 1_500_000, 0, 0, 0),
            List.of(requestClass),
            List.of()),
        1);
    List<WorkerEntry> workers = new ArrayList<>();
    for (int i = 0; i < runners; i++) {
      workers.add(new WorkerEntry("w" + i, "z", 0, Phase.RUNNING, 1, 0));
    }
    TimerWheel<String> timers = new TimerWheel<>(1_000, 0);
    ArrayDeque<PendingAnswer> pending = new ArrayDeque<>();
    List<Action> actions = new ArrayList<>();
    Random random = new Random(2);
    long nowMicros = 0;
    router.on(nowMicros, new WorkerListUpdate(ListKind.SAVED, workers), actions::add);
    long startNanos = System.nanoTime();
    for (long id = 1; id <= calls; id++) {
      nowMicros += CALL_GAP_MICROS;
      long eventMicros = nowMicros;
      timers.advance(nowMicros, token -> router.on(eventMicros, new TimerDue(token), actions::add));
      router.on(
          nowMicros,
          new Request(
              id,
              "c",
              "",
              "svc/f" + (int) (Math.pow(random.nextDouble(), 2) * 200),
              3_000_000,
              0,
              300,
              2,
              300_000,
              false),
          actions::add);
      while (!pending.isEmpty() && pending.peekFirst().dueMicros() <= nowMicros) {
        PendingAnswer answer = pending.pollFirst();
        router.on(
            nowMicros,
            new Answer(
                answer.id(),
                0,
                answer.worker(),
                Outcome.OK,
                true,
                30_000,
                CopyStatus.WARM,
                0,
                Map.of()),
            actions::add);
      }
      for (Action action : actions) {
        if (action instanceof Send send) {
          pending.addLast(new PendingAnswer(nowMicros + 30_000, send.id(), send.worker()));
        } else if (action instanceof SetTimer timer) {
          timers.schedule(nowMicros + timer.delay(), timer.token());
        }
      }
      actions.clear();
    }
    return (System.nanoTime() - startNanos) / 1000.0 / calls;
  }
}
