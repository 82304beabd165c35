package gorseladder.edge.runners;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.Loaded;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Rules;
import gorseladder.answers.Reason;
import gorseladder.core.Core.AttemptEnd;
import gorseladder.core.FinalAnswer;
import gorseladder.core.RuleLog;
import gorseladder.edge.core.AdmissionCheck;
import gorseladder.edge.core.RequestKeys;
import gorseladder.edge.core.TakenCall;
import gorseladder.gate.SendGate;
import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.Clock;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.Watchdog;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerEntry;
import gorseladder.store.LedgerEntry.Stage;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RunnersTest {
  private static final int STACK_BYTES = 256 << 10;
  private static final long SECOND_MICROS = 1_000_000;
  private static final Rules RULES =
      new Rules(500_000, 0.2, SECOND_MICROS, 2, SECOND_MICROS, 0, 0, 0);
  private static final RequestClass SAFE = new RequestClass(
      "safe", Effect.SAFE, Group.ALL, 0, SECOND_MICROS, 5 * SECOND_MICROS, 1, 0.2, false);

  @TempDir
  Path dir;

  private final CountDownLatch sendChecked = new CountDownLatch(1);
  private final CountDownLatch callEnded = new CountDownLatch(1);

  /** Blocks an attempt between its send check and its write until its call has ended, or for 300 ms. */
  private final class SlowWatchdog extends Watchdog {
    private SlowWatchdog() {
      super("watchdog", STACK_BYTES);
    }

    @Override
    public Timer after(long micros, Runnable task) {
      sendChecked.countDown();
      try {
        callEnded.await(300, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return super.after(micros, task);
    }
  }

  /** Guards against an attempt that reaches a runner after its call's final answer was given. */
  @Test
  void noAttemptLeavesAfterItsCallHasEnded() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        Ledger ledger = Ledger.open(dir.resolve("ledger"), false, 100);
        Watchdog watchdog = new SlowWatchdog();
        Runners runners = runners(ledger, watchdog, server)) {
      TakenCall call = call(ledger);
      runners.send(call, call.addAttempt("runner", Clock.micros(), 0), "runner", 0);
      try (Socket runner = server.accept()) {
        assertTrue(sendChecked.await(5, TimeUnit.SECONDS));
        call.finish(new FinalAnswer(Reason.FAILED_TIMEOUT, null, 0), Clock.micros());
        int arrived = runner.getInputStream().available();
        callEnded.countDown();
        assertTrue(
            arrived > 0,
            "its bytes had not been sent when the call ended, and were sent after that");
      }
    }
  }

  /**
   * Guards against a deadlock: the listener of an attempt takes locks of its own, and the end of a call takes the
   * call's lock.
   */
  @Test
  void anAttemptThatIsHeldBackIsReportedWithoutTheCallsLock() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        Ledger ledger = Ledger.open(dir.resolve("ledger"), false, 100);
        Watchdog watchdog = new Watchdog("watchdog", STACK_BYTES);
        Runners runners = runners(ledger, watchdog, server)) {
      CompletableFuture<Boolean> locked = new CompletableFuture<>();
      TakenCall call = call(ledger);
      runners.setListener(new Runners.Listener() {
        @Override
        public void attemptEnded(AttemptEnd<TakenCall> end) {
          locked.complete(Thread.holdsLock(call));
        }

        @Override
        public void loadEnded(Loaded loaded) {}
      });
      call.finish(new FinalAnswer(Reason.GONE, null, 0), Clock.micros());
      runners.send(call, call.addAttempt("runner", Clock.micros(), 0), "runner", 0);
      assertFalse(locked.get(5, TimeUnit.SECONDS), "the call's lock is held");
    }
  }

  private static Runners runners(Ledger ledger, Watchdog watchdog, ServerSocket server) {
    Runners runners = new Runners(
        new RunnerSettings(0, SECOND_MICROS, SECOND_MICROS, SECOND_MICROS, 0, 1 << 20, false),
        new UnfinishedAnswers(new ByteBudget(Long.MAX_VALUE), bytes -> false),
        ledger,
        new SendGate(RULES),
        worker -> (InetSocketAddress) server.getLocalSocketAddress(),
        watchdog,
        new ThreadCache("attempt", 1, STACK_BYTES),
        new RuleLog());
    runners.setListener(new Runners.Listener() {
      @Override
      public void attemptEnded(AttemptEnd<TakenCall> end) {}

      @Override
      public void loadEnded(Loaded loaded) {}
    });
    return runners;
  }

  private static TakenCall call(Ledger ledger) throws IOException {
    LedgerEntry entry =
        new LedgerEntry(Stage.ACCEPTED, false, 5, 0, 1L << 60, new byte[16], "", 0, null);
    ledger.put("endpoint message", entry);
    long now = Clock.micros();
    return new TakenCall(
        1,
        new TakenCall.Facts(
            "endpoint message",
            SAFE,
            "",
            "f",
            new byte[2],
            1,
            1,
            0,
            false,
            now,
            now + 5 * SECOND_MICROS),
        ledger,
        entry,
        RequestKeys.NONE,
        100,
        new AdmissionCheck(null).enter(1, "", 0, 0, false),
        taken -> {});
  }
}
