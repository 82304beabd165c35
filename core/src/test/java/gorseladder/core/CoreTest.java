package gorseladder.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.Limits;
import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.RequestClass;
import gorseladder.RouterApi.Rules;
import gorseladder.RouterApi.Settings;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.ahead.Plan;
import gorseladder.answers.Reason;
import gorseladder.core.Core.AttemptEnd;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Writers;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CoreTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long DEADLINE_INTERVAL_MICROS = 20_000;
  private static final int STACK_BYTES = 512 << 10;
  private static final RequestClass SAFE = new RequestClass(
      "safe", Effect.SAFE, Group.ALL, 0, SECOND_MICROS, 2 * SECOND_MICROS, 1, 0.2, false);

  private final Writers writers = new Writers(1, STACK_BYTES);
  private volatile boolean stopped;

  private class ReleasingOutbound implements Core.Outbound<Call> {
    @Override
    public void send(Call call, int attempt, String worker, long timeout) {}

    @Override
    public void cancel(Call call, int attempt) {}

    @Override
    public void load(String worker, String function, int copies) {}

    @Override
    public void tellPeers(String text) {}

    @Override
    public void subscribeWorkerList() {}

    @Override
    public void beforeIdle() {
      writers.releaseHeld();
    }

    @Override
    public void flush() {
      writers.releaseHeld();
    }
  }

  /** Guards against answers that are written only when the core is idle, which never happens under lasting overload. */
  @Test
  void whatTheCoreHasWrittenLeavesThoughTheCoreIsNeverIdle() throws Exception {
    CountDownLatch written = new CountDownLatch(1);
    try (writers;
        Core<Call> core =
            new Core<>(settings(), 1, new ReleasingOutbound(), 100, true, null, STACK_BYTES)) {
      core.collectReport(
          Map.of(),
          first -> core.collectReport(Map.of(), second -> {
            writers.execute(written::countDown);
            keepBusy(core);
          }));
      assertTrue(written.await(5, TimeUnit.SECONDS), "held back for 5 s");
    } finally {
      stopped = true;
    }
  }

  /** Each message queues the next one while it is processed. */
  private void keepBusy(Core<Call> core) {
    if (!stopped) {
      core.collectReport(Map.of(), next -> keepBusy(core));
    }
  }

  /**
   * Guards against calls that are queued while the core gets no processor for those ahead of them: their answers came
   * too late, whereas an immediate refusal is harmless.
   */
  @Test
  void aCallIsNotQueuedBehindOthersThatHaveWaitedForLongOfItsTime() throws Exception {
    CountDownLatch coreBlocked = new CountDownLatch(1);
    try (writers;
        Core<Call> core =
            new Core<>(settings(), 1, new ReleasingOutbound(), 100, true, null, STACK_BYTES)) {
      core.collectReport(Map.of(), first -> await(coreBlocked));
      assertFalse(core.offer(call(0, 0)), "its time is over");
      assertTrue(core.offer(call(1, 20 * SECOND_MICROS)), "nothing waits before it");
      assertTrue(core.offer(call(2, 20 * SECOND_MICROS)), "nothing has waited for long");
      Thread.sleep(300);
      assertFalse(core.offer(call(3, SECOND_MICROS)), "0.3 s of one second have gone");
      assertTrue(core.offer(call(4, 20 * SECOND_MICROS)), "0.3 s of twenty seconds have gone");
    } finally {
      coreBlocked.countDown();
    }
  }

  /**
   * Guards against results that wait for a core without a processor: a result in time finishes its call on the thread
   * that read it, a late one does not.
   */
  @Test
  void aServedAnswerDoesNotWaitForTheCore() throws Exception {
    CountDownLatch coreBlocked = new CountDownLatch(1);
    try (writers;
        Core<Call> core =
            new Core<>(settings(), 1, new ReleasingOutbound(), 100, true, null, STACK_BYTES)) {
      core.collectReport(Map.of(), first -> await(coreBlocked));
      Call inTime = call(1, SECOND_MICROS);
      Call late = call(2, -SECOND_MICROS);
      core.answerServed(served(inTime));
      core.answerServed(served(late));
      assertEquals(Reason.SERVED, inTime.answer().reason());
      assertNull(late.answer());
    } finally {
      coreBlocked.countDown();
    }
  }

  private static AttemptEnd<Call> served(Call call) {
    call.addAttempt("r", Clock.micros(), 1);
    return new AttemptEnd<>(call, 0, Outcome.OK, new byte[] {1}, CopyStatus.NONE, 0, Map.of());
  }

  /** Guards against a core that wakes at the deadline of each call that ended long before. */
  @Test
  void theDeadlineOfACallThatHasEndedDoesNotWakeTheCore() throws Exception {
    int calls = 20;
    List<Call> taken = IntStream.range(0, calls)
        .mapToObj(i -> call(i, SECOND_MICROS + i * DEADLINE_INTERVAL_MICROS))
        .toList();
    CountDownLatch left = new CountDownLatch(1);
    AtomicInteger pauses = new AtomicInteger();
    ReleasingOutbound counting = new ReleasingOutbound() {
      @Override
      public void beforeIdle() {
        pauses.incrementAndGet();
      }
    };
    try (writers;
        Core<Call> core = new Core<>(settings(), 1, counting, 100, true, null, STACK_BYTES)) {
      taken.forEach(core::offer);
      long until = Clock.micros() + SECOND_MICROS;
      while (taken.get(calls - 1).consideredAt() == 0 && Clock.micros() < until) {
        Thread.sleep(1);
      }
      taken.forEach(call -> leave(core, call));
      core.collectReport(Map.of(), gone -> left.countDown());
      assertTrue(left.await(5, TimeUnit.SECONDS), "the clients did not leave in 5 s");
      int before = pauses.get();
      Thread.sleep((SECOND_MICROS + calls * DEADLINE_INTERVAL_MICROS) / 1_000);
      int after = pauses.get() - before;
      assertTrue(after < calls / 2, () -> after + " pauses for " + calls + " calls that ended");
    }
  }

  /** Guards against loads of a plan that are ordered after the process has given its last answers. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void noLoadOfAPlanBeginsAfterTheLastAnswers(boolean stopping) throws Exception {
    AtomicInteger loads = new AtomicInteger();
    ReleasingOutbound counting = new ReleasingOutbound() {
      @Override
      public void load(String worker, String function, int copies) {
        loads.incrementAndGet();
      }
    };
    try (writers;
        Core<Call> core = new Core<>(settings(), 1, counting, 100, true, null, STACK_BYTES)) {
      core.workerListChanged(new WorkerListUpdate(
          ListKind.SAVED, List.of(new WorkerEntry("r", "z", 0, Phase.RUNNING, 1, 0))));
      core.takePlan(plan(1));
      if (stopping) {
        core.refuseAll();
        core.takePlan(plan(2));
      }
      Thread.sleep(SECOND_MICROS / 1_000);
      assertEquals(stopping ? 0 : 1, loads.get());
    }
  }

  private static Plan plan(long version) {
    long now = Clock.micros();
    Plan.Item item = new Plan.Item(
        "r", "f", 1, 1, now + SECOND_MICROS / 4, now + 60 * SECOND_MICROS, 0, 100, true);
    return new Plan(1, version, now + 60 * SECOND_MICROS, List.of(item));
  }

  private static void leave(Core<Call> core, Call call) {
    call.finish(FinalAnswer.withoutRetryAdvice(Reason.GONE), Clock.micros());
    core.clientGone(call);
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Call call(long id, long time) {
    long now = Clock.micros();
    Call.Facts facts =
        new Call.Facts("m" + id, SAFE, "", "f", new byte[0], 1, 1, 0, false, now, now + time);
    return new Call(id, facts) {
      @Override
      protected void onFinalAnswer(FinalAnswer end) {}
    };
  }

  private static Settings settings() {
    return new Settings(
        0,
        1,
        "z",
        2_000,
        8 * SECOND_MICROS,
        true,
        false,
        0,
        0.05,
        new Limits(4, false, true, false, false, true, true, SECOND_MICROS, SECOND_MICROS),
        new Rules(500_000, 0.2, SECOND_MICROS, 2, SECOND_MICROS, 0, 0, 0),
        List.of(SAFE),
        List.of());
  }
}
