package review;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** What the cases have in common: arguments, folder, record and exit code (0 held, 1 broken, 2 could not run). */
abstract class Case {
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  Record record;
  Path folder;
  /** By how many milliseconds this process itself was late at most, see {@link #watchOwnLag}. */
  volatile double ownLag;

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
            played.folder.resolve("program.log"),
            Path.of(args[0]).resolveSibling("program.log"),
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

  /** Measures by how much this process is late: a short sleep, and a byte's way to a new thread and back. */
  void watchOwnLag() throws Exception {
    ServerSocket echo = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    Threads.start(() -> Threads.serve(echo, s -> s.getOutputStream().write(s.getInputStream().read())));
    while (true) {
      double before = record.now();
      try (Socket s = new Socket("127.0.0.1", echo.getLocalPort())) {
        s.getOutputStream().write(1);
        s.getInputStream().read();
      }
      Thread.sleep(5);
      ownLag = Math.max(ownLag, record.now() - before - 5);
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
