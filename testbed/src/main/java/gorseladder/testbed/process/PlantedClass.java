package gorseladder.testbed.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/**
 * Compiles one class of the program with a deliberate fault into a folder that is put before the class path of the
 * program.
 */
public final class PlantedClass {
  private PlantedClass() {}

  /**
   * Compiles a source file with one text replaced.
   *
   * @param find a text that occurs exactly once in the source
   * @param into an empty folder; classes are written to its subfolder {@code classes}
   * @return the folder with the classes
   * @throws IOException if the text does not occur exactly once, or the changed source does not compile
   */
  public static Path compile(Path source, String find, String replace, Path into)
      throws IOException {
    String text = Files.readString(source);
    int at = text.indexOf(find);
    if (at < 0 || text.indexOf(find, at + 1) >= 0) {
      throw new IOException("the fault's text does not stand exactly once in " + source);
    }
    Path changed = into.resolve(source.getFileName());
    Files.writeString(
        changed, text.substring(0, at) + replace + text.substring(at + find.length()));
    Path classes = Files.createDirectories(into.resolve("classes"));
    String own = System.getProperty("java.class.path");
    JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
    try (var files = compiler.getStandardFileManager(null, Locale.ROOT, StandardCharsets.UTF_8)) {
      List<String> options = List.of(
          "-proc:none", "-nowarn", "-XDignore.symbol.file", "-cp", own, "-d", classes.toString());
      if (!compiler
          .getTask(null, files, null, options, null, files.getJavaFileObjects(changed))
          .call()) {
        throw new IOException("the planted fault does not compile: " + changed);
      }
    }
    return classes;
  }
}
