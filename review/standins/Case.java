package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** What the cases have in common: arguments, folder, record and exit code (0 held, 1 broken, 2 could not run). */
abstract class Case {
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  Record record;
  Path folder;

  /** Plays the case; returns true if the rule held. */
  abstract boolean play() throws Exception;

  static void run(Case played, String[] args) {
    int code = 2;
    try {
      played.record = new Record(Path.of(args[0]));
      played.folder = Files.createTempDirectory("review");
      try {
        boolean held = played.play();
        played.record.line(held ? "the rule held" : "THE RULE WAS BROKEN");
        code = held ? 0 : 1;
      } finally {
        Files.copy(
            played.folder.resolve("edge.log"),
            Path.of(args[0]).resolveSibling("edge.log"),
            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        played.deleteFolder();
      }
    } catch (Throwable e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  /** Thrown where the case could not be played as meant; exit code 2. */
  static void require(boolean holds, String what) {
    if (!holds) {
      throw new IllegalStateException("the case could not run: " + what);
    }
  }

  void deleteFolder() {
    try (Stream<Path> all = Files.walk(folder)) {
      all.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    } catch (Exception e) {
      // It is a temporary folder.
    }
  }
}
