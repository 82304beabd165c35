package gorseladder.edge.history;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.Loaded;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.RequestClass;
import gorseladder.answers.Reason;
import gorseladder.core.FinalAnswer;
import gorseladder.edge.core.AdmissionCheck;
import gorseladder.edge.core.RequestKeys;
import gorseladder.edge.core.TakenCall;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerEntry;
import gorseladder.store.LedgerEntry.Stage;
import gorseladder.store.history.History;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The history is called by threads that hold locks of their own. */
class CallHistoryTest {
  private static final RequestClass SAFE =
      new RequestClass("safe", Effect.SAFE, Group.ALL, 0, 1_000, 3_000, 1, 0.2, false);
  private static final long WAIT_MILLIS = 200;

  @TempDir
  Path dir;

  /**
   * While one thread reports the end of a call whose lock another thread holds, that other thread can report to the
   * history too.
   */
  @Test
  void whoHoldsACallMayTellOfItWhileItsEndIsTold() throws Exception {
    try (Ledger ledger = Ledger.open(dir.resolve("ledger"), false, 100);
        CallHistory history = new CallHistory(
            History.open(dir.resolve("history"), new History.Bounds(1 << 20, 60, 8 << 20)),
            256 << 10)) {
      TakenCall call = call(ledger);
      call.finish(new FinalAnswer(Reason.GONE, null, 0), 1);
      CompletableFuture<Void> endReport;
      CompletableFuture<Void> loadReport;
      synchronized (call) {
        endReport = CompletableFuture.runAsync(() -> history.callEnded(call));
        Thread.sleep(WAIT_MILLIS);
        loadReport = CompletableFuture.runAsync(
            () -> history.loadEnded(new Loaded("w", "f", 1, Outcome.OK, 5)));
        assertDoesNotThrow(() -> loadReport.get(5, TimeUnit.SECONDS), "the history is blocked");
      }
      endReport.get(5, TimeUnit.SECONDS);
    }
  }

  private static TakenCall call(Ledger ledger) throws IOException {
    LedgerEntry entry =
        new LedgerEntry(Stage.ACCEPTED, false, 5, 0, 1L << 60, new byte[16], "", 0, null);
    ledger.put("m", entry);
    return new TakenCall(
        1,
        new TakenCall.Facts("m", SAFE, "", "f", new byte[0], 1, 1, 0, false, 0, 3_000),
        ledger,
        entry,
        RequestKeys.NONE,
        100,
        new AdmissionCheck(null).enter(1, "", 0, 0, false),
        c -> {});
  }
}
