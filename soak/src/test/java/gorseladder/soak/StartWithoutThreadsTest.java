package gorseladder.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.soak.Preload.Fault;
import gorseladder.testbed.process.RunLine;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The operating system refuses threads while the JVM starts its own, which ended the process with code 1 before {@code
 * main} (soak seed 621).
 */
class StartWithoutThreadsTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  /** The JVM starts twelve threads before {@code main}; the later ones are the program's first. */
  private static final int MAX_FIRST_FAILED_START = 16;

  private static final int[] SHORTAGES_MILLIS = {30, 100, 300};
  private static final long ENDLESS_MILLIS = 1_000_000;
  private static final int CANNOT_START = 1;
  private static final int ENDED_BY_TERM = 143;
  private static final int ENDED_BY_INT = 130;

  @TempDir
  static Path built;

  private static Preload preload;
  private static Path launcher;

  @TempDir
  Path dir;

  private final Evidence evidence = new Evidence();
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
  private final List<SoakRunner> runners = new ArrayList<>();
  private ChangeLogs log;
  private SoakDispatcher dispatcher;

  @BeforeAll
  static void build() throws Exception {
    preload = Preload.build(built).orElseThrow(() -> new IOException("no C compiler"));
    launcher = RunLine.buildLauncher(ROOT, built);
  }

  @AfterAll
  static void clearPreload() {
    preload = null;
  }

  @BeforeEach
  void prepare() throws Exception {
    runners.add(new SoakRunner("r0", evidence, scheduler));
    log = new ChangeLogs(runners);
    String command = RunLine.withLauncher(RunLine.read(ROOT), launcher);
    dispatcher = new SoakDispatcher(0, command, ROOT, dir, evidence, preload);
    dispatcher.writeConfig(SoakConfig.json(0, 1, 7, log.proxy(0).address(), log.knownEvents()));
  }

  @AfterEach
  void end() throws IOException {
    dispatcher.close();
    scheduler.shutdownNow();
    evidence.stallMonitor().close();
    runners.get(0).close();
    log.close();
  }

  static Stream<Arguments> shortages() {
    return IntStream.rangeClosed(1, MAX_FIRST_FAILED_START)
        .boxed()
        .flatMap(
            from -> IntStream.of(SHORTAGES_MILLIS).mapToObj(millis -> Arguments.of(from, millis)));
  }

  private void failThreadStarts(int from, long millis) {
    dispatcher.control().set(Fault.THREAD_FROM, from);
    dispatcher.control().set(Fault.THREAD_FAILS_MS, millis);
  }

  private String logText() {
    try {
      return Files.readString(dispatcher.logs().get(0));
    } catch (IOException e) {
      return e.toString();
    }
  }

  @ParameterizedTest
  @MethodSource("shortages")
  void aShortageThatEndsLetsTheStartGoOn(int from, int millis) throws Exception {
    failThreadStarts(from, millis);
    dispatcher.start();
    dispatcher.awaitReady();
    assertTrue(dispatcher.isReady(), this::logText);
    assertTrue(dispatcher.control().injected() > 0, "no start of a thread failed");
  }

  @Test
  void aShortageThatDoesNotEndIsTold() throws Exception {
    failThreadStarts(2, ENDLESS_MILLIS);
    dispatcher.start();
    assertEquals(CANNOT_START, dispatcher.awaitEnd(30_000), this::logText);
    long lines = logText()
        .lines()
        .filter(line -> line.startsWith("gorseladder: cannot start"))
        .count();
    assertEquals(1, lines, this::logText);
  }

  static Stream<Arguments> signals() {
    return IntStream.of(1, 2, 4, 6, 12)
        .boxed()
        .flatMap(from -> Stream.of(
            Arguments.of(from, "TERM", ENDED_BY_TERM), Arguments.of(from, "INT", ENDED_BY_INT)));
  }

  /** A stop during the wait for threads ends the start, at the latest when the shortage is over. */
  @ParameterizedTest
  @MethodSource("signals")
  void aStopWhileTheStartWaitsEndsIt(int from, String signal, int code) throws Exception {
    failThreadStarts(from, 600);
    dispatcher.start();
    Thread.sleep(300);
    dispatcher.signal(signal);
    assertEquals(code, dispatcher.awaitEnd(3_000), this::logText);
  }

  /** A new configuration signalled during the wait for threads ends nothing. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 4, 6, 12})
  void aReloadWhileTheStartWaitsEndsNothing(int from) throws Exception {
    failThreadStarts(from, 400);
    dispatcher.start();
    Thread.sleep(200);
    dispatcher.signal("HUP");
    dispatcher.awaitReady();
    assertTrue(dispatcher.isReady(), this::logText);
  }
}
