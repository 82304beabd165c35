package gorseladder.app.archive;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.stream.Stream;

/**
 * The classes for the archive of a dispatcher: those that a run has used, and every class of the program that they
 * refer to, directly or through others, with their lambdas. What the run did not meet, or meets by chance only, is then
 * there all the same.
 */
final class ClassList {
  private static final String SUFFIX = ".class";
  /** The program itself. */
  private static final String OWN = "gorseladder/";
  /** The command line, of which a dispatcher uses one class; its library has classes that no archive can hold. */
  private static final String COMMANDS = "gorseladder/app/";
  /** How an error is logged. */
  private static final String LOGGED = "ch/qos/logback/classic/spi/";
  /** Of the Java machine, whole: a run meets few of its steps. */
  private static final String STREAMS = "java/util/stream/";
  /** Of the Java machine, those that the program names, with the classes inside them: iterators, views, nodes. */
  private static final List<String> COLLECTIONS = List.of("java/util/", "java/util/concurrent/");
  /** Classes of the Java machine that a run meets by chance: where threads contend, or a connection ends oddly. */
  private static final List<String> BY_CHANCE = List.of(
      "java/util/concurrent/ThreadLocalRandom",
      "java/util/concurrent/atomic/Striped64",
      "java/util/concurrent/atomic/Striped64$1",
      "java/util/concurrent/atomic/Striped64$Cell",
      "java/util/concurrent/locks/AbstractQueuedSynchronizer$ConditionNode",
      "java/util/concurrent/locks/AbstractQueuedSynchronizer$ExclusiveNode",
      "java/util/concurrent/locks/AbstractQueuedSynchronizer$SharedNode",
      "java/io/EOFException",
      "java/io/InterruptedIOException",
      "java/net/BindException",
      "java/net/ConnectException",
      "java/net/NoRouteToHostException",
      "java/net/PortUnreachableException",
      "java/net/SocketException",
      "java/net/SocketTimeoutException",
      "java/nio/channels/AsynchronousCloseException",
      "java/nio/channels/ClosedByInterruptException",
      "java/nio/channels/ClosedChannelException",
      "java/nio/channels/NotYetConnectedException",
      "sun/nio/ch/NativeThreadSet");
  /** Each line of a lambda stands for one more site alike in its class; so many are reckoned with. */
  private static final int SITES_ALIKE = 8;

  private final List<String> lines;
  private final List<String> lambdas = new ArrayList<>();
  private final Set<String> referred = new HashSet<>();

  private ClassList(List<String> used) {
    lines = new ArrayList<>(used);
  }

  /**
   * The whole list.
   *
   * @param used the lines that the Java machine wrote in a run
   * @throws IOException where the jar or the machine's classes cannot be read
   */
  static List<String> completed(List<String> used, JarFile jar) throws IOException {
    ClassList list = new ClassList(used);
    list.addReferred(used, jar);
    list.addLogged(jar);
    list.addMachine();
    return list.all();
  }

  /** The classes of the program from those that were used on; of the command line only what was used. */
  private void addReferred(List<String> used, JarFile jar) throws IOException {
    Set<String> seen = new HashSet<>();
    Deque<String> next = new ArrayDeque<>(used);
    while (!next.isEmpty()) {
      String name = next.removeFirst();
      JarEntry entry = jar.getJarEntry(name + SUFFIX);
      if (name.startsWith(OWN) && !name.startsWith(COMMANDS) && entry != null && seen.add(name)) {
        try (InputStream in = jar.getInputStream(entry)) {
          next.addAll(add(name + SUFFIX, in).references());
        }
      }
    }
  }

  private void addLogged(JarFile jar) throws IOException {
    for (JarEntry entry : jar.stream().toList()) {
      if (entry.getName().startsWith(LOGGED) && entry.getName().endsWith(SUFFIX)) {
        try (InputStream in = jar.getInputStream(entry)) {
          add(entry.getName(), in);
        }
      }
    }
  }

  private void addMachine() throws IOException {
    Path base = FileSystems.getFileSystem(URI.create("jrt:/")).getPath("modules/java.base");
    for (String name : classesIn(base, STREAMS)) {
      try (InputStream in = Files.newInputStream(base.resolve(name + SUFFIX))) {
        add(name + SUFFIX, in);
      }
    }
    for (String collections : COLLECTIONS) {
      for (String name : classesIn(base, collections)) {
        if (referred.contains(name.split("\\$")[0])) {
          lines.add(name);
        }
      }
    }
    lines.addAll(BY_CHANCE);
  }

  /** The names of the classes of a package of the Java machine. */
  private static List<String> classesIn(Path base, String packageName) throws IOException {
    try (Stream<Path> files = Files.list(base.resolve(packageName))) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(file -> file.endsWith(SUFFIX))
          .map(file -> packageName + file.substring(0, file.length() - SUFFIX.length()))
          .toList();
    }
  }

  private ClassFile add(String name, InputStream in) throws IOException {
    ClassFile file = ClassFile.read(in);
    lines.add(name.substring(0, name.length() - SUFFIX.length()));
    lambdas.addAll(file.lambdas());
    referred.addAll(file.references());
    return file;
  }

  private List<String> all() {
    for (int i = 0; i < SITES_ALIKE; i++) {
      lines.addAll(lambdas);
    }
    return lines;
  }
}
