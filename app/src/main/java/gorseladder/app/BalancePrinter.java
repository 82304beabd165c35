package gorseladder.app;

import gorseladder.emulator.Outcomes;
import java.util.Locale;

/** Prints what loads ahead cost and saved. */
final class BalancePrinter {
  private BalancePrinter() {}

  static void print(String name, Outcomes.Balance balance) {
    System.out.printf(
        Locale.ROOT,
        "%s: %d loads ahead, %d of them wasted; %d calls found them and were spared %.1f s; cost %.1f s of loading,"
            + " %.1f GB s held, %d calls pushed out for %.1f s%n",
        name,
        balance.loads(),
        balance.wasted(),
        balance.found(),
        balance.savedSeconds(),
        balance.loadSeconds(),
        balance.gigabyteSeconds(),
        balance.evictions(),
        balance.evictedLoadSeconds());
  }
}
