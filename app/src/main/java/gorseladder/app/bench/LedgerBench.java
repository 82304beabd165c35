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

/** {@code bench ledger}: what a durable record costs, with and without a flush to disk, by how many wait together. */
@Command(
    name = "ledger",
    mixinStandardHelpOptions = true,
    description = "Cost of durable records and of group commit.")
final class LedgerBench implements Runnable {
  private static final long SECONDS = 3;
  private static final long TOLERANCE = 300_000_000;
  private static final int TABLE = 1_000_000;
  private static final int[] OF_ONE_SECOND = {1_000, 10_000, 100_000, 1_000_000};

  @Override
  public void run() {
    try {
      for (boolean sync : new boolean[] {false, true}) {
        for (int writers : new int[] {1, 8, 64}) {
          measure(sync, writers);
        }
      }
      for (int records : OF_ONE_SECOND) {
        ofOneSecond(records);
      }
      opening();
      tables();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A message and its signed request, as a delivery writes them: all time stamps of one whole second. */
  private static void ofOneSecond(int records) throws IOException {
    try (Ledger ledger = Ledger.open(
        Files.createTempDirectory("gorseladder-bench-").resolve("ledger"), false, 5_000_000)) {
      long second = Clock.wallMicros() / 1_000_000 * 1_000_000;
      long tenth = 0;
      long began = Clock.micros();
      for (int n = 0; n < records; n++) {
        if (n == records - records / 10) {
          tenth = Clock.micros();
        }
        long taken = second + n % 1_000_000;
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
                taken,
                0,
                taken + 86_400_000_000L,
                new byte[16],
                "",
                0,
                null),
            request,
            second + 2 * TOLERANCE);
        if (n % 32 == 0) {
          ledger.await(ticket);
        }
      }
      long ended = Clock.micros();
      System.out.printf(
          Locale.ROOT,
          "%,9d deliveries of one second: %5.1f us each, the last tenth %5.1f us%n",
          records,
          (ended - began) / (double) records,
          (ended - tenth) / (records / 10.0));
    }
  }

  /** What reading a million messages back costs at a start. */
  private static void opening() throws IOException {
    Path folder = Files.createTempDirectory("gorseladder-bench-").resolve("ledger");
    long wall = Clock.wallMicros();
    try (Ledger ledger = Ledger.open(folder, false, 5_000_000)) {
      long ticket = 0;
      for (int n = 0; n < TABLE; n++) {
        ticket = ledger.put(
            "/hooks/portal msg_" + n,
            new LedgerEntry(
                Stage.SERVED,
                true,
                wall,
                wall,
                wall + 86_400_000_000L,
                new byte[16],
                "served",
                200,
                new byte[200]),
            "request" + n,
            wall + 2 * TOLERANCE);
        if (n % 10_000 == 0) {
          ledger.await(ticket);
        }
      }
      ledger.await(ticket);
    }
    long began = Clock.micros();
    try (Ledger ledger = Ledger.open(folder, false, 5_000_000)) {
      System.out.printf(
          Locale.ROOT,
          "%,d messages with answers opened in %,d ms%n",
          ledger.size(),
          (Clock.micros() - began) / 1000);
    }
  }

  /**
   * The table of digests beside the plain map of boxed keys: a million put, then a million looked up that are not
   * there.
   */
  private static void tables() {
    for (int round = 0; round < 3; round++) {
      SplittableRandom random = new SplittableRandom(1);
      long before = used();
      long began = Clock.micros();
      DigestTable table = new DigestTable();
      for (int i = 0; i < TABLE; i++) {
        table.put(random.nextLong(), random.nextLong(), i);
      }
      long put = Clock.micros() - began;
      began = Clock.micros();
      int found = 0;
      for (int i = 0; i < TABLE; i++) {
        found += table.get(random.nextLong(), random.nextLong()) >= 0 ? 1 : 0;
      }
      long missed = Clock.micros() - began;
      long bytes = used() - before;
      random = new SplittableRandom(1);
      before = used();
      began = Clock.micros();
      Map<Key, Integer> plain = new HashMap<>();
      for (int i = 0; i < TABLE; i++) {
        plain.put(new Key(random.nextLong(), random.nextLong()), i);
      }
      long plainPut = Clock.micros() - began;
      began = Clock.micros();
      for (int i = 0; i < TABLE; i++) {
        found += plain.containsKey(new Key(random.nextLong(), random.nextLong())) ? 1 : 0;
      }
      long plainMissed = Clock.micros() - began;
      long plainBytes = used() - before;
      if (round == 2) {
        System.out.printf(
            Locale.ROOT,
            "a million digests (%d found): table %d ns a put, %d ns a miss, %d bytes each; HashMap %d, %d, %d%n",
            found + table.size() + plain.size() - 2 * TABLE,
            put * 1000 / TABLE,
            missed * 1000 / TABLE,
            bytes / TABLE,
            plainPut * 1000 / TABLE,
            plainMissed * 1000 / TABLE,
            plainBytes / TABLE);
      }
    }
  }

  private record Key(long first, long second) {}

  private static long used() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static void measure(boolean sync, int writers) throws IOException, InterruptedException {
    try (Ledger ledger = Ledger.open(
        Files.createTempDirectory("gorseladder-bench-").resolve("ledger"), sync, 5_000_000)) {
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
              ledger.await(ledger.put(
                  "/hooks/portal msg_" + writer + "_" + n,
                  new LedgerEntry(
                      Stage.LEAVING,
                      true,
                      began,
                      began,
                      began * 2 + n,
                      new byte[16],
                      "",
                      0,
                      null)));
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
      System.out.printf(
          Locale.ROOT,
          "%-9s %2d writers: %6.0f records/s, %.3f ms wait each, %.1f records a commit%n",
          sync ? "sync" : "no sync",
          writers,
          records.get() / (double) SECONDS,
          waited.get() / 1000.0 / records.get(),
          (double) records.get() / Math.max(1, ledger.commitCount()));
    }
  }
}
