package gorseladder.app.bench;

import gorseladder.runtime.Clock;
import gorseladder.runtime.Threads;
import gorseladder.store.Ledger;
import gorseladder.store.LedgerEntry;
import gorseladder.store.LedgerEntry.Stage;
import gorseladder.structures.DigestTable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import picocli.CommandLine.Command;

/** {@code bench ledger}: cost of a durable record, with and without a flush to disk, by the number of writers. */
@Command(
    name = "ledger",
    mixinStandardHelpOptions = true,
    description = "Cost of durable records and of group commit.")
final class LedgerBench implements Runnable {
  private static final long MEASURED_SECONDS = 3;
  private static final long TOLERANCE_MICROS = 300_000_000;
  private static final int ENTRIES = 1_000_000;
  private static final int[] DELIVERIES_IN_ONE_SECOND = {1_000, 10_000, 100_000, 1_000_000};

  @Override
  public void run() {
    try {
      for (boolean sync : new boolean[] {false, true}) {
        for (int writers : new int[] {1, 8, 64}) {
          measureWriters(sync, writers);
        }
      }
      for (int records : DELIVERIES_IN_ONE_SECOND) {
        measureSameSecond(records);
      }
      measureOpening();
      compareTables();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Measures records of webhook deliveries (message and signed request) whose timestamps lie in the same second. */
  private static void measureSameSecond(int records) throws IOException {
    try (Ledger ledger = Ledger.open(
        Files.createTempDirectory("gorseladder-bench-").resolve("ledger"), false, 5_000_000)) {
      long secondStartMicros = Clock.wallMicros() / 1_000_000 * 1_000_000;
      long lastTenthStartMicros = 0;
      long startMicros = Clock.micros();
      for (int n = 0; n < records; n++) {
        if (n == records - records / 10) {
          lastTenthStartMicros = Clock.micros();
        }
        long acceptedAtMicros = secondStartMicros + n % 1_000_000;
        String message = "/hooks/portal msg_" + n;
        String request = "/hooks/portal v1," + n * 0x9E3779B97F4A7C15L;
        if (ledger.get(message) != null || ledger.containsRequest(request)) {
          throw new IllegalStateException("known before");
        }
        long ticket = ledger.put(
            message,
            new LedgerEntry(
                Stage.ACCEPTED,
                false,
                acceptedAtMicros,
                0,
                acceptedAtMicros + 86_400_000_000L,
                new byte[16],
                "",
                0,
                null),
            request,
            secondStartMicros + 2 * TOLERANCE_MICROS);
        if (n % 32 == 0) {
          ledger.await(ticket);
        }
      }
      long endMicros = Clock.micros();
      System.out.printf(
          Locale.ROOT,
          "%,9d deliveries of one second: %5.1f us each, the last tenth %5.1f us%n",
          records,
          (endMicros - startMicros) / (double) records,
          (endMicros - lastTenthStartMicros) / (records / 10.0));
    }
  }

  /** Measures how long it takes to open a ledger of a million messages. */
  private static void measureOpening() throws IOException {
    Path folder = Files.createTempDirectory("gorseladder-bench-").resolve("ledger");
    long wallMicros = Clock.wallMicros();
    try (Ledger ledger = Ledger.open(folder, false, 5_000_000)) {
      long ticket = 0;
      for (int n = 0; n < ENTRIES; n++) {
        ticket = ledger.put(
            "/hooks/portal msg_" + n,
            new LedgerEntry(
                Stage.SERVED,
                true,
                wallMicros,
                wallMicros,
                wallMicros + 86_400_000_000L,
                new byte[16],
                "served",
                200,
                new byte[200]),
            "request" + n,
            wallMicros + 2 * TOLERANCE_MICROS);
        if (n % 10_000 == 0) {
          ledger.await(ticket);
        }
      }
      ledger.await(ticket);
    }
    long startMicros = Clock.micros();
    try (Ledger ledger = Ledger.open(folder, false, 5_000_000)) {
      System.out.printf(
          Locale.ROOT,
          "%,d messages with answers opened in %,d ms%n",
          ledger.size(),
          (Clock.micros() - startMicros) / 1000);
    }
  }

  /** Compares the digest table with a HashMap of boxed keys: a million insertions, then a million lookups that miss. */
  private static void compareTables() {
    for (int round = 0; round < 3; round++) {
      SplittableRandom random = new SplittableRandom(1);
      long bytesBefore = usedBytes();
      long startMicros = Clock.micros();
      DigestTable table = new DigestTable();
      for (int i = 0; i < ENTRIES; i++) {
        table.put(random.nextLong(), random.nextLong(), i);
      }
      long putMicros = Clock.micros() - startMicros;
      startMicros = Clock.micros();
      int found = 0;
      for (int i = 0; i < ENTRIES; i++) {
        found += table.get(random.nextLong(), random.nextLong()) >= 0 ? 1 : 0;
      }
      long missMicros = Clock.micros() - startMicros;
      long bytes = usedBytes() - bytesBefore;
      random = new SplittableRandom(1);
      bytesBefore = usedBytes();
      startMicros = Clock.micros();
      Map<Key, Integer> hashMap = new HashMap<>();
      for (int i = 0; i < ENTRIES; i++) {
        hashMap.put(new Key(random.nextLong(), random.nextLong()), i);
      }
      long hashMapPutMicros = Clock.micros() - startMicros;
      startMicros = Clock.micros();
      for (int i = 0; i < ENTRIES; i++) {
        found += hashMap.containsKey(new Key(random.nextLong(), random.nextLong())) ? 1 : 0;
      }
      long hashMapMissMicros = Clock.micros() - startMicros;
      long hashMapBytes = usedBytes() - bytesBefore;
      if (round == 2) {
        System.out.printf(
            Locale.ROOT,
            "a million digests (%d found): table %d ns a put, %d ns a miss, %d bytes each; HashMap %d, %d, %d%n",
            found + table.size() + hashMap.size() - 2 * ENTRIES,
            putMicros * 1000 / ENTRIES,
            missMicros * 1000 / ENTRIES,
            bytes / ENTRIES,
            hashMapPutMicros * 1000 / ENTRIES,
            hashMapMissMicros * 1000 / ENTRIES,
            hashMapBytes / ENTRIES);
      }
    }
  }

  private record Key(long first, long second) {}

  private static long usedBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static void measureWriters(boolean sync, int writers)
      throws IOException, InterruptedException {
    try (Ledger ledger = Ledger.open(
        Files.createTempDirectory("gorseladder-bench-").resolve("ledger"), sync, 5_000_000)) {
      AtomicLong records = new AtomicLong();
      AtomicLong waitedMicros = new AtomicLong();
      long deadlineMicros = Clock.micros() + MEASURED_SECONDS * 1_000_000;
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < writers; i++) {
        int writer = i;
        threads.add(Threads.start("writer", 256 << 10, () -> {
          try {
            for (int n = 0; Clock.micros() < deadlineMicros; n++) {
              long startMicros = Clock.micros();
              ledger.await(ledger.put(
                  "/hooks/portal msg_" + writer + "_" + n,
                  new LedgerEntry(
                      Stage.LEAVING,
                      true,
                      startMicros,
                      startMicros,
                      startMicros * 2 + n,
                      new byte[16],
                      "",
                      0,
                      null)));
              waitedMicros.addAndGet(Clock.micros() - startMicros);
              records.incrementAndGet();
            }
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        }));
      }
      for (Thread thread : threads) {
        thread.join();
      }
      System.out.printf(
          Locale.ROOT,
          "%-9s %2d writers: %6.0f records/s, %.3f ms wait each, %.1f records a commit%n",
          sync ? "sync" : "no sync",
          writers,
          records.get() / (double) MEASURED_SECONDS,
          waitedMicros.get() / 1000.0 / records.get(),
          (double) records.get() / Math.max(1, ledger.commitCount()));
    }
  }
}
