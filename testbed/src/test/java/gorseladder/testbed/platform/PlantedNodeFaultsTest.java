package gorseladder.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.testbed.process.PlantedClass;
import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the tests of {@link CrossingsTest} detect faults. Each fault is a small change to one class of the
 * dispatcher, compiled separately and placed first on the class path of a new process, which runs one of these tests:
 * it must fail with the fault and pass without.
 */
class PlantedNodeFaultsTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final String NODE = "node/src/main/java/gorseladder/node/";
  private static final int EXIT_TEST_FAILED = 7;

  @TempDir
  Path dir;

  /** Runs one test of {@link CrossingsTest}; exits with {@value #EXIT_TEST_FAILED} if it fails. */
  public static final class SingleTest {
    private SingleTest() {}

    /** Takes the name of the test method. */
    public static void main(String[] args) throws Exception {
      CrossingsTest test = new CrossingsTest();
      int code = 0;
      try {
        CrossingsTest.class.getDeclaredMethod(args[0]).invoke(test);
      } catch (java.lang.reflect.InvocationTargetException e) {
        System.out.println(e.getCause());
        code = EXIT_TEST_FAILED;
      }
      test.close();
      System.exit(code);
    }
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '#',
      quoteCharacter = '`',
      value = {
        "no fault####nothingIsSentForAClientThatLeftWhileItsCallWaited",
        "client gone ignored#front/FrontConnection.java#abandonedCalls.forEach(front::clientGone);#"
            + "#nothingIsSentForAClientThatLeftWhileItsCallWaited",
        "idle close without looking#front/FrontConnection.java#if (!verdict.allowed()) {#if (state == null) {"
            + "#whatIsHalfReadWhenTheStopBeginsIsServed",
        "connections counted late#front/FastCgiFront.java#connections.size() >= maxConnections && !closeLongestIdle()"
            + "#false#idleClientsNeverTakeMoreThanTheirShareOfDescriptors",
        "a link kept after its runner went"
            + "#runners/RunnerLinks.java#before != null && before.address().equals(address)#before != null"
            + "#aRunnerThatGoesAndComesBackIsReached",
        "held calls forgotten at the end#Node.java#core.refuseAll();##aStopAnswersWhatIsHeldBeforeItMayBeKilled"
      })
  void eachIsFound(String fault, String file, String find, String replace, String test)
      throws Exception {
    String classPath = System.getProperty("java.class.path");
    Path classes = file == null
        ? dir
        : PlantedClass.compile(
            ROOT.resolve(NODE + file), find, replace == null ? "" : replace, dir);
    Process process = new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            classes + File.pathSeparator + classPath,
            SingleTest.class.getName(),
            test)
        .redirectErrorStream(true)
        .redirectOutput(dir.resolve("said").toFile())
        .start();
    assertTrue(process.waitFor(60, TimeUnit.SECONDS));
    assertEquals(file == null ? 0 : EXIT_TEST_FAILED, process.exitValue(), () -> output());
  }

  private String output() {
    try {
      return Files.readString(dir.resolve("said"));
    } catch (java.io.IOException e) {
      return e.toString();
    }
  }
}
