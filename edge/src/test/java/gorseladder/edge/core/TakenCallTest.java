package gorseladder.edge.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.RequestClass;
import gorseladder.answers.Reason;
import gorseladder.core.Call;
import gorseladder.core.FinalAnswer;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerEntry;
import gorseladder.store.LedgerEntry.Stage;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Order of the end of a call and the sending of its bytes. */
class TakenCallTest {
  private static final RequestClass UNSAFE_CLASS =
      new RequestClass("issue", Effect.UNSAFE, Group.ALL, 0, 1_000, 3_000, 1, 0.2, false);
  private static final FinalAnswer REFUSED = new FinalAnswer(Reason.REFUSED_UNSENT, null, 1);
  private static final FinalAnswer SERVED = new FinalAnswer(Reason.SERVED, new byte[] {1}, 0);

  @TempDir
  Path dir;

  private final AtomicInteger endCount = new AtomicInteger();
  private Ledger ledger;

  @BeforeEach
  void open() throws IOException {
    ledger = Ledger.open(dir.resolve("ledger"), false, 100_000);
  }

  @AfterEach
  void close() {
    ledger.close();
  }

  private TakenCall call(String message, boolean ranBefore) throws IOException {
    LedgerEntry entry = new LedgerEntry(
        Stage.ACCEPTED, ranBefore, 5, ranBefore ? 3 : 0, 1L << 60, new byte[16], "", 0, null);
    ledger.put(message, entry);
    return new TakenCall(
        1,
        new TakenCall.Facts(message, UNSAFE_CLASS, "", "f", new byte[0], 1, 1, 0, false, 0, 3_000),
        ledger,
        entry,
        RequestKeys.NONE,
        100,
        new AdmissionCheck(null).enter(1, "", 0, 0, false),
        c -> endCount.incrementAndGet());
  }

  @Test
  void afterTheAnswerNothingLeavesAndTheFirstAnswerStands() throws IOException {
    TakenCall call = call("m", false);
    int attempt = call.addAttempt("w", 0, 0);
    assertTrue(call.finish(REFUSED, 1));
    assertFalse(call.finish(SERVED, 2));
    assertFalse(trySend(call, attempt));
    assertEquals(0, call.recordSending(9));
    assertEquals(REFUSED, call.answer());
    assertEquals(1, endCount.get());
    assertEquals(Stage.CLOSED, ledger.get("m").stage());
    assertFalse(ledger.get("m").mayHaveRun());
  }

  @Test
  void whatLeftCountsAsMayHaveRunUnlessItIsKnownNotTo() throws IOException {
    TakenCall out = call("out", false);
    out.recordSending(9);
    trySend(out, out.addAttempt("w", 0, 0));
    out.finish(new FinalAnswer(Reason.FAILED_TIMEOUT, null, 0), 1);
    assertTrue(ledger.get("out").mayHaveRun());
    assertEquals(9, ledger.get("out").leftAt());

    TakenCall full = call("full", false);
    full.recordSending(9);
    int attempt = full.addAttempt("w", 0, 0);
    trySend(full, attempt);
    full.ended(attempt, Outcome.FULL, 2);
    full.finish(REFUSED, 1);
    assertFalse(ledger.get("full").mayHaveRun());

    TakenCall again = call("again", true);
    again.finish(REFUSED, 1);
    assertTrue(ledger.get("again").mayHaveRun(), "an earlier delivery may have run");
    assertEquals(3, ledger.get("again").leftAt());
  }

  @Test
  void anAnswerThatComesAfterTheEndIsKeptForTheSendersNextTry() throws IOException {
    TakenCall call = call("late", false);
    call.recordSending(9);
    trySend(call, call.addAttempt("w", 0, 0));
    call.onServedResult(new byte[] {7});
    assertEquals(Stage.LEAVING, ledger.get("late").stage(), "not finished yet");
    call.finish(new FinalAnswer(Reason.FAILED_TIMEOUT, null, 0), 1);
    call.onServedResult(new byte[] {7});
    assertEquals(Stage.SERVED, ledger.get("late").stage());
    assertEquals(7, ledger.get("late").answer()[0]);
    call.onServedResult(new byte[] {8});
    assertEquals(7, ledger.get("late").answer()[0]);
  }

  /**
   * Races the end of a call against a send, thousands of times: either the bytes were sent and the record says so, or
   * they were not sent.
   */
  @Test
  void anEndAndALeavingNeverCross() throws Exception {
    CyclicBarrier barrier = new CyclicBarrier(2);
    int sentCount = 0;
    for (int round = 0; round < 3_000; round++) {
      TakenCall call = call("r" + round, false);
      int attempt = call.addAttempt("w", 0, 0);
      boolean[] sent = new boolean[1];
      Thread sender = new Thread(() -> {
        try {
          barrier.await();
          call.recordSending(9);
          sent[0] = trySend(call, attempt);
        } catch (Exception e) {
          throw new IllegalStateException(e);
        }
      });
      sender.start();
      barrier.await();
      call.finish(REFUSED, 1);
      sender.join();
      assertEquals(sent[0], ledger.get("r" + round).mayHaveRun(), "round " + round);
      assertEquals(Stage.CLOSED, ledger.get("r" + round).stage());
      sentCount += sent[0] ? 1 : 0;
    }
    assertTrue(sentCount < 3_000 && endCount.get() == 3_000, sentCount + " sent");
  }

  /**
   * A second attempt, beside the first or after it, must not be sent either before the record of the send is written.
   */
  @Test
  void eachAttemptWaitsForTheRecordOfTheFirstLeaving() throws IOException {
    TakenCall call = call("twice", false);
    call.addAttempt("v", 0, 0);
    long first = call.recordSending(9);
    call.addAttempt("w", 0, 0);
    assertTrue(first > 0);
    assertEquals(first, call.recordSending(9));
  }

  private static boolean trySend(TakenCall call, int attempt) {
    Call.SendConditions conditions =
        new Call.SendConditions(Long.MAX_VALUE, false, false, 0, false);
    return call.trySend(attempt, conditions, 1).allowed();
  }
}
