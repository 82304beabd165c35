package gorseladder.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Rules;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.config.Address;
import gorseladder.core.Core;
import gorseladder.core.FinalAnswer;
import gorseladder.core.RuleLog;
import gorseladder.edge.core.AdmissionCheck;
import gorseladder.edge.core.Intake;
import gorseladder.edge.core.MessageId;
import gorseladder.edge.core.TakenCall;
import gorseladder.edge.runners.RunnerSettings;
import gorseladder.edge.runners.Runners;
import gorseladder.edge.runners.UnfinishedAnswers;
import gorseladder.gate.SendGate;
import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.Clock;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.Watchdog;
import gorseladder.store.Ledger;
import gorseladder.wire.webhook.Delivery;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a drain that is reported while an attempt waits between the router's decision and the write. */
class LastLookTest {
  private static final Rules RULES = new Rules(500_000, 0.2, 6_000_000, 2.5, 1_500_000, 0, 0, 0);

  @TempDir
  Path dir;

  @Test
  void anAttemptHeldBackBeyondADrainNeverLeavesAndTheCallGoesElsewhere() throws Exception {
    Tap tap = new Tap();
    StandInRunner.Settings runnerSettings = new StandInRunner.Settings(
        "z", 0, 4, 1, 6_000, 64, 5_000, 5_000, 8_000_000, true, true, 8_000_000, RULES);
    StandInRunner.IdempotencyKeys keys = new StandInRunner.IdempotencyKeys();
    SendGate gate = new SendGate(RULES);
    try (StandInRunner a =
            new StandInRunner(runnerSettings, new Archive(4, 40), keys, tap, 1, l -> {});
        StandInRunner b =
            new StandInRunner(runnerSettings, new Archive(4, 40), keys, tap, 2, l -> {});
        Ledger ledger = Ledger.open(dir.resolve("ledger"), false, 100);
        Watchdog watchdog = new Watchdog("watchdog", 256 << 10);
        Runners runners = new Runners(
            new RunnerSettings(0, 250_000, 1_000_000, 1_000_000, 0, 1 << 20, false),
            new UnfinishedAnswers(new ByteBudget(Long.MAX_VALUE), bytes -> false),
            ledger,
            gate,
            Address::parse,
            watchdog,
            new ThreadCache("attempt", 1, 256 << 10),
            new RuleLog())) {
      String[] firstWorker = new String[1];
      RequestClass issue = new RequestClass(
          "issue", Effect.UNSAFE, Group.ALL, 0, 1_000_000, 3_000_000, 1, 0.2, false);
      Settings settings = new Settings(
          0,
          1,
          "z",
          2_000,
          8_000_000,
          true,
          false,
          0,
          1,
          new gorseladder.RouterApi.Limits(
              4, false, true, false, false, true, true, 1_000_000, 1_000_000),
          RULES,
          List.of(issue),
          List.of());
      Core<TakenCall> core = new Core<>(
          settings,
          1,
          new Core.Outbound<TakenCall>() {
            @Override
            public void send(TakenCall call, int attempt, String worker, long timeout) {
              firstWorker[0] = firstWorker[0] == null ? worker : firstWorker[0];
              runners.send(call, attempt, worker, timeout);
            }

            @Override
            public void cancel(TakenCall call, int attempt) {
              runners.cancel(call, attempt);
            }

            @Override
            public void load(String worker, String function, int copies) {}

            @Override
            public void tellPeers(String text) {}

            @Override
            public void subscribeWorkerList() {}
          },
          10,
          false,
          null,
          256 << 10);
      runners.setListener(new Runners.Listener() {
        @Override
        public void attemptEnded(Core.AttemptEnd<TakenCall> end) {
          core.attemptEnded(end);
        }

        @Override
        public void loadEnded(gorseladder.RouterApi.Loaded loaded) {
          core.loadEnded(loaded);
        }
      });
      Intake intake = new Intake(
          ledger,
          10,
          60_000_000,
          1000,
          15_000,
          new ThreadCache("read", 1, 256 << 10),
          new Intake.Listener() {
            @Override
            public void callAccepted(TakenCall call) {}

            @Override
            public void callEnded(TakenCall call) {}
          });
      intake.setCore(core);
      core.workerListChanged(new WorkerListUpdate(
          ListKind.SAVED,
          List.of(
              new WorkerEntry(a.id(), "z", 0, Phase.RUNNING, 1, 0),
              new WorkerEntry(b.id(), "z", 0, Phase.RUNNING, 1, 0))));
      TakenCall call;
      // Every attempt takes the gate's lock just before its write, so this keeps it between
      // decision and write.
      synchronized (gate) {
        call = intake
            .handle(new Intake.Delivery(
                List.of(new MessageId("/hooks", "m")),
                intake.signedRequest("", Delivery.of("m", "1", "v1,"), new byte[0]),
                Set.of(),
                9_000_000_000_000_000L,
                new Intake.Work(issue, "", "f", "{}".getBytes(), 100, 1, 0),
                Clock.micros(),
                3_000_000,
                new AdmissionCheck(null).enter(1, "", 0, 0, false),
                () -> false))
            .call();
        Thread.sleep(300);
        gate.phaseReported(firstWorker[0], Phase.DRAINING, Clock.micros());
      }
      FinalAnswer answer = call.await(Clock.micros() + 3_000_000);
      assertEquals(200, answer.reason().status);
      synchronized (tap) {
        assertEquals(1, tap.arrivals.size());
        assertTrue(!tap.arrivals.get(0).runner.equals(firstWorker[0]));
      }
      assertEquals(1, gate.refusedCalls());
      core.close();
    }
  }
}
