package gorseladder.app.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.LoggerContext;
import gorseladder.app.Main;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Checks what a process logs on standard error for the system properties that it is started with. */
class LogConfiguratorTest {
  private static final String TIME_PATTERN = "\\d\\d:\\d\\d:\\d\\d\\.\\d{3} ";

  @TempDir
  Path dir;

  /** Main class of a process that logs one line per level, with {@link LogProvider} or without it. */
  static final class LoggingProcess {
    private LoggingProcess() {}

    /** Takes {@code direct} for a process that does not install the provider. */
    public static void main(String[] args) throws InterruptedException {
      if (!args[0].equals("direct")) {
        LogProvider.install();
      }
      Logger log = LoggerFactory.getLogger(Main.class);
      log.debug("some {}", "detail");
      log.atInfo().addKeyValue("id", "a7").log("news");
      log.warn("trouble");
      ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
      for (Thread thread : Thread.getAllStackTraces().keySet()) {
        if (thread.getName().equals("log")) {
          thread.join();
        }
      }
    }
  }

  private List<String> linesLogged(String setUp, String... properties) throws Exception {
    List<String> command = new ArrayList<>(
        List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(List.of(properties));
    command.addAll(List.of(
        "-cp", System.getProperty("java.class.path"), LoggingProcess.class.getName(), setUp));
    Path err = dir.resolve("err");
    Path out = dir.resolve("out");
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().remove("JAVA_TOOL_OPTIONS");
    Process process =
        builder.redirectError(err.toFile()).redirectOutput(out.toFile()).start();
    assertEquals(0, process.waitFor());
    assertEquals("", Files.readString(out), "standard output belongs to ready lines");
    return Files.readAllLines(err, StandardCharsets.UTF_8);
  }

  private static void assertMatches(List<String> patterns, List<String> lines) {
    assertEquals(patterns.size(), lines.size(), lines::toString);
    for (int i = 0; i < lines.size(); i++) {
      assertTrue(Pattern.matches(patterns.get(i), lines.get(i)), lines.get(i));
    }
  }

  /** Guards against a level or format that is set and not used, for both ways to set up logging. */
  @Test
  void levelAndFormAreThoseOfTheProperties() throws Exception {
    for (String setUp : List.of("chosen", "direct")) {
      assertMatches(List.of(TIME_PATTERN + "WARN  Main: trouble "), linesLogged(setUp));
      assertMatches(
          List.of(
              TIME_PATTERN + "DEBUG Main: some detail ",
              TIME_PATTERN + "INFO  Main: news id=\"a7\"",
              TIME_PATTERN + "WARN  Main: trouble "),
          linesLogged(setUp, "-Dgorseladder.log.level=DEBUG", "-Dgorseladder.log.form=TEXT"));
      assertMatches(
          List.of(
              json("INFO", "news", ",\"kvpList\": \\[\\{\"id\":\"a7\"\\}\\]"),
              json("WARN", "trouble", "")),
          linesLogged(setUp, "-Dgorseladder.log.level=INFO", "-Dgorseladder.log.form=JSON"));
    }
  }

  private static String json(String level, String message, String keyValues) {
    return "\\{\"timestamp\":\\d+,\"level\":\"" + level + "\",\"threadName\":\"main\","
        + "\"loggerName\":\"gorseladder.app.Main\"" + keyValues + ",\"formattedMessage\":\""
        + message
        + "\"" + ".*\\}";
  }

  /** Guards against a logback configuration file that is named and not read. */
  @Test
  void aFileThatIsNamedCounts() throws Exception {
    Path file = dir.resolve("own.xml");
    Files.writeString(file, """
        <configuration>
          <appender name="A" class="ch.qos.logback.core.ConsoleAppender">
            <target>System.err</target>
            <encoder><pattern>own %msg%n</pattern></encoder>
          </appender>
          <root level="INFO"><appender-ref ref="A"/></root>
        </configuration>
        """);
    for (String setUp : List.of("chosen", "direct")) {
      assertEquals(
          List.of("own news", "own trouble"),
          linesLogged(setUp, "-Dlogback.configurationFile=" + file));
    }
  }
}
