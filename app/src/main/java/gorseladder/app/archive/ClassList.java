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
 * Builds the class list for the archive of a dispatcher: the classes that a run used, and every program class that
 * these refer to directly or indirectly, with their lambdas. The archive then also holds classes that the run did not
 * reach, or that a run reaches only by chance.
 */
final class ClassList {
  private static final String CLASS_SUFFIX = ".class";
  /** Prefix of the program's classes. */
  private static final String PROGRAM_PREFIX = "gorseladder/";
  /** Classes of the command line: a dispatcher uses one of them, and picocli has classes that no archive can hold. */
  private static final String COMMAND_LINE_PREFIX = "gorseladder/app/";
  /** Logback's classes for events and errors. */
  private static final String LOGBACK_EVENTS_PREFIX = "ch/qos/logback/classic/spi/";
  /** A JDK package that is added whole, since a run reaches few of its stream operations. */
  private static final String STREAM_PACKAGE = "java/util/stream/";
  /** JDK packages from which the referenced classes are added with their nested classes: iterators, views, nodes. */
  private static final List<String> COLLECTION_PACKAGES =
      List.of("java/util/", "java/util/concurrent/");
  /** JDK classes that a run loads only by chance: when threads contend or a connection ends abnormally. */
  private static final List<String> RARELY_LOADED = List.of(
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
  /** The JVM takes each line for one site, so the lines are repeated for up to this many identical sites in a class. */
  private static final int MAX_IDENTICAL_SITES = 8;

  private final List<String> lines;
  private final List<String> lambdaLines = new ArrayList<>();
  private final Set<String> referenced = new HashSet<>();

  private ClassList(List<String> used) {
    lines = new ArrayList<>(used);
  }

  /**
   * Completes the list of a run.
   *
   * @param used the lines that the JVM wrote in the run
   * @throws IOException when the jar or the JDK's classes cannot be read
   */
  static List<String> complete(List<String> used, JarFile jar) throws IOException {
    ClassList list = new ClassList(used);
    list.addReferenced(used, jar);
    list.addLogbackEvents(jar);
    list.addJdk();
    return list.allLines();
  }

  /** Adds the program classes that the used ones refer to, except those of the command line. */
  private void addReferenced(List<String> used, JarFile jar) throws IOException {
    Set<String> seen = new HashSet<>();
    Deque<String> queue = new ArrayDeque<>(used);
    while (!queue.isEmpty()) {
      String name = queue.removeFirst();
      JarEntry entry = jar.getJarEntry(name + CLASS_SUFFIX);
      if (name.startsWith(PROGRAM_PREFIX)
          && !name.startsWith(COMMAND_LINE_PREFIX)
          && entry != null
          && seen.add(name)) {
        try (InputStream in = jar.getInputStream(entry)) {
          queue.addAll(add(name + CLASS_SUFFIX, in).references());
        }
      }
    }
  }

  private void addLogbackEvents(JarFile jar) throws IOException {
    for (JarEntry entry : jar.stream().toList()) {
      if (entry.getName().startsWith(LOGBACK_EVENTS_PREFIX)
          && entry.getName().endsWith(CLASS_SUFFIX)) {
        try (InputStream in = jar.getInputStream(entry)) {
          add(entry.getName(), in);
        }
      }
    }
  }

  private void addJdk() throws IOException {
    Path base = FileSystems.getFileSystem(URI.create("jrt:/")).getPath("modules/java.base");
    for (String name : classesIn(base, STREAM_PACKAGE)) {
      try (InputStream in = Files.newInputStream(base.resolve(name + CLASS_SUFFIX))) {
        add(name + CLASS_SUFFIX, in);
      }
    }
    for (String packageName : COLLECTION_PACKAGES) {
      for (String name : classesIn(base, packageName)) {
        if (referenced.contains(name.split("\\$")[0])) {
          lines.add(name);
        }
      }
    }
    lines.addAll(RARELY_LOADED);
  }

  /** The names of the classes of a JDK package. */
  private static List<String> classesIn(Path base, String packageName) throws IOException {
    try (Stream<Path> files = Files.list(base.resolve(packageName))) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(file -> file.endsWith(CLASS_SUFFIX))
          .map(file -> packageName + file.substring(0, file.length() - CLASS_SUFFIX.length()))
          .toList();
    }
  }

  private ClassFile add(String name, InputStream in) throws IOException {
    ClassFile file = ClassFile.read(in);
    lines.add(name.substring(0, name.length() - CLASS_SUFFIX.length()));
    lambdaLines.addAll(file.lambdaLines());
    referenced.addAll(file.references());
    return file;
  }

  private List<String> allLines() {
    for (int i = 0; i < MAX_IDENTICAL_SITES; i++) {
      lines.addAll(lambdaLines);
    }
    return lines;
  }
}
