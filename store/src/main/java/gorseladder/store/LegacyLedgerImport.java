package gorseladder.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;

/** Imports a ledger file of formats 1 and 2 (H2 MVStore), which preceded the segment log. */
final class LegacyLedgerImport {
  private static final String IMPORTED_SUFFIX = ".imported";

  private LegacyLedgerImport() {}

  /** Receives the imported records. */
  interface RecordReceiver {
    void receive(LedgerRecord record) throws IOException;

    void awaitWritten() throws IOException;
  }

  /**
   * Imports all records if the file exists, waits until they are written and renames the file. After a crash before
   * the rename the next start imports the file again.
   */
  static void importFrom(Path file, RecordReceiver receiver) throws IOException {
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
      for (var cursor = messages.cursor(null); cursor.hasNext(); ) {
        receiver.receive(
            new LedgerRecord(cursor.next(), LedgerEntry.of(cursor.getValue()), null, 0, 0));
      }
      MVMap<String, Long> requests = store.openMap("requests");
      for (var cursor = requests.cursor(null); cursor.hasNext(); ) {
        receiver.receive(new LedgerRecord(null, null, cursor.next(), cursor.getValue(), 0));
      }
      receiver.receive(
          new LedgerRecord(null, null, null, 0, Long.parseLong(about.getOrDefault("boots", "0"))));
    }
    receiver.awaitWritten();
    Files.move(
        file,
        file.resolveSibling(file.getFileName() + IMPORTED_SUFFIX),
        StandardCopyOption.ATOMIC_MOVE);
  }
}
