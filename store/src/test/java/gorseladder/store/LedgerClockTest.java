package gorseladder.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LedgerClockTest {
  private static final long WALL = 1_800_000_000_000_000L;
  private static final long HOUR = 3_600_000_000L;

  @TempDir
  Path folder;

  /**
   * A restart with the wall clock stepped by an hour in either direction keeps the ledger's time; a new boot of the
   * machine resets it.
   */
  @Test
  void stepsOfTheWallClockDoNotReachItOverARestart() {
    assertEquals(WALL + 5, LedgerClock.open(folder, "boot-a", WALL, 100).at(105));
    assertEquals(
        WALL + 900, LedgerClock.open(folder, "boot-a", WALL + HOUR, 500).at(1_000));
    assertEquals(
        WALL + 900, LedgerClock.open(folder, "boot-a", WALL - HOUR, 500).at(1_000));
    assertEquals(WALL + HOUR, LedgerClock.open(folder, "boot-b", WALL + HOUR, 7).at(7));
  }

  @Test
  void aFileThatSaysNothingIsReplacedAndWithoutABootTheWallClockBegins() throws IOException {
    Files.writeString(folder.resolve("clock"), "boot-a");
    assertEquals(WALL, LedgerClock.open(folder, "boot-a", WALL, 3).at(3));
    assertEquals(WALL, LedgerClock.open(folder, "boot-a", WALL + HOUR, 3).at(3));
    assertEquals(WALL + HOUR, LedgerClock.open(folder, null, WALL + HOUR, 3).at(3));
    Path missing = folder.resolve("missing");
    assertEquals(WALL, LedgerClock.open(missing, "boot-a", WALL, 3).at(3));
    assertTrue(Files.notExists(missing));
  }
}
