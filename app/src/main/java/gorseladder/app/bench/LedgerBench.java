package gorseladder.app.bench;

import gorseladder.runtime.Clock;
import gorseladder.runtime.Threads;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerEntry;
import gorseladder.store.LedgerEntry.Stage;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import picocli.CommandLine.Command;

/** {@code bench ledger}: what a durable record costs, with and without a flush to disk, by how many wait together. */
@Command(name = "ledger", mixinStandardHelpOptions = true, description = "Cost of durable records and of group commit.")
final class LedgerBench implements Runnable {
  private static final long SECONDS = 3;

  @Override
  public void run() {
    try {
      for (boolean sync : new boolean[] {false, true}) {
        for (int writers : new int[] {1, 8, 64}) {
          measure(sync, writers);
        }
      }
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void measure(boolean sync, int writers) throws IOException, InterruptedException {
    try (Ledger ledger = Ledger.open(Files.createTempDirectory("gorseladder-bench-").resolve("ledger.mv"), sync, 5_000_000)) {
      AtomicLong records = new AtomicLong();
      AtomicLong waited = new AtomicLong();
      long until = Clock.micros() + SECONDS * 1_000_000;
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < writers; i++) {
        int writer = i;
        threads.add(Threads.start("writer", 256 << 10, () -> {
          try {
            for (int n = 0; Clock.micros() < until; n++) {
              long began = Clock.micros();
              ledger.await(ledger.put("/hooks/portal msg_" + writer + "_" + n,
                  new LedgerEntry(Stage.LEAVING, true, began, began, began * 2 + n, new byte[16], "", 0, null)));
              waited.addAndGet(Clock.micros() - began);
              records.incrementAndGet();
            }
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        }));
      }
      for (Thread t : threads) {
        t.join();
      }
      System.out.printf(Locale.ROOT, "%-9s %2d writers: %6.0f records/s, %.3f ms wait each, %.1f records a commit%n",
          sync ? "sync" : "no sync", writers, records.get() / (double) SECONDS, waited.get() / 1000.0 / records.get(),
          (double) records.get() / Math.max(1, ledger.commits()));
    }
  }
}
