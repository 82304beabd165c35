package gorseladder.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;

/** Reads the file that held the ledger before it was a log of segments (formats 1 and 2, H2 MVStore). */
final class FormerLedger {
  private static final String DONE = ".imported";

  private FormerLedger() {}

  /** Takes over what the former file holds. */
  interface Taker {
    void take(LedgerRecord record) throws IOException;

    void written() throws IOException;
  }

  /**
   * Hands over all records, waits until they are written and moves the file aside; a crash in between does it again.
   */
  static void takeOver(Path file, Taker taker) throws IOException {
    if (!Files.exists(file)) {
      return;
    }
    try (MVStore store =
        new MVStore.Builder().fileName(file.toString()).readOnly().open()) {
      MVMap<String, String> about = store.openMap("about");
      String format = about.getOrDefault("format", "2");
      if (!format.equals("1") && !format.equals("2")) {
        throw new IOException("the format of " + file.getFileName() + " is " + format
            + " and this program reads 1 to 3");
      }
      MVMap<String, byte[]> messages = store.openMap("messages");
      for (var at = messages.cursor(null); at.hasNext(); ) {
        taker.take(new LedgerRecord(at.next(), LedgerEntry.of(at.getValue()), null, 0, 0));
      }
      MVMap<String, Long> requests = store.openMap("requests");
      for (var at = requests.cursor(null); at.hasNext(); ) {
        taker.take(new LedgerRecord(null, null, at.next(), at.getValue(), 0));
      }
      taker.take(
          new LedgerRecord(null, null, null, 0, Long.parseLong(about.getOrDefault("boots", "0"))));
    }
    taker.written();
    Files.move(
        file, file.resolveSibling(file.getFileName() + DONE), StandardCopyOption.ATOMIC_MOVE);
  }
}
