package gorseladder.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Do the tests of crossings see? Each fault is a small change of one class of the dispatcher, compiled apart and put before the
 * program's own in a process of its own, which runs one test of {@link CrossingsTest}: that must fail, and without a fault pass.
 */
class PlantedNodeFaultsTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final String NODE = "node/src/main/java/gorseladder/node/";
  private static final int FAILED = 7;

  @TempDir
  Path dir;

  /** Runs one test of crossings; exits with {@value #FAILED} where it fails. */
  public static final class One {
    private One() {}

    /** Takes the test's name. */
    public static void main(String[] args) throws Exception {
      CrossingsTest test = new CrossingsTest();
      int code = 0;
      try {
        CrossingsTest.class.getDeclaredMethod(args[0]).invoke(test);
      } catch (java.lang.reflect.InvocationTargetException e) {
        System.out.println(e.getCause());
        code = FAILED;
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
        "client gone ignored#front/FrontConnection.java#left.forEach(front::gone);#"
            + "#nothingIsSentForAClientThatLeftWhileItsCallWaited",
        "idle close without looking#front/FrontConnection.java#if (!verdict.allowed()) {#if (state == null) {"
            + "#whatIsHalfReadWhenTheStopBeginsIsServed",
        "connections counted late#front/FastCgiFront.java#connections.size() >= mostConnections && !makeRoom()#false"
            + "#idleClientsNeverTakeMoreThanTheirShareOfDescriptors",
        "a link kept after its runner went#runners/RunnerLinks.java#before != null && before.address().equals(address)#before != null"
            + "#aRunnerThatGoesAndComesBackIsReached",
        "held calls forgotten at the end#Node.java#core.giveUpAll();##aStopAnswersWhatIsHeldBeforeItMayBeKilled"
      })
  void eachIsFound(String fault, String file, String find, String replace, String test)
      throws Exception {
    String own = System.getProperty("java.class.path");
    Path classes = Files.createDirectories(dir.resolve("classes"));
    if (file != null) {
      String text = Files.readString(ROOT.resolve(NODE + file));
      int at = text.indexOf(find);
      assertTrue(
          at >= 0 && text.indexOf(find, at + 1) < 0,
          "the fault's text does not stand exactly once in " + file);
      Path source = dir.resolve(Path.of(file).getFileName().toString());
      Files.writeString(
          source,
          text.substring(0, at)
              + (replace == null ? "" : replace)
              + text.substring(at + find.length()));
      JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
      try (var files = compiler.getStandardFileManager(null, Locale.ROOT, StandardCharsets.UTF_8)) {
        assertTrue(
            compiler
                .getTask(
                    null,
                    files,
                    null,
                    List.of("-proc:none", "-nowarn", "-cp", own, "-d", classes.toString()),
                    null,
                    files.getJavaFileObjects(source))
                .call(),
            "it does not compile");
      }
    }
    Process process = new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            classes + File.pathSeparator + own,
            One.class.getName(),
            test)
        .redirectErrorStream(true)
        .redirectOutput(dir.resolve("said").toFile())
        .start();
    assertTrue(process.waitFor(60, TimeUnit.SECONDS));
    assertEquals(file == null ? 0 : FAILED, process.exitValue(), () -> said());
  }

  private String said() {
    try {
      return Files.readString(dir.resolve("said"));
    } catch (java.io.IOException e) {
      return e.toString();
    }
  }
}
