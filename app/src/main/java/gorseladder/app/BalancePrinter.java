package gorseladder.app;

import gorseladder.emulator.Outcomes;
import java.util.Locale;

/** Prints a balance of loads ahead. */
final class Balances {
  private Balances() {}

  static void print(String name, Outcomes.Balance b) {
    System.out.printf(
        Locale.ROOT,
        "%s: %d loads ahead, %d of them wasted; %d calls found them and were spared %.1f s; cost %.1f s of loading,"
            + " %.1f GB s held, %d calls pushed out for %.1f s%n",
        name,
        b.loads(),
        b.wasted(),
        b.found(),
        b.saved(),
        b.loading(),
        b.gigabyteSeconds(),
        b.pushedOut(),
        b.pushed());
  }
}
