package gorseladder.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.soak.Preload.Fault;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** News that a dispatcher is told once, at a moment at which its system fails or the other side is slow. */
class NewsToldOnceTest {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final int EVERY_CALL = 1_000;
  private static final long FAULT_MILLIS = 400;

  @TempDir
  Path dir;

  private OneDispatcher dispatcher;

  @BeforeEach
  void start() throws Exception {
    dispatcher = new OneDispatcher(dir);
  }

  @AfterEach
  void close() throws IOException {
    dispatcher.close();
  }

  /** The JVM handles each signal on a new thread, and none can be started when SIGHUP comes. */
  @Test
  void aNewConfigurationIsFollowedThoughItsSignalFindsNoThread() throws Exception {
    dispatcher.set(Fault.THREAD_RATE, EVERY_CALL);
    dispatcher.moveChangeLog();
    Thread.sleep(FAULT_MILLIS);
    dispatcher.set(Fault.THREAD_RATE, 0);
    assertEquals(List.of(), dispatcher.drainAfterTheMove(), dispatcher::logText);
  }

  /** Errors: EMFILE, ENFILE, EIO. */
  @ParameterizedTest
  @ValueSource(ints = {24, 23, 5})
  void aNewConfigurationIsFollowedThoughItCannotBeOpenedAtFirst(int error) throws Exception {
    dispatcher.set(Fault.OPEN_ERRNO, error);
    dispatcher.set(Fault.OPEN_RATE, EVERY_CALL);
    dispatcher.moveChangeLog();
    Thread.sleep(FAULT_MILLIS);
    dispatcher.set(Fault.OPEN_RATE, 0);
    assertEquals(List.of(), dispatcher.drainAfterTheMove(), dispatcher::logText);
  }

  /** A dispatcher waits for a change log that takes 2.6 s to its first line, at its old and its new address. */
  @Test
  void aSlowChangeLogIsHeard() throws Exception {
    dispatcher.log.proxy(0).delayFirstAnswer(2_600_000);
    FaultProxy newProxy = dispatcher.moveChangeLog();
    newProxy.delayFirstAnswer(2_600_000);
    assertEquals(List.of(), dispatcher.drainAfterTheMove(), dispatcher::logText);
    assertTrue(newProxy.acceptedCount() <= 3, newProxy.acceptedCount() + " connections");
  }

  /** No thread can be started when SIGTERM comes. */
  @Test
  void aStopIsCarriedOutThoughItsSignalFindsNoThread() throws Exception {
    dispatcher.set(Fault.THREAD_RATE, EVERY_CALL);
    FaultProxy.start("threads-again", () -> {
      try {
        Thread.sleep(FAULT_MILLIS);
        dispatcher.set(Fault.THREAD_RATE, 0);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    dispatcher.process.stop(MICROS_PER_SECOND / 2);
    assertEquals(List.of(), dispatcher.judge(), dispatcher::logText);
  }

  /** A process that gets no socket at its start (ENFILE) listens as soon as it gets one. */
  @Test
  void aStartOutlivesAMomentWithoutSockets() throws Exception {
    dispatcher.process.stop(0);
    dispatcher.set(Fault.SOCKET_ERRNO, 23);
    dispatcher.set(Fault.SOCKET_RATE, EVERY_CALL);
    dispatcher.process.start();
    Thread.sleep(1_800);
    dispatcher.set(Fault.SOCKET_RATE, 0);
    dispatcher.process.awaitReady();
    assertTrue(dispatcher.process.isReady(), dispatcher::logText);
  }

  /**
   * The first failed connect of a process makes the JVM initialize a class that reads a file. Where that file could not
   * be opened the class stayed unusable, and each later failed connect ended in an Error.
   */
  @Test
  void aFirstFailedConnectWhileNoFileCanBeOpenedBreaksNothing() throws Exception {
    dispatcher.set(Fault.OPEN_ERRNO, 24);
    dispatcher.set(Fault.OPEN_RATE, EVERY_CALL);
    FaultProxy refusingProxy = dispatcher.runners.get(1).proxy();
    refusingProxy.refuseConnections();
    refusingProxy.resetAll();
    Thread.sleep(FAULT_MILLIS);
    dispatcher.set(Fault.OPEN_RATE, 0);
    Thread.sleep(FAULT_MILLIS);
    refusingProxy.acceptAgain();
    assertEquals(List.of(), dispatcher.judge(), dispatcher::logText);
    assertFalse(dispatcher.logText().contains("Error: "), dispatcher::logText);
  }
}
